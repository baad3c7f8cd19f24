import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';

/** What an endpoint last said about its load. */
export interface LoadReport {
  running: number;
  queued: number;
  state: 'live' | 'leaving';
}

/** An endpoint as this instance sees it. */
export interface EndpointView {
  endpoint: Endpoint;
  /** Requests of this instance that run there. */
  inFlight: number;
  /** Requests of others there, by the last load report. */
  othersInFlight: number;
  isLeaving: boolean;
  isFailing: boolean;
  /** Whether the last attempts did not reach it. */
  isUnreachable: boolean;
}

/** A part of a prompt; requests share parts, and engines keep what they have read. */
export interface PromptPart {
  id: string;
  tokens: Tokens;
}

/** What a request asks of routing. */
export interface RouteRequest {
  /** The model or the plain service. */
  target: { kind: 'engine'; model: string } | { kind: 'service'; service: string };
  account: string;
  /** Higher goes first. */
  priority: number;
  /** How long the request may wait for a free endpoint. */
  patience: Milliseconds;
  /** Endpoints that failed this request before. */
  excluded: ReadonlySet<string>;
  /** Shared parts of the prompt, in order. */
  prefix?: PromptPart[];
  /** Aborted when the caller has left: a waiting request leaves the queue. */
  signal?: AbortSignal;
}

/** How a request on a place ended; `unreachable`: nothing reached the endpoint. */
export type SlotResult = 'ok' | 'failed' | 'unreachable';

/** A place on an endpoint; must be released exactly once. */
export interface Slot {
  endpoint: Endpoint;
  /** Whether the endpoint has begun to leave since; then nothing may be sent to it. */
  isLeaving(): boolean;
  /** Bytes came from the endpoint; one that is silent for long gets nothing new. */
  touch(): void;
  release(result: SlotResult): void;
}

/** Why no endpoint was found. */
export type RouteError =
  /** No live endpoint serves the target. */
  | { kind: 'none' }
  /** All are busy; the wait would be longer than the request's patience. */
  | { kind: 'busy'; retryAfter: Milliseconds }
  /** None can be reached, and each one is being tried already. */
  | { kind: 'unreachable' }
  /** The caller left while the request waited. */
  | { kind: 'abandoned' };
