import { Diagnostics, runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Random } from '@pomeloroad/core';
import type { RowStore } from '@pomeloroad/storage';
import type { EndpointCrash } from './crashWatch';
import { CONFIRM_TIME_MS, createSoundParts } from './soundParts';
import type { Suspect } from './suspectRows';
import { followSuspects } from './suspectTable';
import type { StoredSuspect } from './suspectTable';

/** Endpoints that have to crash under a part until no new request with it is sent. */
const CRASHES_TO_BLOCK = 3;
/** Endpoints that have to crash under a part until no request with it is sent again after a failure. */
const CRASHES_TO_HOLD = 2;
/** Crashes that a row names at most; more would tell nothing new. */
const CRASHES_NAMED_MAX = 8;
/**
 * Times since the last crash or probe after which one request of the whole fleet may be sent in spite of
 * the block. There are few, since each may cost an endpoint and all streams on it.
 */
const PROBE_DELAYS_MS: readonly Milliseconds[] = [60_000, 600_000];
/** Time without a request for a part after which its row is removed. */
const RETENTION_MS: Milliseconds = 3_600_000;
/** Age of a row from which on a request for its part renews it. */
const RENEWAL_AGE_MS: Milliseconds = 1_800_000;
const SWEEP_INTERVAL_MS: Milliseconds = 60_000;
/** Time within which further crashes and failed writes are collected for the next write. */
const WRITE_DELAY_MS: Milliseconds = 30;
const RETRY_DELAY_MS: Milliseconds = 300;
/** Maximum random delay of a removal, so that not all instances remove a row at once. */
const REMOVAL_DELAY_MAX_MS: Milliseconds = 200;

/** Dependencies of knowing suspects. */
export interface SuspectsHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  signal: AbortSignal;
}

/**
 * What is known against the parts of a prompt: nothing, too little to decide anything, enough not to send
 * the request again after a failure, or enough not to send it.
 */
export type Suspicion = 'none' | 'weak' | 'suspected' | 'blocked';

/** The gravest first. */
const SUSPICIONS: readonly Suspicion[] = ['blocked', 'suspected', 'weak'];

/** Whether a request may be sent. `unknown`: the suspects are not known yet. */
export type Admittance =
  | { kind: 'allowed' }
  /** Allowed once, to find out whether the part still crashes endpoints. */
  | { kind: 'probe'; part: string }
  | { kind: 'blocked'; part: string }
  | { kind: 'unknown' };

/**
 * Prompt parts under which endpoints have crashed, as all instances know them. A part is blocked after
 * several crashes, unless prompts with it have lately been answered.
 */
export interface Suspects {
  /** Decides on a new request with these shared parts. */
  admit(parts: string[]): Promise<Admittance>;
  /** Judges by what is known now. */
  judge(parts: string[]): Suspicion;
  noteCrash(crash: EndpointCrash): void;
  /** An incarnation of an endpoint has answered a prompt of these parts to its end. */
  noteAnswer(parts: string[], incarnation: string): void;
  isLoaded(): boolean;
  /** Reads the suspects of other instances again; false if the store failed. */
  refresh(): Promise<boolean>;
  listBlocked(): string[];
}

