import { Diagnostics, runPeriodically, sleep } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds, Random } from '@pomeloroad/core';
import type { RowStore } from '@pomeloroad/storage';
import type { EndpointCrash } from './crashWatch';
import { CONFIRM_TIME_MS, createSoundNames } from './soundNames';
import { CRASHES_TO_HOLD, createEvidenceBook } from './suspectEvidence';
import type { Suspicion } from './suspectEvidence';
import type { SharedFeed } from '../store/sharedFeed';
import { isRequestName } from './suspectNames';
import { createSuspectProbes } from './suspectProbes';
import type { KnownLosses } from './suspectProbes';
import type { Suspect } from './suspectRows';
import { followSuspects } from './suspectTable';
import type { StoredSuspect } from './suspectTable';

/** Time without a request for a suspect after which its row is removed. */
const RETENTION_MS: Milliseconds = 3_600_000;
/** That time for a whole request under one crash: each crash names all requests that it broke off. */
const WEAK_RETENTION_MS: Milliseconds = 600_000;
/** Age of a row from which on a request for its suspect renews it. */
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
  feed: SharedFeed;
  losses: KnownLosses;
  signal: AbortSignal;
}

/** Whether a request may be sent. `unknown`: the suspects are not known yet. */
export type Admittance =
  | { kind: 'allowed' }
  /** Allowed once, to find out whether these suspects still crash endpoints. */
  | { kind: 'probe'; names: string[] }
  | { kind: 'blocked'; name: string }
  | { kind: 'unknown' };

/**
 * Suspects under which endpoints have crashed, as all instances know them. A suspect is blocked after
 * several crashes, unless requests with it have lately been answered.
 */
export interface Suspects {
  /** Decides on a new request with these names. */
  admit(names: string[]): Promise<Admittance>;
  /** Asks again for a request that was admitted as a probe and has waited; false if it may not be sent any more. */
  renewProbe(names: string[]): Promise<boolean>;
  /** Takes back that a request was admitted as a probe; it has reached no endpoint. */
  giveBack(names: string[]): void;
  /** Returns the gravest suspicion against one of the suspects, as it is known now. */
  judge(names: string[]): Suspicion;
  noteCrash(crash: EndpointCrash): void;
  /** An incarnation of an endpoint has answered a request with these names, at least for a while. */
  noteAnswer(names: string[], incarnation: string): void;
  isLoaded(): boolean;
  /** Reads the suspects of other instances again; false if the store failed. */
  refresh(): Promise<boolean>;
  listBlocked(): string[];
}

/** Starts knowing the suspects of all instances. */
export function startSuspects(host: SuspectsHost): Suspects {
  const { clock, random, log, signal } = host;
  const sound = createSoundNames(clock);
  const table = followSuspects({ ...host, onChange: handleChange, onLost: handleLost });
  const evidence = createEvidenceBook(table, sound.has);
  const probes = createSuspectProbes(host, table, evidence);
  let blocked: string[] = [];
  let isWriting = false;

  const isBlocked = (name: string) => evidence.judge(name) === 'blocked';

  // An answer may have come just before, and needs a moment until it shows anything.
  function handleChange(names: string[]): void {
    logBlocks();
    clear(names);
    probes.follow(names);
    clock.after(CONFIRM_TIME_MS, () => clear(names));
  }

  function clear(names: string[]): void {
    const cleared = names.filter((name) => table.get(name) && isCleared(name));
    if (cleared.length > 0) remove(cleared);
  }

  // One crash holds nothing, so its row stays until the suspect is answered again.
  function isCleared(name: string): boolean {
    return sound.has(name) && evidence.getCrashes(name).size >= CRASHES_TO_HOLD;
  }

  // A copy of the store that came back lacks these rows: they are written again.
  function handleLost(lost: Map<string, Suspect>): void {
    lost.forEach((suspect, name) => evidence.add(name, suspect));
    write();
  }

  function logBlocks(): void {
    const before = blocked;
    blocked = evidence.listBlocked();
    before
      .filter((name) => !blocked.includes(name))
      .forEach((name) => log(Diagnostics.suspectCleared, { name }));
    blocked.filter((name) => !before.includes(name)).forEach(logBlock);
  }

  function logBlock(name: string): void {
    const crashes = [...evidence.getCrashes(name)].join(', ');
    const requests = evidence.countRequests(name);
    log(Diagnostics.suspectBlocked, { name, crashes, requests });
  }

  async function write(): Promise<void> {
    const names = evidence.listPending();
    if (isWriting || names.length === 0 || signal.aborted) return;
    isWriting = true;
    await sleep(clock, WRITE_DELAY_MS);
    const result = await table.update(evidence.listPending(), evidence.merge);
    evidence
      .listPending()
      .filter((name) => evidence.merge(name) === undefined)
      .forEach(evidence.drop);
    if (result.kind === 'failed') await sleep(clock, RETRY_DELAY_MS);
    isWriting = false;
    write();
  }

  // The suspects have been answered, so crashes beside them were not their doing.
  async function remove(names: string[]): Promise<void> {
    names.forEach(evidence.drop);
    await sleep(clock, random.integer(0, REMOVAL_DELAY_MAX_MS));
    await table.update(names, (name) => (sound.has(name) ? 'removed' : undefined));
  }

  function getAge({ changedAt }: StoredSuspect): Milliseconds {
    return clock.elapsed() - changedAt;
  }

  // A block lasts as long as requests for its suspect come.
  function renew(name: string): void {
    const found = table.get(name);
    if (!found || getAge(found) < RENEWAL_AGE_MS) return;
    table.update([name], (_, stored) =>
      stored && getAge(stored) >= RENEWAL_AGE_MS ? stored : undefined,
    );
  }

  function isOld(name: string, stored: StoredSuspect | undefined): boolean {
    if (!stored) return false;
    const isWeak = isRequestName(name) && stored.crashes.length < CRASHES_TO_HOLD;
    return getAge(stored) >= (isWeak ? WEAK_RETENTION_MS : RETENTION_MS);
  }

  async function sweep(): Promise<void> {
    const old = table.list().filter((name) => isOld(name, table.get(name)));
    if (old.length === 0) return;
    await table.update(old, (name, stored) => (isOld(name, stored) ? 'removed' : undefined));
  }

  runPeriodically(clock, () => SWEEP_INTERVAL_MS, signal, sweep);
  return {
    async admit(names) {
      if (names.length === 0) return { kind: 'allowed' };
      if (!table.isLoaded()) return { kind: 'unknown' };
      const found = names.filter(isBlocked);
      const [name] = found;
      if (name === undefined) return { kind: 'allowed' };
      if (await probes.take(names, found)) {
        log(Diagnostics.suspectProbed, { names: found.join(', ') });
        return { kind: 'probe', names: found };
      }
      found.forEach(renew);
      return { kind: 'blocked', name };
    },
    renewProbe: probes.renew,
    giveBack: probes.giveBack,
    judge(names) {
      const found = new Set(names.map(evidence.judge));
      return SUSPICIONS.find((suspicion) => found.has(suspicion)) ?? 'none';
    },
    noteCrash({ incarnation, names }) {
      sound.noteCrash(incarnation);
      names.forEach((requests, name) => {
        if (!sound.has(name)) evidence.add(name, { crashes: [incarnation], requests });
      });
      logBlocks();
      write();
    },
    noteAnswer(names, incarnation) {
      sound.noteAnswer(names, incarnation);
      const suspected = names.filter(evidence.has);
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
