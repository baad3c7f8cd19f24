import type { Milliseconds } from '@pomeloroad/core';
import { PlatformBounds } from '@pomeloroad/standins';
import { getService, TOKENS_PER_EVENT } from './configuration';
import { countEvents } from './requestRecord';
import type { RequestRecord } from './requestRecord';

/** Figures over all judged requests. */
export interface Totals {
  add(record: RequestRecord): void;
  /** Sets what the account may spend; it only grows. */
  setBudget(account: string, tokens: number): void;
  checkBudgets(): string | undefined;
  /** Checks the window of retries that ended at the Unix time. */
  checkRetries(to: number): string | undefined;
  /** Tokens spent by each account, as counted from what was delivered. */
  spent: Record<string, number>;
}

interface Arrival {
  service: string;
  at: number;
  isRepeat: boolean;
}

/** Creates totals without requests. */
export function createTotals(): Totals {
  const budgets = new Map<string, number>();
  const reported = new Set<string>();
  const spent: Record<string, number> = {};
  let arrivals: Arrival[] = [];

  function countRequests(service: string, from: number, to: number): number {
    return arrivals.filter((arrival) => !arrival.isRepeat && isIn(arrival, service, from, to))
      .length;
  }

  function checkService(service: string, from: number, to: number): string | undefined {
    const window = PlatformBounds.retryWindow;
    const repeats = arrivals.filter(
      (arrival) => arrival.isRepeat && isIn(arrival, service, from, to),
    ).length;
    const requests = [0, window / 2, window].map((shift) =>
      countRequests(service, from - shift, to - shift),
    );
    const allowed = PlatformBounds.retryRatio * Math.max(...requests) + PlatformBounds.retryExtra;
    if (repeats <= allowed) return undefined;
    return `${repeats} repeats at ${service} in a window that allows ${allowed}`;
  }

  return {
    spent,
    add(record) {
      const { account, inputTokens, work, answer, sentAt } = record;
      const service = getService(work.route);
      arrivals.push({ service, at: sentAt, isRepeat: false });
      record.arrivals.slice(1).forEach((at) => arrivals.push({ service, at, isRepeat: true }));
      const isStream = work.route.startsWith('stream');
      // An account pays the input once any part of an endpoint's answer, also of a failure, has come.
      const input = answer?.isSigned ? inputTokens : 0;
      const output = isStream ? countEvents(answer?.body ?? '') * TOKENS_PER_EVENT : 0;
      spent[account] = (spent[account] ?? 0) + input + output;
    },
    setBudget: (account, tokens) => budgets.set(account, tokens),
    checkBudgets() {
      const over = [...budgets].find(
        ([account, tokens]) => (spent[account] ?? 0) > tokens && !reported.has(account),
      );
      if (!over) return undefined;
      const [account, tokens] = over;
      reported.add(account);
      return `${account} has spent ${spent[account]} of ${tokens} tokens`;
    },
    checkRetries(to) {
      const from: Milliseconds = to - PlatformBounds.retryWindow;
      arrivals = arrivals.filter(({ at }) => at >= from - PlatformBounds.retryWindow);
      const services = new Set(arrivals.map((arrival) => arrival.service));
      return [...services].map((service) => checkService(service, from, to)).find(Boolean);
    },
  };
}

function isIn({ service, at }: Arrival, wanted: string, from: number, to: number): boolean {
  return service === wanted && at >= from && at < to;
}
