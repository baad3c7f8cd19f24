import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import { shareCalls } from '../store/sharedCalls';

const REFERENCE_TIMEOUT_MS: Milliseconds = 100;
/** Endpoints that are tried to learn whether this instance has a path at all. */
const REFERENCES_MAX = 3;
/** Endpoints that are tried before a refusal is taken for a lost path, since many may have died together. */
const CONFIRM_REFERENCES_MAX = 8;
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

  function pickReferences(
    most: number,
    isExcluded: (address: string) => boolean = () => false,
  ): string[] {
    const others = host.listAddresses().filter((address) => !isExcluded(address));
    const from = random.integer(0, Math.max(0, others.length - 1));
    return [...others.slice(from), ...others.slice(0, from)].slice(0, most);
  }

  async function reachesAny(references: string[]): Promise<boolean> {
    const before = openings;
    await Promise.all(references.map((address) => host.connect(address, REFERENCE_TIMEOUT_MS)));
    return openings > before;
  }

  async function look(): Promise<void> {
    isLooking = true;
    let isReached = await reachesAny(
      pickReferences(REFERENCES_MAX, (address) => failed.has(address)),
    );
    if (!isReached) setLost(true);
    // No request may come that would tell that the paths work again.
    while (!isReached && !signal.aborted) {
      await sleep(clock, RETRY_INTERVAL_MS, signal);
      isReached = !isLost || (await reachesAny(pickReferences(REFERENCES_MAX)));
    }
    isLooking = false;
  }

  const confirmAny = shareCalls(() => reachesAny(pickReferences(CONFIRM_REFERENCES_MAX)));

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
      return host.listAddresses().every((other) => other === address) || confirmAny();
    },
  };
}
