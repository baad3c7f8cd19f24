import { checkDefined, createRandom } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { ClientAccount, Deployment } from './deployments';
import type { TraceEvent } from './trace';

const TRACE_LENGTH_MS = 20_000;
const REQUEST_COUNT = 480;
const CALL_SHARE = 0.2;
const ORDER_SHARE = 0.4;
const KEY_SHARE = 0.5;
const REPEAT_SHARE = 0.15;
const STREAM_SHARE = 0.6;
const NON_IDEMPOTENT_CHAT_SHARE = 0.05;
const MIN_OUTPUT_TOKENS = 16;
const MAX_OUTPUT_TOKENS = 96;
const MAX_REPEAT_DELAY_MS = 1500;
/** Budgets with fewer tokens may run out during the trace, and are topped up. */
const SMALL_BUDGET_TOKENS = 20_000;
const TOP_UP_AT_MS = 14_000;
const TOP_UP_TOKENS = 3000;

/** Generates a trace for a deployment, sorted by time; the same seed gives the same trace. */
export function generateTrace(deployment: Deployment, seed: number): TraceEvent[] {
  const random = createRandom(seed);
  const requests = Array.from({ length: REQUEST_COUNT }, (_, index) =>
    generateRequest(deployment, random, index),
  );
  const events = [
    ...requests,
    ...generateInvalidRequests(deployment),
    ...generateOperatorEvents(deployment),
  ];
  return events.sort((a, b) => a.at - b.at);
}

function generateRequest(deployment: Deployment, random: Random, index: number): TraceEvent {
  const id = `${deployment.name}-${String(index).padStart(4, '0')}`;
  const client = pickAccount(deployment.accounts, random);
  const budget = pick(client.budgets, random);
  const isCall = random.fraction() < CALL_SHARE;
  const isOrder = random.fraction() < (isCall ? ORDER_SHARE : NON_IDEMPOTENT_CHAT_SHARE);
  const hasKey = isOrder || random.fraction() < KEY_SHARE;
  const isSmall = budget.tokens < SMALL_BUDGET_TOKENS;
  const base = {
    at: random.integer(0, TRACE_LENGTH_MS),
    id,
    account: client.name,
    budget: budget.name,
    site: pick(deployment.sites, random).name,
    key: hasKey ? `key-${index}` : undefined,
    isIdempotent: !isOrder,
    priority: pick(['low', 'normal', 'normal', 'high'] as const, random),
    repeats: hasKey ? generateRepeats(deployment, random) : [],
    expect: isSmall && !isCall ? ('answered-or-exhausted' as const) : ('answered' as const),
  };
  if (isCall) return generateCall(deployment, random, base);
  const task = pick(deployment.tasks, random);
  return {
    kind: 'chat',
    ...base,
    model: deployment.model,
    prompt: `[${id}] ${task}${' and add a note'.repeat(random.integer(0, 6))}.`,
    maxTokens: random.integer(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
    isStreamed: random.fraction() < STREAM_SHARE,
  };
}

type RequestBase = Omit<Extract<TraceEvent, { kind: 'call' }>, CallField>;
type CallField = 'kind' | 'service' | 'method' | 'path' | 'body';

function generateCall(deployment: Deployment, random: Random, base: RequestBase): TraceEvent {
  const { service } = deployment;
  if (base.isIdempotent) {
    const path = `${pick(deployment.reads, random)}/${base.id}`;
    return { kind: 'call', ...base, service, method: 'GET', path, body: '' };
  }
  const path = `${pick(deployment.orders, random)}/${base.id}`;
  const body = JSON.stringify({ request: base.id });
  return { kind: 'call', ...base, service, method: 'POST', path, body };
}

function generateRepeats(deployment: Deployment, random: Random) {
  if (random.fraction() >= REPEAT_SHARE) return [];
  const count = random.integer(1, 2);
  return Array.from({ length: count }, () => ({
    after: random.integer(0, MAX_REPEAT_DELAY_MS),
    site: pick(deployment.sites, random).name,
  }));
}

// Invalid requests, whose expected outcome is a refusal.
function generateInvalidRequests(deployment: Deployment): TraceEvent[] {
  const [client] = deployment.accounts;
  const [site] = deployment.sites;
  const base = {
    kind: 'chat' as const,
    account: client?.name ?? '',
    budget: client?.budgets[0]?.name ?? '',
    site: site?.name ?? '',
    isIdempotent: true,
    priority: 'normal' as const,
    repeats: [],
    isStreamed: false,
  };
  const { model, name } = deployment;
  return [
    {
      ...base,
      at: 3000,
      id: `${name}-too-long`,
      model,
      prompt: `[${name}-too-long] Say all you know.`,
      maxTokens: 1_000_000,
      expect: 'invalid_request',
    },
    {
      ...base,
      at: 5000,
      id: `${name}-no-model`,
      model: 'unknown',
      prompt: `[${name}-no-model] Is anybody there?`,
      maxTokens: 16,
      expect: 'not_found',
    },
  ];
}

// Top-ups of the small budgets, two applies and a drain.
function generateOperatorEvents(deployment: Deployment): TraceEvent[] {
  const small = deployment.accounts.flatMap((client) =>
    client.budgets
      .filter((budget) => budget.tokens < SMALL_BUDGET_TOKENS)
      .map((budget) => `${client.name}/${budget.name}`),
  );
  const topUps = small.flatMap((budget): TraceEvent[] => {
    const topUp = { kind: 'topup' as const, id: 'midday', budget, tokens: TOP_UP_TOKENS };
    // The same top-up twice, as an operator's tool repeats one whose answer was lost.
    return [
      { ...topUp, at: TOP_UP_AT_MS },
      { ...topUp, at: TOP_UP_AT_MS + 300 },
    ];
  });
  const site = deployment.sites[deployment.sites.length - 1];
  return [
    ...topUps,
    { kind: 'apply', at: 4000, weight: 2 },
    { kind: 'apply', at: 11_000, weight: 3 },
    { kind: 'drain', at: 9000, endpoint: `${site?.name ?? ''}-engine-1` },
  ];
}

function pickAccount(accounts: ClientAccount[], random: Random): ClientAccount {
  const pool = accounts.flatMap((client) => Array.from({ length: client.share }, () => client));
  return pick(pool, random);
}

function pick<T>(items: readonly T[], random: Random): T {
  return checkDefined(items[random.integer(0, items.length - 1)], 'cannot pick from an empty list');
}
