import type { Milliseconds } from '@pomeloroad/core';
import { CONTACT_MS } from './checkBounds';
import type { CheckOutcome } from './checks';
import type { FaultLog } from './faultLog';
import type { RequestRecord } from './requestRecord';

const WINDOW_MS: Milliseconds = 4000;
/** Requests in a window, by the limit a second. */
const getAllowed = (limit: number) => 1.5 * limit * 4 + 5;

/** Unix times between which an endpoint names a limit of requests a second. */
interface LimitedSpan {
  endpoint: string;
  limit: number;
  from: number;
  to: number;
}

/** The limits that endpoints named, and what reached them. */
export interface LimitHistory {
  /** The endpoint names the limit from now on, or none. */
  set(endpoint: string, limit: number | undefined, at: number): void;
  add(record: RequestRecord): void;
  check(): CheckOutcome;
}

/** Creates an empty history. */
export function createLimitHistory(faults: FaultLog): LimitHistory {
  const spans: LimitedSpan[] = [];
  const arrivals: { endpoint: string; at: number }[] = [];

  function findExcess({ endpoint, limit, from, to }: LimitedSpan): string | undefined {
    const isCounted = (at: number) => at >= from + CONTACT_MS && at < to;
    const found = arrivals.filter(
      (arrival) => arrival.endpoint === endpoint && isCounted(arrival.at),
    );
    const times = found.map(({ at }) => at);
    const allowed = getAllowed(limit);
    const count = (start: number) => times.filter((at) => at >= start && at < start + WINDOW_MS);
    const most = Math.max(0, ...times.map((start) => count(start).length));
    return most > allowed
      ? `${endpoint} got ${most} requests in 4 s, ${allowed} allowed`
      : undefined;
  }

  return {
    set(endpoint, limit, at) {
      const open = spans.find((span) => span.endpoint === endpoint && span.to === Infinity);
      if (open) open.to = at;
      if (limit !== undefined) spans.push({ endpoint, limit, from: at, to: Infinity });
    },
    add({ runs, instance }) {
      const isInTouch = (at: number) => !faults.isDisturbed([instance], at - CONTACT_MS, at);
      arrivals.push(...runs.filter(({ at }) => isInTouch(at)));
    },
    check() {
      if (spans.length === 0) return 'skipped';
      const message = spans.map(findExcess).find(Boolean);
      return message === undefined ? 'held' : { message };
    },
  };
}
