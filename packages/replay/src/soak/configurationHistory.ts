import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { CheckOutcome } from './checks';
import type { RequestRecord } from './requestRecord';

/** Time after which an instance that has shown a version may not go back to an older one. */
const ORDER_SLACK_MS: Milliseconds = 2000;

/** Unix times of the configuration that holds a route of its own. */
export interface RouteSpan {
  acknowledgedAt: number;
  /** Time at which the operator began to write the next configuration. */
  replacedFrom: number;
  /** Time at which the store acknowledged the next configuration. */
  replacedAt: number;
}

/** Which configuration was written when, and what instances have shown of them. */
export interface ConfigurationHistory {
  /** The operator begins to write a configuration that holds the route in place of the last one. */
  beginWrite(): void;
  acknowledge(route: string): void;
  find(route: string): RouteSpan | undefined;
  /** Checks that an instance that has served a route in force serves it until it is replaced. */
  checkOrder(record: RequestRecord, isKnown: boolean): CheckOutcome;
}

/** Creates an empty history. */
export function createConfigurationHistory(clock: Clock): ConfigurationHistory {
  const spans = new Map<string, RouteSpan>();
  const firstSeenAt = new Map<string, number>();
  let last: RouteSpan | undefined;
  const now = () => clock.now().getTime();

  return {
    beginWrite() {
      if (last && last.replacedFrom === Infinity) last.replacedFrom = now();
    },
    acknowledge(route) {
      if (last) last.replacedAt = now();
      last = { acknowledgedAt: now(), replacedFrom: Infinity, replacedAt: Infinity };
      spans.set(route, last);
    },
    find: (route) => spans.get(route),
    checkOrder({ work, instance, life, sentAt, endedAt = Infinity, runs }, isKnown) {
      const key = `${instance}/${life}/${work.route}`;
      const seenAt = firstSeenAt.get(key);
      const [run] = runs;
      if (run && (seenAt === undefined || run.at < seenAt)) firstSeenAt.set(key, run.at);
      const span = spans.get(work.route);
      const isDue = seenAt !== undefined && sentAt > seenAt + ORDER_SLACK_MS;
      if (!span || !isDue || endedAt >= span.replacedFrom) return 'skipped';
      return isKnown ? 'held' : { message: 'went back to an older configuration' };
    },
  };
}
