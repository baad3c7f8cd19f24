import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { PromptPart } from '@pomeloroad/routing';

/**
 * What may be repeated on a route. A streaming request may be repeated only where its route says
 * that it can be resumed.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service that gets a part of a route's requests. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** Where requests of a host and a path go, and how. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  isResumable: boolean;
  /** The most endpoints on which one request may run. */
  attempts: number;
  /** The longest time that a request is kept. */
  timeout: Milliseconds;
  /** The time to the answer, or to its first event, that callers aim for. */
  objective: Milliseconds;
  /** 0 goes first. */
  priority: number;
  /** Whether requests need no key. */
  isPublic: boolean;
  targets: WeightedService[];
}

/** A service of the configuration. */
export interface ForwardService {
  name: string;
  /** Model tokens in one event of a stream, at most. */
  tokensPerEvent: Tokens;
}

/** A client account with its keys and what it has paid for. */
export interface ForwardAccount {
  name: string;
  keys: string[];
  /** Goes before the route's priority. */
  priority: number | undefined;
  /** Total that it may use; `undefined` where nothing is counted. */
  prepaid: Tokens | undefined;
}

/** Limits on what callers send. */
export interface CallerLimits {
  bodyBytes: number;
  headerTimeout: Milliseconds;
  /** How long a connection may stay idle. */
  idleTimeout: Milliseconds;
}

/** A whole version of the configuration. */
export interface ForwardConfiguration {
  version: number;
  routes: Route[];
  services: ForwardService[];
  accounts: ForwardAccount[];
  limits: CallerLimits;
}

/** An endpoint as its own entry describes it. */
export interface EndpointRecord {
  id: string;
  /** Start of this life of the endpoint; a later life has a higher one. Only compared. */
  born: number;
  /** Rises with each change that the endpoint reports within a life. */
  sequence: number;
  service: string;
  /** IP number and port. */
  address: string;
  dataCentre: string;
  isLeaving: boolean;
  /** Requests that it takes at the same time. */
  concurrency: number;
}

/** What the caller asked for, whatever protocol it speaks. */
export interface ForwardRequest<Payload> {
  id: string;
  route: Route;
  service: string;
  account: string;
  /** 0 goes first. */
  priority: number;
  /** On the clock's `elapsed`; the answer is final by then. */
  deadline: Milliseconds;
  startedAt: Milliseconds;
  configurationVersion: number;
  /** What it can cost. */
  cost: Cost;
  /** Parts of the prompt in order; the last one is the request's own. */
  prefix: PromptPart[];
  /** The last event that the caller has of an earlier stream. */
  resumeAfter: string | undefined;
  /** What only the protocols know: method, path, headers, body. */
  payload: Payload;
}

/** The most tokens that a request may use. */
export interface Cost {
  input: Tokens;
  output: Tokens;
}

/** Status line and headers of an endpoint's answer, as they came. */
export interface ReplyHead {
  status: number;
  /** Names and values in turn. */
  headers: string[];
}

/** A step of a stream. Events are whole. */
export type StreamStep =
  | { kind: 'events'; data: Buffer; count: number; lastId: string | undefined }
  | { kind: 'end' }
  | { kind: 'broken'; message: string };

/** The events of one answer, pulled one step at a time. */
export interface EventStream {
  next(): Promise<StreamStep>;
  /** Closes the connection; resolves once it is closed, so that another run may start. */
  close(): Promise<void>;
}

/** An endpoint's checked answer. */
export type Reply =
  | { kind: 'whole'; head: ReplyHead; body: Buffer }
  | { kind: 'stream'; head: ReplyHead; stream: EventStream };

/** Why an attempt brought no answer. */
export type SendError =
  /** No connection: nothing was sent. */
  | { kind: 'unreachable'; message: string }
  /** Another endpoint has the address now; nothing was run. */
  | { kind: 'replaced'; message: string }
  /** The endpoint said that it did not run the request. */
  | { kind: 'declined'; message: string }
  /** It may have run. */
  | { kind: 'broken'; message: string };

/** One try of a request on one endpoint. */
export interface Attempt<Payload> {
  request: ForwardRequest<Payload>;
  endpoint: EndpointRecord;
  /** The last event that the caller already has. */
  resumeAfter: string | undefined;
  /** What is left until the request's deadline. */
  timeLeft: Milliseconds;
  /** How long the answer's head may take. */
  patience: Milliseconds;
  /** Aborted when the caller has left or the deadline has passed. */
  signal: AbortSignal;
}

/** Speaks the endpoints' protocol. Never throws. */
export interface EndpointProtocol<Payload> {
  send(attempt: Attempt<Payload>): Promise<Outcome<Reply, SendError>>;
}

/** Why a request got no answer of an endpoint. */
export type RefusalKind =
  | 'not-ready'
  | 'overloaded'
  | 'no-endpoint'
  | 'budget-exhausted'
  | 'budget-unreachable'
  | 'timed-out'
  | 'failed';

/** An answer of our own; `hasRun` is false only if no endpoint ran the request or ever will. */
export interface ForwardRefusal {
  kind: RefusalKind;
  hasRun: boolean;
  /** When the caller may come back. */
  retryAfter: Milliseconds | undefined;
}

/** Whoever waits for the answer. */
export interface Caller {
  /** Aborted once the caller has left. */
  signal: AbortSignal;
  answer(head: ReplyHead, body: Buffer): void;
  refuse(refusal: ForwardRefusal): void;
  begin(head: ReplyHead): void;
  /** Resolves when more may be written. */
  write(data: Buffer): Promise<void>;
  end(): void;
  /** Breaks the answer off so that the caller sees it. */
  cut(): void;
}
