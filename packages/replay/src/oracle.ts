import type { Attempt } from './callers';
import type { Evidence, Partition } from './evidence';
import { getUsedTokens } from './record';
import { isRequest } from './trace';
import type { TraceRequest } from './trace';

/** Default template tokens of a pool, counted once per message and once per prompt. */
const TEMPLATE_TOKENS = 16;
/** Length of the role name `user`. */
const ROLE_NAME_BYTES = 4;

/** Refusal codes that report a lack of capacity. */
const CAPACITY_CODES = new Set(['overloaded', 'no_endpoint']);

/**
 * A refusal although budget or capacity existed: `needless` if it was within reach of the refusing
 * instance, `forced` if it was only on the other side of a partition.
 */
export type FalseRefusal = 'needless' | 'forced';

/** Computes the true state of each budget at any time from the endpoints' records. */
export interface Oracle {
  /** Tokens used beyond the top-ups, summed over all budgets. */
  getOverspend(): number;
  /** Classifies a false refusal; `undefined` if the refusal was right or there was none. */
  judgeRefusal(attempt: Attempt): FalseRefusal | undefined;
}

interface TokenUse {
  budget: string;
  site: string;
  at: Date;
  tokens: number;
}

/** Creates an oracle from the evidence of a replay. */
export function createOracle(evidence: Evidence): Oracle {
  const { record, partitions } = evidence;
  const uses = listUses(evidence);

  function sumUsedTokens(matches: (use: TokenUse) => boolean): number {
    return uses.filter(matches).reduce((sum, use) => sum + use.tokens, 0);
  }

  function getRemainingTokens(budget: string, at: Date): number {
    const paid = record.topUps
      .filter((topUp) => topUp.budget === budget && topUp.at <= at)
      .reduce((sum, topUp) => sum + topUp.tokens, 0);
    return paid - sumUsedTokens((use) => use.budget === budget && use.at <= at);
  }

  // Tokens that the partitioned data centres held at the cut, less what they have used since.
  function getTokensInPartition(partition: Partition, budget: string, at: Date): number {
    const held = partition.held.get(budget) ?? 0;
    const used = sumUsedTokens(
      (use) =>
        use.budget === budget &&
        use.at >= partition.from &&
        use.at <= at &&
        partition.sites.includes(use.site),
    );
    return held - used;
  }

  // Tokens that instances of the data centre can obtain; in a partition only those on their side.
  function getReachableTokens(budget: string, site: string, at: Date): number {
    const remaining = getRemainingTokens(budget, at);
    const partition = partitions.find(({ from, to }) => from <= at && at <= to);
    if (!partition) return remaining;
    const held = getTokensInPartition(partition, budget, at);
    return partition.sites.includes(site) ? held : remaining - held;
  }

  return {
    getOverspend() {
      const latestDate = new Date(8.64e15);
      const budgets = new Set([...uses, ...record.topUps].map((entry) => entry.budget));
      return [...budgets].reduce(
        (sum, budget) => sum + Math.max(0, -getRemainingTokens(budget, latestDate)),
        0,
      );
    },
    judgeRefusal({ request, result, endedAt, site }) {
      if (result.kind !== 'refused') return undefined;
      if (CAPACITY_CODES.has(result.code)) return 'needless';
      const isBudget = result.code.startsWith('budget_');
      if (!isBudget || request.kind !== 'chat') return undefined;
      const budget = getBudget(request);
      const bound = getTokenBound(request);
      if (getRemainingTokens(budget, endedAt) < bound) return undefined;
      return getReachableTokens(budget, site, endedAt) >= bound ? 'needless' : 'forced';
    },
  };
}

function listUses({ events, record, deployment }: Evidence): TokenUse[] {
  const byId = new Map(events.filter(isRequest).map((request) => [request.id, request]));
  const sites = deployment.sites.map((site) => site.name);
  return record.runs.flatMap((run) => {
    const request = byId.get(run.trace);
    if (!request || run.isCredited) return [];
    const site = sites.find((name) => run.endpoint.startsWith(`${name}-`)) ?? '';
    return [{ budget: getBudget(request), site, at: run.startedAt, tokens: getUsedTokens(run) }];
  });
}

function getBudget(request: TraceRequest): string {
  return `${request.account}/${request.budget}`;
}

function getTokenBound(request: Extract<TraceRequest, { kind: 'chat' }>): number {
  const prompt = Buffer.byteLength(request.prompt) + ROLE_NAME_BYTES + 2 * TEMPLATE_TOKENS;
  return prompt + request.maxTokens;
}