/** Starts knowing the suspects of all instances. */
export function startSuspects(host: SuspectsHost): Suspects {
  const { clock, random, log, signal } = host;
  const sound = createSoundParts(clock);
  /** Crashes that are not in the store yet. */
  const pending = new Map<string, Set<string>>();
  const blocked = new Set<string>();
  let isWriting = false;
  const table = followSuspects({ ...host, onChange: handleChange, onLost: handleLost });

  function getCrashes(part: string): ReadonlySet<string> {
    return new Set([...(table.get(part)?.crashes ?? []), ...(pending.get(part) ?? [])]);
  }

  function isBlocked(part: string): boolean {
    return judgePart(part) === 'blocked';
  }

  function judgePart(part: string): Suspicion {
    const count = getCrashes(part).size;
    if (count === 0 || sound.has(part)) return 'none';
    if (count < CRASHES_TO_HOLD) return 'weak';
    return count < CRASHES_TO_BLOCK ? 'suspected' : 'blocked';
  }

  function handleChange(parts: string[]): void {
    parts.forEach(updateBlock);
    const cleared = parts.filter((part) => table.get(part) && isCleared(part));
    if (cleared.length > 0) remove(cleared);
  }

  // One crash holds nothing, so its row stays until the part is answered again.
  function isCleared(part: string): boolean {
    return sound.has(part) && getCrashes(part).size >= CRASHES_TO_HOLD;
  }

  // A copy of the store that came back lacks these rows: they are written again.
  function handleLost(lost: Map<string, Suspect>): void {
    lost.forEach(({ crashes }, part) => addPending(part, crashes));
    write();
  }

  function addPending(part: string, crashes: Iterable<string>): void {
    pending.set(part, new Set([...(pending.get(part) ?? []), ...crashes]));
  }

  function updateBlock(part: string): void {
    const crashes = [...getCrashes(part)];
    if (isBlocked(part) === blocked.has(part)) return;
    if (blocked.has(part)) {
      blocked.delete(part);
      log(Diagnostics.promptPartCleared, { part });
    } else {
      blocked.add(part);
      log(Diagnostics.promptPartBlocked, { part, crashes: crashes.join(', ') });
    }
  }

  async function write(): Promise<void> {
    if (isWriting || pending.size === 0 || signal.aborted) return;
    isWriting = true;
    await sleep(clock, WRITE_DELAY_MS);
    const parts = [...pending.keys()];
    const result = await table.update(parts, addCrashes);
    parts.filter(isStored).forEach((part) => pending.delete(part));
    if (result === 'failed') await sleep(clock, RETRY_DELAY_MS);
    isWriting = false;
    write();
  }

  function addCrashes(part: string, stored: StoredSuspect | undefined): Suspect | undefined {
    if (isStored(part)) return undefined;
    const crashes = [...getCrashes(part)].slice(0, CRASHES_NAMED_MAX);
    return { crashes, probes: stored?.probes ?? 0 };
  }

  function isStored(part: string): boolean {
    const stored = table.get(part)?.crashes ?? [];
    const isFull = stored.length >= CRASHES_NAMED_MAX;
    return isFull || [...(pending.get(part) ?? [])].every((crash) => stored.includes(crash));
  }

  // The parts have been answered, so crashes beside them were not their doing.
  async function remove(parts: string[]): Promise<void> {
    parts.forEach((part) => pending.delete(part));
    await sleep(clock, random.integer(0, REMOVAL_DELAY_MAX_MS));
    await table.update(parts, (part) => (sound.has(part) ? 'removed' : undefined));
  }

  async function takeProbe(part: string): Promise<boolean> {
    const found = table.get(part);
    const delay = found && PROBE_DELAYS_MS[found.probes];
    if (!found || delay === undefined || getAge(found) < delay) return false;
    const { probes } = found;
    const result = await table.update([part], (_, stored) =>
      stored?.probes === probes ? { ...stored, probes: probes + 1 } : undefined,
    );
    return result === 'written';
  }

  function getAge({ changedAt }: StoredSuspect): Milliseconds {
    return clock.elapsed() - changedAt;
  }

  // A block lasts as long as requests for its part come.
  function renew(part: string): void {
    const found = table.get(part);
    if (!found || getAge(found) < RENEWAL_AGE_MS) return;
    table.update([part], (_, stored) =>
      stored && getAge(stored) >= RENEWAL_AGE_MS ? stored : undefined,
    );
  }

  async function sweep(): Promise<void> {
    const isOld = (stored: StoredSuspect | undefined) => stored && getAge(stored) >= RETENTION_MS;
    const old = table.list().filter((part) => isOld(table.get(part)));
    if (old.length === 0) return;
    await table.update(old, (_, stored) => (isOld(stored) ? 'removed' : undefined));
  }

  runPeriodically(clock, () => SWEEP_INTERVAL_MS, signal, sweep);
  return {
    async admit(parts) {
      if (parts.length === 0) return { kind: 'allowed' };
      if (!table.isLoaded()) return { kind: 'unknown' };
      const [part, ...others] = parts.filter(isBlocked);
      if (part === undefined) return { kind: 'allowed' };
      updateBlock(part);
      const isProbe = others.length === 0 && (await takeProbe(part));
      if (isProbe) log(Diagnostics.promptPartProbed, { part });
      else renew(part);
      return { kind: isProbe ? 'probe' : 'blocked', part };
    },
    judge(parts) {
      const found = new Set(parts.map(judgePart));
      return SUSPICIONS.find((suspicion) => found.has(suspicion)) ?? 'none';
    },
    noteCrash({ incarnation, parts }) {
      sound.noteCrash(incarnation);
      const unsound = [...parts].filter((part) => !sound.has(part));
      unsound.forEach((part) => {
        addPending(part, [incarnation]);
        updateBlock(part);
      });
      write();
    },
    noteAnswer(parts, incarnation) {
      sound.noteAnswer(parts, incarnation);
      const suspected = parts.filter((part) => table.get(part) ?? pending.get(part));
      if (suspected.length === 0) return;
      clock.after(CONFIRM_TIME_MS, () => {
        const cleared = suspected.filter(sound.has);
        cleared.forEach(updateBlock);
        if (cleared.length > 0) remove(cleared);
      });
    },
    isLoaded: table.isLoaded,
    refresh: table.refresh,
    listBlocked: () => [...blocked],
  };
}
