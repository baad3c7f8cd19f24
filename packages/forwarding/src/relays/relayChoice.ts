import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { TunnelError } from '@pomeloroad/peers';
import type { Relay } from './relayRows';

/** Time for which a relay that opened no tunnel is asked only if there is no other one. */
const AVOIDANCE_MS: Milliseconds = 4000;
/** Time for which a relay that opened a tunnel is preferred while others fail. */
const PREFERENCE_MS: Milliseconds = 8000;

/** Which relays to ask for a connection. */
export interface RelayChoice {
  /** Returns up to so many relays, the most likely ones first. */
  pick(endpoint: string, relays: Relay[], count: number): Relay[];
  noteFailure(relay: Relay, endpoint: string, error: TunnelError): void;
  noteSuccess(relay: Relay, endpoint: string): void;
}

/** What is known of a relay, the most likely to open a tunnel first. */
const STANDINGS = ['proven', 'near', 'far', 'failed elsewhere', 'failed'] as const;
type Standing = (typeof STANDINGS)[number];

/**
 * Creates a choice at random among the relays of the data centre, then of the others. While some fail,
 * those that opened a tunnel lately come first. Those that reach no endpoint themselves are left out.
 */
export function createRelayChoice(clock: Clock, random: Random, dataCentre: string): RelayChoice {
  const failures = createMemory(clock, AVOIDANCE_MS);
  const pathFailures = createMemory(clock, AVOIDANCE_MS);
  const successes = createMemory(clock, PREFERENCE_MS);

  function judge(relay: Relay, endpoint: string): Standing {
    if (pathFailures.has(getPathKey(relay, endpoint))) return 'failed';
    if (failures.has(relay.instance)) return 'failed elsewhere';
    if (failures.hasAny() && successes.has(relay.instance)) return 'proven';
    return relay.dataCentre === dataCentre ? 'near' : 'far';
  }

  return {
    pick(endpoint, relays, count) {
      const reaching = relays.filter(({ isCutOff }) => !isCutOff);
      // What the rows tell may have changed, so all are asked where none is said to reach endpoints.
      const asked = reaching.length > 0 ? reaching : relays;
      const ranked = asked.map((relay) => ({
        relay,
        rank: STANDINGS.indexOf(judge(relay, endpoint)),
        draw: random.fraction(),
      }));
      ranked.sort((a, b) => a.rank - b.rank || a.draw - b.draw);
      return ranked.slice(0, count).map(({ relay }) => relay);
    },
    noteFailure(relay, endpoint, error) {
      // A refusal by the endpoint itself tells nothing of the relay.
      if (error === 'refused') return;
      failures.note(relay.instance);
      if (error !== 'unreachable') pathFailures.note(getPathKey(relay, endpoint));
    },
    noteSuccess(relay, endpoint) {
      failures.drop(relay.instance);
      pathFailures.drop(getPathKey(relay, endpoint));
      successes.note(relay.instance);
    },
  };
}

// Names that are remembered for a time.
function createMemory(clock: Clock, duration: Milliseconds) {
  const notedAt = new Map<string, Milliseconds>();

  function forgetOld(): void {
    for (const [name, at] of notedAt) {
      if (clock.elapsed() - at < duration) return;
      notedAt.delete(name);
    }
  }

  return {
    note(name: string): void {
      // Names stand in the order of their times.
      notedAt.delete(name);
      notedAt.set(name, clock.elapsed());
    },
    drop: (name: string) => notedAt.delete(name),
    has(name: string): boolean {
      forgetOld();
      return notedAt.has(name);
    },
    hasAny(): boolean {
      forgetOld();
      return notedAt.size > 0;
    },
  };
}

function getPathKey({ instance }: Relay, endpoint: string): string {
  return `${instance}/${endpoint}`;
}
