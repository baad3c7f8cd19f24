import type { Attempt } from './callers';
import type { Evidence, Partition } from './evidence';
import { getCost } from './record';
import { isRequest } from './trace';
import type { TraceRequest } from './trace';

/** Tokens that the pool's template adds to a prompt, as the files of the replay leave it. */
const TEMPLATE_TOKENS = 16;
const ROLE_BYTES = 4;

/** Codes of refusals that say that capacity is missing. */
const CAPACITY_CODES = new Set(['overloaded', 'no_endpoint']);

/** Whether budget and capacity existed: on the refusing side, or only on the other one. */
export type FalseRefusal = 'needless' | 'forced';

/** Knows what each budget truly held at any moment, by the endpoints' records. */
export interface Oracle {
  /** Tokens used beyond what was paid, over all budgets. */
  getOverspend(): number;
  /** Whether a refusal was false; `undefined` if it was right, or none. */
  judgeRefusal(attempt: Attempt): FalseRefusal | undefined;
}

interface Use {
  budget: string;
  site: string;
  at: Date;
  tokens: number;
}

/** Creates the oracle of a replay. */
export function createOracle(evidence: Evidence): Oracle {
  const { record, partitions } = evidence;
  const uses = listUses(evidence);

  function sumUses(test: (use: Use) => boolean): number {
    return uses.filter(test).reduce((sum, use) => sum + use.tokens, 0);
  }

  function getRemaining(budget: string, at: Date): number {
    const paid = record.topUps
      .filter((topUp) => topUp.budget === budget && topUp.at <= at)
      .reduce((sum, topUp) => sum + topUp.tokens, 0);
    return paid - sumUses((use) => use.budget === budget && use.at <= at);
  }

  // What the cut data centres held when they were cut off, less what they used since.
  function getHeldByCut(partition: Partition, budget: string, at: Date): number {
    const held = partition.held.get(budget) ?? 0;
    const used = sumUses(
      (use) =>
        use.budget === budget &&
        use.at >= partition.from &&
        use.at <= at &&
        partition.sites.includes(use.site),
    );
    return held - used;
  }

  function getWithinReach(budget: string, site: string, at: Date): number {
    const remaining = getRemaining(budget, at);
    const partition = partitions.find(({ from, to }) => from <= at && at <= to);
    if (!partition) return remaining;
    const held = getHeldByCut(partition, budget, at);
    return partition.sites.includes(site) ? held : remaining - held;
  }

  return {
    getOverspend() {
      const end = new Date(8.64e15);
      const budgets = new Set([...uses, ...record.topUps].map((entry) => entry.budget));
      return [...budgets].reduce((sum, budget) => sum + Math.max(0, -getRemaining(budget, end)), 0);
    },
    judgeRefusal({ request, result, endedAt, site }) {
      if (result.kind !== 'refused') return undefined;
      if (CAPACITY_CODES.has(result.code)) return 'needless';
      const isBudget = result.code.startsWith('budget_');
      if (!isBudget || request.kind !== 'chat') return undefined;
      const budget = getBudget(request);
      const bound = getBound(request);
      if (getRemaining(budget, endedAt) < bound) return undefined;
      return getWithinReach(budget, site, endedAt) >= bound ? 'needless' : 'forced';
    },
  };
}

function listUses({ events, record, deployment }: Evidence): Use[] {
  const byId = new Map(events.filter(isRequest).map((request) => [request.id, request]));
  const sites = deployment.sites.map((site) => site.name);
  return record.runs.flatMap((run) => {
    const request = byId.get(run.trace);
    if (!request || run.isCredited) return [];
    const site = sites.find((name) => run.endpoint.startsWith(`${name}-`)) ?? '';
    return [{ budget: getBudget(request), site, at: run.startedAt, tokens: getCost(run) }];
  });
}

function getBudget(request: TraceRequest): string {
  return `${request.account}/${request.budget}`;
}

function getBound(request: Extract<TraceRequest, { kind: 'chat' }>): number {
  const prompt = Buffer.byteLength(request.prompt) + ROLE_BYTES + 2 * TEMPLATE_TOKENS;
  return prompt + request.maxTokens;
}
