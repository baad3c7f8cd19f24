import type { Clock, Milliseconds } from './types';

/** Bytes that a process holds at most, unless its settings say otherwise. */
export const DEFAULT_MEMORY_LIMIT_BYTES = 96 * 1024 * 1024;
/** From this part of the limit on, those that hold much are read one after another. */
const PRESSURE_RATIO = 0.5;
/** What each holder may have under pressure too. */
const SMALL_BYTES = 64 * 1024;
/** Time within which the one that is read under pressure must bring or free as much as the small amount. */
const STALL_MS: Milliseconds = 3000;

/** One that holds memory, such as a connection. */
export interface MemoryHolder {
  /** Called when it may be read on, after it was told that it may not. */
  resume(): void;
  /** Whether it may bring more, so that reading it on may end what it holds. */
  isBringing(): boolean;
  /** Whether it may be given up: not while the only thing that it holds is at work. */
  mayRefuse(): boolean;
  /** Gives up what it holds, and frees it before returning if it can. */
  refuse(): void;
}

/** What one holder has of the account. */
export interface MemoryShare {
  /** Adds bytes; fewer than none frees them. May refuse this holder or others. */
  hold(bytes: number): void;
  /** Whether more may be read for the holder now; if not, it is told when it may. */
  mayRead(): boolean;
  /** Frees all that it has left. */
  close(): void;
}

/** Holders that were refused since the start, and what they held. */
export interface MemoryRefusals {
  refused: number;
  bytes: number;
}

/** The bytes that a process holds for all whom it reads from; one bound applies to their sum. */
export interface MemoryAccount {
  /** Adds a holder that holds nothing. */
  open(holder: MemoryHolder): MemoryShare;
  held(): number;
  refusals(): MemoryRefusals;
}

/** Dependencies of the account. */
export interface MemoryAccountHost {
  clock: Clock;
  /** Above this sum those that hold most are refused at once. */
  limit?: number;
}

interface Entry {
  holder: MemoryHolder;
  bytes: number;
  /** Bytes that it has added and freed so far. */
  moved: number;
  isOpen: boolean;
}

/** Creates an account of which nothing is held. */
export function createMemoryAccount({
  clock,
  limit = DEFAULT_MEMORY_LIMIT_BYTES,
}: MemoryAccountHost): MemoryAccount {
  const pressure = limit * PRESSURE_RATIO;
  /** Those that hold anything. */
  const holding = new Set<Entry>();
  /** Those above the small amount, in the order in which they have passed it. */
  const large = new Set<Entry>();
  /** Those that were told not to read. */
  const waiting = new Set<Entry>();
  const refused: MemoryRefusals = { refused: 0, bytes: 0 };
  let total = 0;
  let isShrinking = false;
  let isWatching = false;

  function add(share: Entry, bytes: number): void {
    const entry = share;
    if (!entry.isOpen || bytes === 0) return;
    entry.bytes += bytes;
    entry.moved += Math.abs(bytes);
    total += bytes;
    note(holding, entry, 0);
    note(large, entry, SMALL_BYTES);
    if (bytes > 0) shrink();
    else resumeWaiting();
  }

  // Refusing one frees what it held, which must not start over.
  function shrink(): void {
    if (isShrinking) return;
    isShrinking = true;
    while (total > limit) {
      const victim = findLargest();
      if (!victim) break;
      refuse(victim);
    }
    isShrinking = false;
  }

  function findLargest(): Entry | undefined {
    return pickLargest(large) ?? pickLargest(holding);
  }

  function refuse(entry: Entry): void {
    refused.refused += 1;
    refused.bytes += entry.bytes;
    entry.holder.refuse();
    close(entry);
  }

  function close(share: Entry): void {
    const entry = share;
    if (!entry.isOpen) return;
    entry.isOpen = false;
    total -= entry.bytes;
    [holding, large, waiting].forEach((set) => set.delete(entry));
    resumeWaiting();
  }

  function mayRead(entry: Entry): boolean {
    if (!entry.isOpen || total <= pressure || entry.bytes <= SMALL_BYTES) return true;
    return entry === findTurn();
  }

  // The one that has been large for longest, of those that may bring more.
  function findTurn(): Entry | undefined {
    for (const entry of large) if (entry.holder.isBringing()) return entry;
    return undefined;
  }

  function resumeWaiting(): void {
    if (waiting.size === 0) return;
    const ready = total <= pressure ? [...waiting] : [...waiting].filter(mayRead);
    ready.forEach((entry) => {
      waiting.delete(entry);
      entry.holder.resume();
    });
  }

  function watch(): void {
    if (isWatching || waiting.size === 0) return;
    isWatching = true;
    const turn = findTurn();
    const moved = turn?.moved;
    clock.after(STALL_MS, () => {
      isWatching = false;
      const isStalled = turn === findTurn() && turn && turn.moved < (moved ?? 0) + SMALL_BYTES;
      if (isStalled && total > pressure) refuse(turn);
      else resumeWaiting();
      watch();
    });
  }

  return {
    open(holder) {
      const entry: Entry = { holder, bytes: 0, moved: 0, isOpen: true };
      return {
        hold: (bytes) => add(entry, bytes),
        mayRead() {
          if (mayRead(entry)) return true;
          waiting.add(entry);
          watch();
          return false;
        },
        close: () => close(entry),
      };
    },
    held: () => total,
    refusals: () => ({ ...refused }),
  };
}

function note(set: Set<Entry>, entry: Entry, above: number): void {
  if (entry.bytes > above) set.add(entry);
  else set.delete(entry);
}

function pickLargest(entries: Set<Entry>): Entry | undefined {
  let found: Entry | undefined;
  entries.forEach((entry) => {
    if (entry.holder.mayRefuse() && (!found || isBefore(entry, found))) found = entry;
  });
  return found;
}

// Of two that hold as much, the one that has moved less.
function isBefore(entry: Entry, other: Entry): boolean {
  if (entry.bytes !== other.bytes) return entry.bytes > other.bytes;
  return entry.moved < other.moved;
}
