import { Err, Ok } from 'ts-results';
import type { Clock, Connection, Milliseconds, Outcome } from '@pomeloroad/core';
import type { TunnelError } from '@pomeloroad/peers';
import type { EndpointRecord } from '../types';
import type { Relay } from './relayRows';
import { createSpareConnections } from './spareConnections';

/** Why there is no tunnel; `late`: none has opened in time. */
export type TunnelFailure = TunnelError | 'late';

/** Tunnels through one relay that may be underway beyond those that are waited for. */
const SURPLUS_MAX = 2;
const LATE = Err('late' as const);

type Opened = Outcome<Connection, TunnelFailure>;

/** Dependencies of tunnels. */
export interface TunnelsHost {
  clock: Clock;
  /** Opens a tunnel, in a time that may be longer than anybody waits for it. */
  open(relay: Relay, endpoint: EndpointRecord): Promise<Outcome<Connection, TunnelError>>;
}

/** Tunnels through other instances, also those that open too late for who asked for them. */
export interface Tunnels {
  /**
   * Resolves to a tunnel that has carried nothing yet, or to an error: `late` if none has opened within
   * the timeout. One that opens later serves the next who asks, who then needs no other one.
   */
  get(relay: Relay, endpoint: EndpointRecord, timeout: Milliseconds): Promise<Opened>;
}

/** The tunnels through one relay to one endpoint. */
interface Way {
  relay: string;
  /** Tunnels that are being opened. */
  opening: number;
  /** Who waits for one, the first one first. */
  waiters: Set<(opened: Opened) => void>;
}

/** Creates tunnels, none of which is open. */
export function createTunnels({ clock, open }: TunnelsHost): Tunnels {
  const spares = createSpareConnections(clock);
  const ways = new Map<string, Way>();

  function countSurplus(relay: string): number {
    return [...ways.values()]
      .filter((way) => way.relay === relay)
      .reduce((sum, { opening, waiters }) => sum + Math.max(0, opening - waiters.size), 0);
  }

  // A slow relay gets slower if it is asked anew by each who waits; one may also have lost what it was asked.
  function isMissing({ relay, opening, waiters }: Way): boolean {
    return opening < waiters.size || countSurplus(relay) < SURPLUS_MAX;
  }

  function openMissing(name: string, relay: Relay, endpoint: EndpointRecord): void {
    const way = ways.get(name);
    if (!way || !isMissing(way)) return;
    way.opening += 1;
    open(relay, endpoint).then((opened) => {
      way.opening -= 1;
      const [first] = way.waiters;
      // An error is for who waits without a tunnel underway.
      if (first && (opened.ok || way.opening < way.waiters.size)) first(opened);
      else if (opened.ok) spares.add(name, opened.val);
      forgetUnused(name, way);
    });
  }

  function forgetUnused(name: string, way: Way): void {
    if (way.opening === 0 && way.waiters.size === 0) ways.delete(name);
  }

  function wait(name: string, way: Way, timeout: Milliseconds): Promise<Opened> {
    return new Promise((resolve) => {
      const timer = clock.after(timeout, () => finish(LATE));
      way.waiters.add(finish);

      function finish(opened: Opened): void {
        timer.cancel();
        way.waiters.delete(finish);
        forgetUnused(name, way);
        resolve(opened);
      }
    });
  }

  return {
    async get(relay, endpoint, timeout) {
      const name = getName(relay, endpoint);
      const spare = spares.take(name);
      if (spare) return Ok(spare);
      const way = ways.get(name) ?? { relay: relay.instance, opening: 0, waiters: new Set() };
      ways.set(name, way);
      const opened = wait(name, way, timeout);
      openMissing(name, relay, endpoint);
      return opened;
    },
  };
}

// A relay or an endpoint that starts again under its name has another secret or address.
function getName({ instance, secret }: Relay, { id, address }: EndpointRecord): string {
  return JSON.stringify([instance, secret, id, address]);
}
