import type { Account, Configuration, Endpoint } from './types';

/**
 * Returns a configuration that allows only what both `old` and `next` allow. An instance serves it
 * while it is not known which of the two is in force.
 */
export function intersectConfigurations(old: Configuration, next: Configuration): Configuration {
  return {
    accounts: intersectBy(
      old.accounts,
      next.accounts,
      (account) => account.name,
      intersectAccounts,
    ),
    pools: intersectBy(
      old.pools,
      next.pools,
      (pool) => pool.model,
      (a, b) => ({
        ...a,
        templateTokens: Math.max(a.templateTokens, b.templateTokens),
        defaultOutputTokens: Math.min(a.defaultOutputTokens, b.defaultOutputTokens),
        maxOutputTokens: Math.min(a.maxOutputTokens, b.maxOutputTokens),
      }),
    ),
    services: intersectBy(
      old.services,
      next.services,
      (service) => service.name,
      (a, b) => ({
        ...a,
        tokensPerCall: Math.max(a.tokensPerCall, b.tokensPerCall),
      }),
    ),
    endpoints: intersectBy(old.endpoints, next.endpoints, getEndpointKey, intersectEndpoints),
  };
}

function intersectBy<T>(
  old: T[],
  next: T[],
  getKey: (part: T) => string,
  intersect: (a: T, b: T) => T,
): T[] {
  const byKey = new Map(next.map((part) => [getKey(part), part]));
  return old.flatMap((part) => {
    const other = byKey.get(getKey(part));
    return other ? [intersect(part, other)] : [];
  });
}

function intersectAccounts(a: Account, b: Account): Account {
  const keys = intersectBy(
    a.keys,
    b.keys,
    (key) => `${key.hash} ${key.budget}`,
    (key) => key,
  );
  const budgets = a.budgets.filter((budget) => b.budgets.includes(budget));
  return { ...a, weight: Math.min(a.weight, b.weight), budgets, keys };
}

function getEndpointKey(endpoint: Endpoint): string {
  return `${endpoint.kind} ${endpoint.name} ${endpoint.address} ${endpoint.dataCentre}`;
}

function intersectEndpoints(a: Endpoint, b: Endpoint): Endpoint {
  const common = {
    concurrency: Math.min(a.concurrency, b.concurrency),
    leaving: a.leaving || b.leaving,
    checksFencing: a.checksFencing && b.checksFencing,
  };
  if (a.kind === 'engine' && b.kind === 'engine') {
    return { ...a, ...common, models: a.models.filter((model) => b.models.includes(model)) };
  }
  return { ...a, ...common };
}
