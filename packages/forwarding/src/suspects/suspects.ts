import { Diagnostics, runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Random } from '@pomeloroad/core';
import type { RowStore } from '@pomeloroad/storage';
import type { EndpointCrash } from './crashWatch';
import { CONFIRM_TIME_MS, createSoundParts } from './soundParts';
import { CRASHES_TO_HOLD, createEvidenceBook } from './suspectEvidence';
import type { Suspicion } from './suspectEvidence';
import { createSuspectProbes } from './suspectProbes';
import type { Suspect } from './suspectRows';
import { followSuspects } from './suspectTable';
import type { StoredSuspect } from './suspectTable';

/** Time without a request for a part after which its row is removed. */
const RETENTION_MS: Milliseconds = 3_600_000;
/** Age of a row from which on a request for its part renews it. */
const RENEWAL_AGE_MS: Milliseconds = 1_800_000;
const SWEEP_INTERVAL_MS: Milliseconds = 60_000;
/** Time within which further crashes are collected for the next write. */
const WRITE_DELAY_MS: Milliseconds = 30;
const RETRY_DELAY_MS: Milliseconds = 300;
/** Maximum random delay of a removal, so that not all instances remove a row at once. */
const REMOVAL_DELAY_MAX_MS: Milliseconds = 200;
/** The gravest first. */
const SUSPICIONS: readonly Suspicion[] = ['blocked', 'suspected', 'weak'];

/** Dependencies of knowing suspects. */
export interface SuspectsHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  signal: AbortSignal;
}

/** Whether a request may be sent. `unknown`: the suspects are not known yet. */
export type Admittance =
  | { kind: 'allowed' }
  /** Allowed once, to find out whether these parts still crash endpoints. */
  | { kind: 'probe'; parts: string[] }
  | { kind: 'blocked'; part: string }
  | { kind: 'unknown' };

/**
 * Prompt parts under which endpoints have crashed, as all instances know them. A part is blocked after
 * several crashes, unless prompts with it have lately been answered.
 */
export interface Suspects {
  /** Decides on a new request with these shared parts. */
  admit(parts: string[]): Promise<Admittance>;
  /** Takes back that a request was admitted as a probe; it has reached no endpoint. */
  giveBack(parts: string[]): void;
  /** Returns the gravest suspicion against one of the parts, as it is known now. */
  judge(parts: string[]): Suspicion;
  noteCrash(crash: EndpointCrash): void;
  /** An incarnation of an endpoint has answered a prompt of these parts, at least for a while. */
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
  const table = followSuspects({ ...host, onChange: handleChange, onLost: handleLost });
  const evidence = createEvidenceBook(table, sound.has);
  const probes = createSuspectProbes(clock, table, evidence);
  let blocked: string[] = [];
  let isWriting = false;

  const isBlocked = (part: string) => evidence.judge(part) === 'blocked';

  function handleChange(parts: string[]): void {
    logBlocks();
    const cleared = parts.filter((part) => table.get(part) && isCleared(part));
    if (cleared.length > 0) remove(cleared);
  }

  // One crash holds nothing, so its row stays until the part is answered again.
  function isCleared(part: string): boolean {
    return sound.has(part) && evidence.getCrashes(part).size >= CRASHES_TO_HOLD;
  }

  // A copy of the store that came back lacks these rows: they are written again.
  function handleLost(lost: Map<string, Suspect>): void {
    lost.forEach((suspect, part) => evidence.add(part, suspect));
    write();
  }

  function logBlocks(): void {
    const before = blocked;
    blocked = evidence.listBlocked();
    before
      .filter((part) => !blocked.includes(part))
      .forEach((part) => log(Diagnostics.promptPartCleared, { part }));
    blocked.filter((part) => !before.includes(part)).forEach(logBlock);
  }

  function logBlock(part: string): void {
    const crashes = [...evidence.getCrashes(part)].join(', ');
    const requests = evidence.countRequests(part);
    log(Diagnostics.promptPartBlocked, { part, crashes, requests });
  }

  async function write(): Promise<void> {
    const parts = evidence.listPending();
    if (isWriting || parts.length === 0 || signal.aborted) return;
    isWriting = true;
    await sleep(clock, WRITE_DELAY_MS);
    const result = await table.update(evidence.listPending(), evidence.merge);
    evidence
      .listPending()
      .filter((part) => evidence.merge(part) === undefined)
      .forEach(evidence.drop);
    if (result === 'failed') await sleep(clock, RETRY_DELAY_MS);
    isWriting = false;
    write();
  }

  // The parts have been answered, so crashes beside them were not their doing.
  async function remove(parts: string[]): Promise<void> {
    parts.forEach(evidence.drop);
    await sleep(clock, random.integer(0, REMOVAL_DELAY_MAX_MS));
    await table.update(parts, (part) => (sound.has(part) ? 'removed' : undefined));
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
      const found = parts.filter(isBlocked);
      const [part] = found;
      if (part === undefined) return { kind: 'allowed' };
      if (await probes.take(found)) {
        log(Diagnostics.promptPartProbed, { parts: found.join(', ') });
        return { kind: 'probe', parts: found };
      }
      found.forEach(renew);
      return { kind: 'blocked', part };
    },
    giveBack: probes.giveBack,
    judge(parts) {
      const found = new Set(parts.map(evidence.judge));
      return SUSPICIONS.find((suspicion) => found.has(suspicion)) ?? 'none';
    },
    noteCrash({ incarnation, parts }) {
      sound.noteCrash(incarnation);
      parts.forEach((requests, part) => {
        if (!sound.has(part)) evidence.add(part, { crashes: [incarnation], requests });
      });
      logBlocks();
      write();
    },
    noteAnswer(parts, incarnation) {
      sound.noteAnswer(parts, incarnation);
      const suspected = parts.filter(evidence.has);
      if (suspected.length === 0) return;
      clock.after(CONFIRM_TIME_MS, () => {
        const cleared = suspected.filter(sound.has);
        if (cleared.length > 0) remove(cleared);
        logBlocks();
      });
    },
    isLoaded: table.isLoaded,
    refresh: table.refresh,
    listBlocked: () => blocked,
  };
}
