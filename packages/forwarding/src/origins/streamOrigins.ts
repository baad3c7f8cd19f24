import { sleep, withTimeout } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { RowStore, StoreEra } from '@pomeloroad/storage';
import { createOriginMemory } from './originMemory';
import type { OriginSource, RecordedOrigin, StreamOrigin } from './originMemory';
import { createOriginReader, READ_TIMEOUT_MS } from './originReader';
import { getStreamName } from './originRows';
import { startOriginWriter } from './originWriter';
import type { TargetHistory } from './targetHistory';
import type { VersionHistory } from './versionHistory';
import type { Route } from '../types';

/** Time for which the origin of a stream is in doubt whose endpoint tells no start. */
const DOUBT_TIME_MS: Milliseconds = 2500;
/** Time for which the first event of a stream waits until others can know that its version is in doubt. */
const RECORD_TIMEOUT_MS: Milliseconds = 700;
/** Pauses before each question that may prove a stream's source late. */
const PROOF_PAUSES_MS: Milliseconds[] = [0, 500, 1500];
/** Pause before the store is read again for an origin that may be on its way to it. */
const READ_AGAIN_DELAY_MS: Milliseconds = 250;

/** Dependencies of knowing origins. */
export interface StreamOriginsHost {
  clock: Clock;
  rows: RowStore;
  signal: AbortSignal;
  instance: string;
  versions: VersionHistory;
  targets: TargetHistory;
  countInstances(): number;
  getEra(): StoreEra;
  /** Reads the entries of all endpoints again; false if the store failed. */
  refreshEndpoints(): Promise<boolean>;
  /** Reads the versions again that all instances have recorded; false if the store failed. */
  refreshVersions(): Promise<boolean>;
  /** Whether the versions are known that served before this instance started. */
  areVersionsLoaded(): boolean;
  /** Whether an instance that has started lately may count several versions of a service. */
  areSeveralRecorded(): boolean;
}

type UnprovedSource = Extract<OriginSource, { kind: 'unproved' }>;

/** What is known about the version at which a stream has to go on. */
export type TakeUp =
  /** Only one service and version has served the stream's route lately. */
  | { kind: 'any' }
  | { kind: 'known'; origin: StreamOrigin; source: 'memory' | 'store' }
  | { kind: 'unknown'; reason: 'not recorded' | 'not routed' | 'store unavailable' | 'doubted' };

/** Where streams began, as far as anyone knows. */
export interface StreamOrigins {
  /**
   * Remembers where a stream began, before its caller gets the first event, and who sent that if it began here. Resolves
   * once all instances can know if it may go on nowhere, or after a while if the store does not take that, or once the
   * signal is aborted.
   */
  note(
    stream: string,
    origin: StreamOrigin,
    source?: OriginSource,
    signal?: AbortSignal,
  ): Promise<void>;
  /**
   * Tells that the endpoint of the id, or the incarnation of the name, is listed with another version now, the given one:
   * streams that it began shortly before may be of either.
   */
  doubt(endpoint: string, version: string | undefined): void;
  /** Whether a stream that began here may be of another version than was noted. */
  isDoubted(stream: string): boolean;
  /**
   * Returns where a stream of the route may go on that began at the first of the services, or else at one
   * of the others.
   */
  find(stream: string, services: string[], route: Route): Promise<TakeUp>;
}

