import { sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { EndpointLosses } from '../store/endpointLosses';
import { createSuspectBlame } from './suspectBlame';
import type { EvidenceBook } from './suspectEvidence';
import { VERDICT_TIME_MS } from './suspectTable';
import type { StoredSuspect, SuspectTable } from './suspectTable';

/** A probe that was not sent within this time is not sent any more. */
export const PROBE_SEND_TIME_MS: Milliseconds = 1000;
/** Longest time between a probe and the moment at which this instance knows it; endpoints are known sooner. */
const PROBE_DELAY_MAX_MS: Milliseconds = 2000;
const VERDICT_RETRY_MS: Milliseconds = 500;
/** Maximum random delay of giving back, so that not all instances write at once. */
const GIVE_BACK_DELAY_MAX_MS: Milliseconds = 500;

/** Dependencies of the probes. */
export interface SuspectProbesHost {
  clock: Clock;
  random: Random;
  losses: KnownLosses;
  signal: AbortSignal;
}

/** What this instance knows of endpoints that were lost. */
export interface KnownLosses extends Pick<EndpointLosses, 'mayHaveOthers'> {
  /** Time of `clock.elapsed()` until which all losses are known. */
  getViewTime(): Milliseconds;
}

/** Requests of the whole fleet that are sent although suspects in them are blocked. */
export interface SuspectProbes {
  /** Takes the next probe of all blocked suspects of a request, or of none; false if one of them has none now. */
  take(names: string[], blocked: string[]): Promise<boolean>;
  /** Writes a probe that has waited again, so that it may be sent now; false if others have changed its rows. */
  renew(names: string[]): Promise<boolean>;
  /** Gives a probe back that reached no endpoint. */
  giveBack(names: string[]): void;
  /** Follows the probes that these rows may have got, and gives those back that ended without a verdict. */
  follow(names: string[]): void;
}

/** A probe that this instance has taken. */
interface TakenProbe {
  /** Version of the row that counts it. */
  version: number;
  /** Time of `clock.elapsed()` when it was asked for. */
  at: Milliseconds;
}

/** Creates the probes that the rows of the store allow. */
export function createSuspectProbes(
  { clock, random, losses, signal }: SuspectProbesHost,
  table: SuspectTable,
  evidence: EvidenceBook,
): SuspectProbes {
  const blame = createSuspectBlame(evidence);
  /** Versions of the rows whose probes are followed, by the names of their suspects. */
  const followed = new Map<string, number>();
  const taken = new Map<string, TakenProbe>();

  function isDue(stored: StoredSuspect | undefined, delays: readonly Milliseconds[]): boolean {
    if (!stored) return false;
    const delay = delays[stored.probes] ?? Infinity;
    return clock.elapsed() - stored.changedAt >= delay;
  }

  // Others may have changed or removed the rows since they were written, as after a crash under the probe.
  function noteTaken(names: string[], version: number, at: Milliseconds): void {
    names.filter((name) => table.get(name)).forEach((name) => taken.set(name, { version, at }));
  }

  function isHeld(name: string, stored: StoredSuspect | undefined): boolean {
    return stored !== undefined && stored.version === taken.get(name)?.version;
  }

  // After some time, others may have given it back.
  function isOwn(name: string, { version }: StoredSuspect): boolean {
    const own = taken.get(name);
    if (!own) return false;
    return clock.elapsed() - own.at < VERDICT_TIME_MS || version === own.version;
  }

  // Neither an answer nor a crash has come of the probe, as where its instance has ended meanwhile.
  async function judge(
    name: string,
    { version, crashes, changedAt }: StoredSuspect,
  ): Promise<void> {
    const isOpen = () => !signal.aborted && table.get(name)?.version === version;
    const until = changedAt + VERDICT_TIME_MS;
    await sleep(clock, VERDICT_TIME_MS, signal);
    while (isOpen() && losses.getViewTime() < until) await sleep(clock, VERDICT_RETRY_MS, signal);
    if (!isOpen() || losses.mayHaveOthers(crashes, changedAt - PROBE_DELAY_MAX_MS)) return;
    if (!blame.mayBeSound(name)) return;
    await sleep(clock, random.integer(0, GIVE_BACK_DELAY_MAX_MS), signal);
    await table.update([name], (_, stored) =>
      stored?.version === version ? { ...stored, probes: stored.probes - 1 } : undefined,
    );
  }

  // A suspect's next row has probes of its own.
  function forgetEnded(names: string[]): void {
    names.filter((name) => !table.get(name)).forEach((name) => taken.delete(name));
  }

  async function followProbe(name: string): Promise<void> {
    const stored = table.get(name);
    if (!stored?.isProbe || followed.get(name) === stored.version) return;
    followed.set(name, stored.version);
    await judge(name, stored);
    if (followed.get(name) === stored.version) followed.delete(name);
  }

  return {
    follow(names) {
      forgetEnded(names);
      names.forEach(followProbe);
    },
    async take(names, blocked) {
      const delays = blame.getProbeDelays(names, blocked);
      if (!blocked.every((name) => isDue(table.get(name), delays))) return false;
      const probes = new Map(blocked.map((name) => [name, table.get(name)?.probes]));
      const at = clock.elapsed();
      const isFree = () => blocked.every((name) => table.get(name)?.probes === probes.get(name));
      const result = await table.update(blocked, (_, stored) =>
        stored && isFree() ? { ...stored, probes: stored.probes + 1 } : undefined,
      );
      if (result.kind !== 'written') return false;
      noteTaken(blocked, result.version, at);
      return true;
    },
    async renew(names) {
      const at = clock.elapsed();
      const isHeldYet = () => names.every((name) => isHeld(name, table.get(name)));
      const result = await table.update(names, (_, stored) => (isHeldYet() ? stored : undefined));
      if (result.kind !== 'written') return false;
      noteTaken(names, result.version, at);
      return true;
    },
    giveBack(names) {
      table.update(names, (name, stored) =>
        stored && stored.probes > 0 && isOwn(name, stored)
          ? { ...stored, probes: stored.probes - 1 }
          : undefined,
      );
    },
  };
}
