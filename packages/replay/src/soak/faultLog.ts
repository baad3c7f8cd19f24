import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { LogLine } from './requestRecord';

/** A fault that was played, from its start to its end in Unix time. */
interface FaultSpan {
  names: string[];
  text: string;
  from: number;
  to: number;
  nature: FaultNature;
}

/** What a fault concerns. */
export interface FaultScope {
  /** Names of processes; `NAME link` and `NAME store` are the connections of an instance. */
  names: string[];
  text: string;
  nature: FaultNature;
}

/** What a fault is; planned work is a SIGTERM or SIGHUP alone, a silence ends within its bound. */
export type FaultNature = 'harm' | 'planned' | 'silence';

/** The faults that were played. */
export interface FaultLog {
  /** Adds a fault that begins at the Unix time, or now; the returned function ends it. */
  begin(scope: FaultScope, from?: number): () => void;
  /** Whether a fault of one of the names, or of its connections, overlaps the time. */
  isDisturbed(names: string[], from: number, to: number): boolean;
  /** As `isDisturbed`, without planned work and silences. */
  isHarmed(names: string[], from: number, to: number): boolean;
  /** As `isHarmed`, but trouble of the instance's path to the store does not count. */
  isCut(instance: string, from: number, to: number): boolean;
  /** Returns the orderly end of the instance that overlaps the time. */
  findShutdown(name: string, from: number, to: number): { from: number; to: number } | undefined;
  /** Returns a line for the start and the end of each fault near the time. */
  listLines(from: number, to: number): LogLine[];
  /** Unix time at which the last fault ended; infinite while one lasts. */
  getCalmSince(): number;
}

/** Time around a request from which faults belong to its time line. */
const CONTEXT_MS: Milliseconds = 3000;

/** Creates an empty log. */
export function createFaultLog(clock: Clock): FaultLog {
  const spans: FaultSpan[] = [];
  const now = () => clock.now().getTime();

  function findSpans(names: string[], from: number, to: number): FaultSpan[] {
    const touches = (span: FaultSpan) =>
      span.names.some((name) => names.includes(name.split(' ')[0] ?? ''));
    return spans.filter((span) => span.from <= to && span.to >= from && touches(span));
  }

  return {
    begin({ names, text, nature }, from = now()) {
      const span: FaultSpan = { names, text, nature, from, to: Infinity };
      spans.push(span);
      return () => {
        span.to = now();
      };
    },
    isDisturbed: (names, from, to) => findSpans(names, from, to).length > 0,
    isHarmed: (names, from, to) =>
      findSpans(names, from, to).some((span) => span.nature === 'harm'),
    isCut: (instance, from, to) =>
      findSpans([instance], from, to).some(
        (span) => span.nature === 'harm' && !span.names.includes(`${instance} store`),
      ),
    findShutdown: (name, from, to) =>
      findSpans([name], from, to).find(
        (span) => span.nature === 'planned' && span.text.includes('SIGTERM'),
      ),
    listLines(from, to) {
      const near = spans.filter(
        (span) => span.from <= to + CONTEXT_MS && span.to >= from - CONTEXT_MS,
      );
      return near.flatMap((span) => [
        { at: span.from, source: 'fault', text: `begins: ${span.text}` },
        ...(span.to < Infinity
          ? [{ at: span.to, source: 'fault', text: `ends: ${span.text}` }]
          : []),
      ]);
    },
    getCalmSince: () => Math.max(0, ...spans.map((span) => span.to)),
  };
}
