import type { Account, Configuration, Endpoint, Pool } from './types';

/** A fault that involves several parts of a configuration, with the path of the offending value. */
export interface ReferenceFault {
  path: (string | number)[];
  message: string;
}

type Report = (path: (string | number)[], message: string) => void;

/** Returns all duplicate names, broken references and inconsistent limits of a configuration. */
export function checkReferences(configuration: Configuration): ReferenceFault[] {
  const faults: ReferenceFault[] = [];
  const report: Report = (path, message) => faults.push({ path, message });
  const { accounts, pools, services, endpoints } = configuration;
  reportDuplicates(
    report,
    ['accounts'],
    'name',
    accounts.map((account) => account.name),
  );
  reportDuplicates(
    report,
    ['pools'],
    'model',
    pools.map((pool) => pool.model),
  );
  reportDuplicates(
    report,
    ['services'],
    'name',
    services.map((service) => service.name),
  );
  reportDuplicates(
    report,
    ['endpoints'],
    'name',
    endpoints.map((endpoint) => endpoint.name),
  );
  reportDuplicates(
    report,
    ['endpoints'],
    'address',
    endpoints.map((endpoint) => endpoint.address),
  );
  accounts.forEach((account, index) => checkAccount(report, account, index));
  checkKeyHashes(report, accounts);
  pools.forEach((pool, index) => checkPool(report, pool, index));
  endpoints.forEach((endpoint, index) => checkEndpoint(report, configuration, endpoint, index));
  return faults;
}

function reportDuplicates(report: Report, path: string[], field: string, values: string[]): void {
  values.forEach((value, index) => {
    if (values.indexOf(value) === index) return;
    report([...path, index, field], `${field} "${value}" is used before`);
  });
}

function checkAccount(report: Report, account: Account, index: number): void {
  const path = ['accounts', index];
  const names = account.keys.map((key) => key.name);
  reportDuplicates(report, ['accounts', String(index), 'keys'], 'name', names);
  account.keys.forEach((key, keyIndex) => {
    if (hasBudget(account, key.budget)) return;
    report([...path, 'keys', keyIndex, 'budget'], `account has no budget "${key.budget}"`);
  });
}

function checkKeyHashes(report: Report, accounts: Account[]): void {
  const seen = new Set<string>();
  accounts.forEach((account, index) =>
    account.keys.forEach((key, keyIndex) => {
      const path = ['accounts', index, 'keys', keyIndex, 'hash'];
      if (seen.has(key.hash)) report(path, 'the same key is used before');
      seen.add(key.hash);
    }),
  );
}

function checkPool(report: Report, pool: Pool, index: number): void {
  if (pool.defaultOutputTokens <= pool.maxOutputTokens) return;
  report(['pools', index, 'defaultOutputTokens'], 'expected at most maxOutputTokens');
}

function checkEndpoint(
  report: Report,
  configuration: Configuration,
  endpoint: Endpoint,
  index: number,
): void {
  if (endpoint.kind === 'service') {
    const isKnown = configuration.services.some((service) => service.name === endpoint.service);
    const path = ['endpoints', index, 'service'];
    if (!isKnown) report(path, `there is no service "${endpoint.service}"`);
    return;
  }
  endpoint.models.forEach((model, modelIndex) => {
    const isKnown = configuration.pools.some((pool) => pool.model === model);
    const path = ['endpoints', index, 'models', modelIndex];
    if (!isKnown) report(path, `there is no pool with model "${model}"`);
  });
}

/** Whether one of the account's budget names or prefixes covers this budget. */
export function hasBudget(account: Account, budget: string): boolean {
  return account.budgets.some((pattern) =>
    pattern.endsWith('*') ? budget.startsWith(pattern.slice(0, -1)) : budget === pattern,
  );
}
