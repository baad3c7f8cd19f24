import type { Clock, Milliseconds } from '@pomeloroad/core';

const BUCKETS = 10;
/** Part of the allowance that is used, since windows of others slide differently. */
const MARGIN = 0.9;

/** How many repeated sends the whole fleet may make to a service. */
export interface RetryAllowance {
  window: Milliseconds;
  /** Repeats for each request. */
  ratio: number;
  /** Repeats of the whole fleet besides those. */
  extra: number;
}

/** This instance's share of the repeats that a service may get. */
export interface RetryBudget {
  noteRequest(service: string): void;
  /** Takes one repeat; false if none is left. */
  take(service: string): boolean;
}

interface Usage {
  requests: number[];
  repeats: number[];
  bucket: number;
}

/** Creates a budget; `countInstances` tells how many share the extra repeats. */
export function createRetryBudget(
  clock: Clock,
  getAllowance: () => RetryAllowance,
  countInstances: () => number,
): RetryBudget {
  const usages = new Map<string, Usage>();

  function getUsage(service: string): Usage {
    const usage = usages.get(service) ?? { requests: [0], repeats: [0], bucket: getBucket() };
    usages.set(service, usage);
    const passed = Math.min(getBucket() - usage.bucket, BUCKETS + 1);
    for (let count = 0; count < passed; count += 1) {
      usage.requests = [0, ...usage.requests].slice(0, BUCKETS);
      // One bucket more: its oldest repeats may still be within the window.
      usage.repeats = [0, ...usage.repeats].slice(0, BUCKETS + 1);
    }
    usage.bucket = getBucket();
    return usage;
  }

  function getBucket(): number {
    return Math.floor((clock.elapsed() * BUCKETS) / getAllowance().window);
  }

  return {
    noteRequest(service) {
      const { requests } = getUsage(service);
      requests[0] = (requests[0] ?? 0) + 1;
    },
    take(service) {
      const { ratio, extra } = getAllowance();
      const { requests, repeats } = getUsage(service);
      const allowed = MARGIN * (ratio * sum(requests) + extra / countInstances());
      if (sum(repeats) + 1 > allowed) return false;
      repeats[0] = (repeats[0] ?? 0) + 1;
      return true;
    },
  };
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
