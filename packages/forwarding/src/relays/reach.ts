import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';

const REFERENCE_TIMEOUT_MS: Milliseconds = 100;
/** Endpoints that are tried to learn whether this instance has a path at all. */
const REFERENCES_MAX = 3;
/** Interval at which a lost reach is tried again. */
const RETRY_INTERVAL_MS: Milliseconds = 1000;

/** Dependencies of knowing the reach. */
export interface ReachHost {
  clock: Clock;
  random: Random;
  /** Aborted when nothing is to be tried any more. */
  signal: AbortSignal;
  listAddresses(): string[];
  /** Connects by the own path; its result is noted before it resolves. */
  connect(address: string, timeout: Milliseconds): Promise<void>;
  /** Called when the reach is lost or regained. */
  onChange(isLost: boolean): void;
}

/** Whether this instance reaches endpoints by its own paths at all. */
export interface Reach {
  noteOpened(): void;
  noteFailed(address: string): void;
  /** Whether no endpoint is reached. */
  isLost(): boolean;
  /** Tries other endpoints; resolves to whether one was reached meanwhile, or none is there to be tried. */
  confirm(address: string): Promise<boolean>;
}

/** Creates a reach that counts as sound. */
export function createReach({ clock, random, signal, ...host }: ReachHost): Reach {
  /** Endpoints that were not reached since any of them was. */
  const failed = new Set<string>();
  let openings = 0;
  let isLost = false;
  let isLooking = false;

  function setLost(next: boolean): void {
    if (isLost === next) return;
    isLost = next;
    host.onChange(next);
  }

  function pickReferences(isExcluded: (address: string) => boolean = () => false): string[] {
    const others = host.listAddresses().filter((address) => !isExcluded(address));
    const from = random.integer(0, Math.max(0, others.length - 1));
    return [...others.slice(from), ...others.slice(0, from)].slice(0, REFERENCES_MAX);
  }

  async function reachesAny(references: string[]): Promise<boolean> {
    const before = openings;
    await Promise.all(references.map((address) => host.connect(address, REFERENCE_TIMEOUT_MS)));
    return openings > before;
  }

  async function look(): Promise<void> {
    isLooking = true;
    let isReached = await reachesAny(pickReferences((address) => failed.has(address)));
    if (!isReached) setLost(true);
    // No request may come that would tell that the paths work again.
    while (!isReached && !signal.aborted) {
      await sleep(clock, RETRY_INTERVAL_MS, signal);
      isReached = !isLost || (await reachesAny(pickReferences()));
    }
    isLooking = false;
  }

  // One endpoint alone does not tell its own death from a lost path.
  function isDoubtful(): boolean {
    const known = host.listAddresses().length;
    return known > 1 && failed.size >= Math.min(REFERENCES_MAX, known);
  }

  return {
    noteOpened() {
      openings += 1;
      failed.clear();
      setLost(false);
    },
    noteFailed(address) {
      if (failed.size < REFERENCES_MAX) failed.add(address);
      if (!isLooking && isDoubtful()) look();
    },
    isLost: () => isLost,
    async confirm(address) {
      if (isLost) return false;
      const references = pickReferences((other) => other === address);
      return references.length === 0 || (await reachesAny(references));
    },
  };
}