/** Starts remembering origins and, while a service has several versions, recording them. */
export function startStreamOrigins(host: StreamOriginsHost): StreamOrigins {
  const { clock, versions, targets } = host;
  const memory = createOriginMemory(clock);
  const readOrigins = createOriginReader(clock, host.rows);
  // An instance that starts counts versions that others know to have gone, and looks for all streams then.
  const isNeeded = () =>
    versions.hasSeveralAnywhere() ||
    host.areSeveralRecorded() ||
    targets.hasChangedAnywhere() ||
    memory.hasDoubted();
  const writer = startOriginWriter({ ...host, memory, isNeeded });

  async function record(signal: AbortSignal): Promise<void> {
    const given = new AbortController();
    const over = AbortSignal.any([signal, given.signal]);
    await Promise.race([writer.record(over), sleep(clock, RECORD_TIMEOUT_MS, over)]);
    given.abort();
  }

  async function refresh(): Promise<boolean> {
    const readings = await Promise.all([host.refreshEndpoints(), host.refreshVersions()]);
    return readings.every((isRead) => isRead);
  }

  async function findRecorded(
    name: string,
    services: string[],
    hasMoved: boolean,
  ): Promise<TakeUp> {
    const origins = await readOrigins();
    if (!origins || !host.areVersionsLoaded())
      return { kind: 'unknown', reason: 'store unavailable' };
    const recorded = origins.byName.get(name) ?? [];
    if (recorded.some(({ isDoubted }) => isDoubted)) return { kind: 'unknown', reason: 'doubted' };
    const origin = choose(recorded, services);
    if (origin) return { kind: 'known', origin, source: 'store' };
    if (isElsewhere(recorded, services)) return { kind: 'unknown', reason: 'not routed' };
    return hasMoved || services.some((service) => hasSeveral(service, origins.recent))
      ? { kind: 'unknown', reason: 'not recorded' }
      : { kind: 'any' };
  }

  // Where a stream was only taken up, what puts it in doubt later comes by the store.
  async function isDoubtedElsewhere(name: string): Promise<boolean> {
    if (memory.hasBegunHere(name)) return false;
    const recorded = (await readOrigins())?.byName.get(name) ?? [];
    return recorded.some(({ isDoubted }) => isDoubted);
  }

  function hasSeveral(service: string, recorded: RecordedOrigin[] = []): boolean {
    const ofService = recorded.filter((origin) => origin.service === service);
    return versions.hasSeveral(
      service,
      ofService.map(({ version }) => version),
    );
  }

  // Processes at one address follow each other, so one that serves there now and was listed before the stream's connection
  // was opened has sent the stream.
  async function proveLate(
    name: string,
    origin: StreamOrigin,
    unproved: UnprovedSource,
  ): Promise<void> {
    const { proof, isRest } = unproved;
    if (!proof) return;
    const { incarnation, identify, onProved } = proof;
    for (const pause of PROOF_PAUSES_MS) {
      await sleep(clock, pause, host.signal);
      const identity = host.signal.aborted ? 'unknown' : await identify();
      if (identity === 'same') {
        memory.set(name, origin, { kind: 'proved', incarnation, isRest });
        writer.note();
        onProved();
      }
      if (host.signal.aborted || identity === 'same' || identity === 'other') return;
    }
  }

  return {
    async note(stream, origin, source, signal = host.signal) {
      const name = getStreamName(stream);
      memory.set(name, origin, source);
      if (source?.kind === 'unproved') proveLate(name, origin, source);
      if (memory.isDoubted(name)) await record(signal);
      else writer.note();
    },
    doubt(endpoint, version) {
      memory.doubt(endpoint, version, DOUBT_TIME_MS);
      // The row is written again, with the doubt.
      writer.note();
    },
    isDoubted: (stream) => memory.isDoubted(getStreamName(stream)),
    async find(stream, services, route) {
      const name = getStreamName(stream);
      if (memory.isDoubted(name)) return { kind: 'unknown', reason: 'doubted' };
      const own = memory.find(name);
      if (own && isElsewhere([own], services)) return { kind: 'unknown', reason: 'not routed' };
      if (own && (await isDoubtedElsewhere(name))) return { kind: 'unknown', reason: 'doubted' };
      if (own) return { kind: 'known', origin: own, source: 'memory' };
      // A stream begins only at an incarnation that is listed, maybe one that only another instance knows or has known.
      const isCurrent = await withTimeout(clock, READ_TIMEOUT_MS, refresh(), false);
      const hasMoved = targets.findServices(route, stream).length > 1;
      const isUnclear = hasMoved || services.some((service) => hasSeveral(service));
      if (!isUnclear && !isCurrent) return { kind: 'unknown', reason: 'store unavailable' };
      // Another instance may know that the stream's version is in doubt.
      const found = await findRecorded(name, services, hasMoved);
      const mayBeOnItsWay = found.kind === 'unknown' && isKnownLater(found.reason);
      if (!mayBeOnItsWay) return found;
      await sleep(clock, READ_AGAIN_DELAY_MS, host.signal);
      return findRecorded(name, services, hasMoved);
    },
  };
}

function isKnownLater(reason: Extract<TakeUp, { kind: 'unknown' }>['reason']): boolean {
  return reason === 'not recorded' || reason === 'store unavailable';
}

// Whether a stream began at services to none of which its route leads any more.
function isElsewhere(origins: StreamOrigin[], services: string[]): boolean {
  return origins.length > 0 && origins.every(({ service }) => !services.includes(service));
}

// Prefers the first service. Two versions of it contradict each other.
function choose(origins: StreamOrigin[], services: string[]): StreamOrigin | undefined {
  const service = services.find((name) => origins.some((origin) => origin.service === name));
  const [first, ...others] = origins.filter((origin) => origin.service === service);
  const isClear = others.every((origin) => origin.version === first?.version);
  return first && isClear ? { service: first.service, version: first.version } : undefined;
}
