import type { Tokens } from '@pomeloroad/core';

/** How endpoints of a pool are chosen. */
export type RoutingPolicy =
  | { kind: 'round-robin' }
  | { kind: 'random-two' }
  | { kind: 'least-in-flight' }
  /** Where the longest shared part of the prompt is likely cached, within a bound on the load. */
  | { kind: 'prefix-affinity' };

/** A caller's key; only the hash of its secret is stored. */
export interface AccountKey {
  name: string;
  /** SHA-256 of the secret, in hexadecimal. */
  hash: string;
  /** The budget that its requests draw on unless they name another one of the account. */
  budget: string;
}

/** A client account. */
export interface Account {
  name: string;
  /** Share of the capacity relative to other accounts. */
  weight: number;
  /** Names of its budgets; a trailing `*` admits every name with that prefix. */
  budgets: string[];
  keys: AccountKey[];
}

/** A model and how requests for it are bounded and routed. */
export interface Pool {
  model: string;
  policy: RoutingPolicy;
  /** Tokens that the chat template adds to a prompt at most, for each message. */
  templateTokens: Tokens;
  /** Answer limit of a request that names none. */
  defaultOutputTokens: Tokens;
  /** The largest answer limit that a request may name. */
  maxOutputTokens: Tokens;
}

/** A plain service. */
export interface Service {
  name: string;
  policy: RoutingPolicy;
  /** What a call draws on the budget. */
  tokensPerCall: Tokens;
}

interface EndpointBase {
  name: string;
  dataCentre: string;
  /** IP number and port. */
  address: string;
  /** Requests that it takes at the same time. */
  concurrency: number;
  leaving: boolean;
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: boolean;
}

/** Where requests run: a model engine or one server of a plain service. */
export type Endpoint =
  | (EndpointBase & { kind: 'engine'; models: string[] })
  | (EndpointBase & { kind: 'service'; service: string });

/** A whole configuration file. */
export interface Configuration {
  accounts: Account[];
  pools: Pool[];
  services: Service[];
  endpoints: Endpoint[];
}

/** A fault of a file, at its place. Lines and columns count from 1. */
export interface ConfigurationFault {
  line: number;
  column: number;
  /** Path of the value, `accounts[0].name`. */
  path: string;
  message: string;
}

/** A version of the configuration as the platform keeps it. */
export interface VersionRow {
  version: number;
  /** SHA-256 of the file's text; also the name of its object. */
  digest: string;
  at: string;
  author: string;
}

/** The row that decides which version is in force. */
export interface HeadRow {
  /** The highest version number ever proposed. */
  lastVersion: number;
  accepted?: VersionRow;
  proposed?: VersionRow;
}
