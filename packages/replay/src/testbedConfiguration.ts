import { hashText } from '@pomeloroad/core';
import { stringify } from 'yaml';
import { getSecret } from './deployments';
import type { Deployment } from './deployments';
import type { TestbedEndpoint } from './testbedEndpoints';

/** Returns a configuration as YAML in which the first account has the given weight. */
export function renderConfiguration(
  deployment: Deployment,
  endpoints: TestbedEndpoint[],
  weight: number,
  concurrency?: number,
): string {
  const { accounts, model, service } = deployment;
  return stringify({
    accounts: accounts.map((client, index) => ({
      name: client.name,
      weight: index === 0 ? weight : 1,
      budgets: client.budgets.map((budget) => budget.name),
      keys: [
        {
          name: 'replay',
          hash: hashText(getSecret(client.name)),
          budget: client.budgets[0]?.name,
        },
      ],
    })),
    pools: [{ model }],
    services: [{ name: service }],
    endpoints: endpoints.map(({ name, kind, site, address }) => ({
      name,
      kind,
      dataCentre: site,
      address,
      concurrency,
      ...(kind === 'engine' ? { models: [model] } : { service }),
    })),
  });
}
