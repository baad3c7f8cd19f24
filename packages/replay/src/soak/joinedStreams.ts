import { listVersions } from '@pomeloroad/standins';
import { STATUS_OK } from './checkBounds';
import { countEvents, isWhole } from './requestRecord';
import type { RequestRecord } from './requestRecord';

/** How many streams had to go on, by a caller's try or a further run, and what became of them. */
export interface JoinedCount {
  /** Streams that were asked for once more, or reached a further endpoint. */
  interrupted: number;
  /** Those of them whose callers got all events. */
  whole: number;
  /** Those with events behind the interruption. */
  joined: number;
  /** Joined ones of which callers got all events. */
  joinedWhole: number;
  /** Joined ones with events of several versions. */
  mixed: number;
  /** Mixed ones with events of several versions in one answer. */
  mixedWithinAnswer: number;
}

/** The streams of a soak, each with all answers that its caller got of it. */
export interface JoinedStreams {
  add(record: RequestRecord): void;
  count(): JoinedCount;
}

interface Stream {
  versions: Set<string>;
  isInterrupted: boolean;
  isJoined: boolean;
  isMixedWithinAnswer: boolean;
  isWhole: boolean;
}

/** Creates an empty collection. */
export function createJoinedStreams(): JoinedStreams {
  const streams = new Map<string, Stream>();

  function find(name: string): Stream {
    const flags = { isInterrupted: false, isJoined: false, isMixedWithinAnswer: false };
    const stream = streams.get(name) ?? { ...flags, versions: new Set<string>(), isWhole: false };
    streams.set(name, stream);
    return stream;
  }

  return {
    add(record) {
      const { id, resumes = id, work, answer, heldVersions, runs } = record;
      if (!work.route.startsWith('stream')) return;
      const stream = find(resumes);
      const body = answer?.status === STATUS_OK ? answer.body : '';
      const versions = listVersions(body);
      const isInterrupted = runs.length > 1 || heldVersions.length > 0;
      [...heldVersions, ...versions].forEach((version) => stream.versions.add(version));
      stream.isInterrupted ||= isInterrupted;
      stream.isJoined ||= isInterrupted && countEvents(body) > 0;
      stream.isMixedWithinAnswer ||= versions.length > 1;
      stream.isWhole ||= isWhole(record);
    },
    count() {
      const interrupted = [...streams.values()].filter((stream) => stream.isInterrupted);
      const joined = interrupted.filter((stream) => stream.isJoined);
      const mixed = joined.filter((stream) => stream.versions.size > 1);
      return {
        interrupted: interrupted.length,
        whole: interrupted.filter((stream) => stream.isWhole).length,
        joined: joined.length,
        joinedWhole: joined.filter((stream) => stream.isWhole).length,
        mixed: mixed.length,
        mixedWithinAnswer: mixed.filter((stream) => stream.isMixedWithinAnswer).length,
      };
    },
  };
}
