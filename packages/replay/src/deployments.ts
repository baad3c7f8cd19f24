/** One data centre of a deployment: how many of each it has. */
export interface Site {
  name: string;
  instances: number;
  engines: number;
  services: number;
}

/** A client account of a deployment. */
export interface ClientAccount {
  name: string;
  /** How much of the work it asks for, relative to the others. */
  share: number;
  budgets: { name: string; tokens: number }[];
}

/** A deployment that traces are recorded for. */
export interface Deployment {
  name: string;
  model: string;
  service: string;
  sites: Site[];
  accounts: ClientAccount[];
  /** What callers ask the model for. */
  tasks: string[];
  /** Paths of idempotent calls of the plain service. */
  reads: string[];
  /** Paths of non-idempotent calls of the plain service. */
  orders: string[];
}

const LARGE_TOKENS = 4_000_000;
const MEDIUM_TOKENS = 400_000;
const SMALL_TOKENS = 4000;

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
    account('dispatch', 10, ['routes', LARGE_TOKENS], ['hazmat', LARGE_TOKENS]),
    account('drivers', 8, ['questions', LARGE_TOKENS]),
    account('reorders', 4, ['summaries', MEDIUM_TOKENS]),
    account('manifests', 3, ['readings', MEDIUM_TOKENS]),
    account('passes', 2, ['weather', SMALL_TOKENS * 4]),
    account('depots', 2, ['gauges', SMALL_TOKENS * 2]),
    account('training', 2, ['lessons', SMALL_TOKENS]),
    account('audit', 1, ['checks', SMALL_TOKENS]),
    account('billing', 1, ['letters', MEDIUM_TOKENS]),
    account('partners', 1, ['trials', SMALL_TOKENS]),
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
    account('surveys', 10, ['drafts', LARGE_TOKENS]),
    account('grants', 6, ['enquiries', LARGE_TOKENS], ['letters', MEDIUM_TOKENS]),
    account('bookings', 5, ['visits', LARGE_TOKENS]),
    account('maintenance', 3, ['digests', MEDIUM_TOKENS]),
    account('volunteers', 2, ['rotas', SMALL_TOKENS * 4]),
    account('schools', 2, ['lessons', SMALL_TOKENS * 2]),
    account('parishes', 2, ['notes', SMALL_TOKENS]),
    account('suppliers', 1, ['orders', SMALL_TOKENS]),
    account('trustees', 1, ['minutes', MEDIUM_TOKENS]),
    account('research', 1, ['trials', SMALL_TOKENS]),
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

function account(name: string, share: number, ...budgets: [string, number][]): ClientAccount {
  return {
    name,
    share,
    budgets: budgets.map(([budget, tokens]) => ({ name: budget, tokens })),
  };
}

/** The secret of an account's key in a replay. */
export function getSecret(accountName: string): string {
  return `pk-replay-${accountName}`;
}
