/** A data centre of a deployment, with its number of instances and endpoints. */
export interface Site {
  name: string;
  instances: number;
  engines: number;
  services: number;
}

/** A client account of a deployment, with the tokens that its budgets start with. */
export interface ClientAccount {
  name: string;
  /** Weight of the account in the number of requests. */
  share: number;
  budgets: { name: string; tokens: number }[];
}

/** A deployment that traces are generated for and replayed against. */
export interface Deployment {
  name: string;
  model: string;
  service: string;
  sites: Site[];
  accounts: ClientAccount[];
  /** Prompts of the chat requests. */
  tasks: string[];
  /** Paths of idempotent calls to the plain service. */
  reads: string[];
  /** Paths of non-idempotent calls to the plain service. */
  orders: string[];
}

const LARGE_BUDGET_TOKENS = 4_000_000;
const MEDIUM_BUDGET_TOKENS = 400_000;
const SMALL_BUDGET_TOKENS = 4000;

const haldane: Deployment = {
  name: 'haldane',
  model: 'planner',
  service: 'boards',
  sites: [
    { name: 'tacoma', instances: 2, engines: 2, services: 1 },
    { name: 'everett', instances: 2, engines: 2, services: 1 },
    { name: 'kent', instances: 2, engines: 2, services: 1 },
    { name: 'bellingham', instances: 2, engines: 2, services: 1 },
  ],
  accounts: [
    createAccount('dispatch', 10, ['routes', LARGE_BUDGET_TOKENS], ['hazmat', LARGE_BUDGET_TOKENS]),
    createAccount('drivers', 8, ['questions', LARGE_BUDGET_TOKENS]),
    createAccount('reorders', 4, ['summaries', MEDIUM_BUDGET_TOKENS]),
    createAccount('manifests', 3, ['readings', MEDIUM_BUDGET_TOKENS]),
    createAccount('passes', 2, ['weather', SMALL_BUDGET_TOKENS * 4]),
    createAccount('depots', 2, ['gauges', SMALL_BUDGET_TOKENS * 2]),
    createAccount('training', 2, ['lessons', SMALL_BUDGET_TOKENS]),
    createAccount('audit', 1, ['checks', SMALL_BUDGET_TOKENS]),
    createAccount('billing', 1, ['letters', MEDIUM_BUDGET_TOKENS]),
    createAccount('partners', 1, ['trials', SMALL_BUDGET_TOKENS]),
  ],
  tasks: [
    'Plan a route for two tankers from the rack',
    'Read this manifest and list the tank readings',
    'May a load of this class go over the pass in snow',
    'Summarise the reorders of the night',
  ],
  reads: ['/slots', '/loads/today', '/trucks'],
  orders: ['/loads/confirm', '/slots/book'],
};

const trentside: Deployment = {
  name: 'trentside',
  model: 'surveyor',
  service: 'crews',
  sites: [
    { name: 'derby', instances: 3, engines: 3, services: 1 },
    { name: 'leicester', instances: 3, engines: 3, services: 1 },
    { name: 'nottingham', instances: 2, engines: 2, services: 1 },
  ],
  accounts: [
    createAccount('surveys', 10, ['drafts', LARGE_BUDGET_TOKENS]),
    createAccount(
      'grants',
      6,
      ['enquiries', LARGE_BUDGET_TOKENS],
      ['letters', MEDIUM_BUDGET_TOKENS],
    ),
    createAccount('bookings', 5, ['visits', LARGE_BUDGET_TOKENS]),
    createAccount('maintenance', 3, ['digests', MEDIUM_BUDGET_TOKENS]),
    createAccount('volunteers', 2, ['rotas', SMALL_BUDGET_TOKENS * 4]),
    createAccount('schools', 2, ['lessons', SMALL_BUDGET_TOKENS * 2]),
    createAccount('parishes', 2, ['notes', SMALL_BUDGET_TOKENS]),
    createAccount('suppliers', 1, ['orders', SMALL_BUDGET_TOKENS]),
    createAccount('trustees', 1, ['minutes', MEDIUM_BUDGET_TOKENS]),
    createAccount('research', 1, ['trials', SMALL_BUDGET_TOKENS]),
  ],
  tasks: [
    'Draft a survey for a house with a north roof',
    'Answer an enquiry about a grant for a water tank',
    'Write a digest of the gutter filters due this week',
    'Confirm which crew comes on Thursday',
  ],
  reads: ['/visits', '/crews/today', '/filters'],
  orders: ['/visits/book', '/filters/order'],
};

/** Deployments by name. */
export const Deployments: Record<string, Deployment> = { haldane, trentside };

function createAccount(name: string, share: number, ...budgets: [string, number][]): ClientAccount {
  return {
    name,
    share,
    budgets: budgets.map(([budget, tokens]) => ({ name: budget, tokens })),
  };
}

/** Returns the secret of an account's key in a replay. */
export function getSecret(accountName: string): string {
  return `pk-replay-${accountName}`;
}
