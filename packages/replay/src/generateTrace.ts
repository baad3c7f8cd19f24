import { checkDefined, createRandom } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { ClientAccount, Deployment } from './deployments';
import type { TraceEvent } from './trace';

const LENGTH_MS = 20_000;
const REQUESTS = 480;
const CALL_SHARE = 0.2;
const ORDER_SHARE = 0.4;
const KEY_SHARE = 0.5;
const REPEAT_SHARE = 0.15;
const STREAM_SHARE = 0.6;
const NON_IDEMPOTENT_CHAT_SHARE = 0.05;
const SHORTEST_OUTPUT = 16;
const LONGEST_OUTPUT = 96;
const LONGEST_REPEAT_MS = 1500;
const SMALL_BUDGET_TOKENS = 20_000;
const TOP_UP_AT_MS = 14_000;
const TOP_UP_TOKENS = 3000;

/** Records a trace of a deployment's work; the same seed gives the same trace. */
export function generateTrace(deployment: Deployment, seed: number): TraceEvent[] {
  const random = createRandom(seed);
  const requests = Array.from({ length: REQUESTS }, (_, index) =>
    generateRequest(deployment, random, index),
  );
  const events = [
    ...requests,
    ...generateFaultyRequests(deployment),
    ...generateOrders(deployment),
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
    at: random.integer(0, LENGTH_MS),
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
    maxTokens: random.integer(SHORTEST_OUTPUT, LONGEST_OUTPUT),
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
    after: random.integer(0, LONGEST_REPEAT_MS),
    site: pick(deployment.sites, random).name,
  }));
}

// Requests that are wrong in themselves: their refusals are part of the stated outcomes.
function generateFaultyRequests(deployment: Deployment): TraceEvent[] {
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

function generateOrders(deployment: Deployment): TraceEvent[] {
  const small = deployment.accounts.flatMap((client) =>
    client.budgets
      .filter((budget) => budget.tokens < SMALL_BUDGET_TOKENS)
      .map((budget) => `${client.name}/${budget.name}`),
  );
  const topUps = small.flatMap((budget): TraceEvent[] => {
    const topUp = { kind: 'topup' as const, id: 'midday', budget, tokens: TOP_UP_TOKENS };
    // The operator's tool repeats a top-up whose answer it did not see.
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
  return checkDefined(items[random.integer(0, items.length - 1)], 'nothing to pick from');
}
