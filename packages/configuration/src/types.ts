import type { Tokens } from '@pomeloroad/core';

/** How an endpoint of a pool or service is chosen for a request. */
export type RoutingPolicy =
  | { kind: 'round-robin' }
  | { kind: 'random-two' }
  | { kind: 'least-in-flight' }
  /** Prefers the endpoint likely to cache the longest prefix of the prompt, within a load bound. */
  | { kind: 'prefix-affinity' };

/** An API key of a client account; only the hash of its secret is stored. */
export interface AccountKey {
  name: string;
  /** SHA-256 of the secret, in hexadecimal. */
  hash: string;
  /** Budget that its requests draw on unless they name another budget of the account. */
  budget: string;
}

/** A client account. */
export interface Account {
  name: string;
  /** Share of the capacity, relative to the weights of other accounts. */
  weight: number;
  /** Names of its budgets; a trailing `*` covers every name with that prefix. */
  budgets: string[];
  keys: AccountKey[];
}

/** A model with the token limits and the routing policy of its requests. */
export interface Pool {
  model: string;
  policy: RoutingPolicy;
  /** The most tokens that the chat template adds to a prompt for each message. */
  templateTokens: Tokens;
  /** Output limit of a request that sets none. */
  defaultOutputTokens: Tokens;
  /** The highest output limit that a request may set. */
  maxOutputTokens: Tokens;
}

/** A plain service, which charges a fixed number of tokens per call. */
export interface Service {
  name: string;
  policy: RoutingPolicy;
  /** Tokens that one call draws from the budget. */
  tokensPerCall: Tokens;
}

interface EndpointBase {
  name: string;
  dataCentre: string;
  /** IP address and port. */
  address: string;
  /** Number of requests that it runs at the same time. */
  concurrency: number;
  /** Whether it is being drained: it gets no new requests. */
  leaving: boolean;
  /** Whether it rejects orders with an old fencing number. */
  checksFencing: boolean;
}

/** A back end that runs requests: a model engine or one server of a plain service. */
export type Endpoint =
  | (EndpointBase & { kind: 'engine'; models: string[] })
  | (EndpointBase & { kind: 'service'; service: string; version?: string | undefined });

/** Content of a configuration file. */
export interface Configuration {
  accounts: Account[];
  pools: Pool[];
  services: Service[];
  endpoints: Endpoint[];
}

/** An error in a configuration file with its position. Lines and columns count from 1. */
export interface ConfigurationFault {
  line: number;
  column: number;
  /** Path of the value, such as `accounts[0].name`. */
  path: string;
  message: string;
}

/** Stored metadata of a configuration version. */
export interface VersionRow {
  version: number;
  /** SHA-256 of the file's text, which also names its object in the object store. */
  digest: string;
  at: string;
  author: string;
}

/** Stored row that decides which version is in force. */
export interface HeadRow {
  /** The highest version number ever proposed. */
  lastVersion: number;
  accepted?: VersionRow;
  proposed?: VersionRow;
}
