import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';

/** The latest load report of an endpoint. */
export interface LoadReport {
  running: number;
  queued: number;
  state: 'live' | 'leaving';
}

/** An endpoint with its load and health as known to this instance. */
export interface EndpointView {
  endpoint: Endpoint;
  /** Requests of this instance in flight on the endpoint. */
  inFlight: number;
  /** Requests of other instances on the endpoint, by the latest load report. */
  othersInFlight: number;
  isLeaving: boolean;
  /** Whether the endpoint should be chosen only as a last resort. */
  isFailing: boolean;
  /** Whether the endpoint or its data centre could not be reached recently. */
  isUnreachable: boolean;
  /** Requests a second that this instance may send there; `undefined` without a limit. */
  rateShare: number | undefined;
  /** Whether the next one of these requests may not be sent yet. */
  isPaced: boolean;
  /** Requests that this instance may have in flight there; `undefined` without a limit. */
  slotShare: number | undefined;
  /** Time for which the endpoint wants no requests; 0 if it wants them. */
  pausedFor: Milliseconds;
}

/** A part of a prompt. Requests may share parts, and engines cache the parts they have read. */
export interface PromptPart {
  id: string;
  tokens: Tokens;
}

/** A service; with an origin, only endpoints of that version of its software serve the target. */
export interface ServiceTarget {
  kind: 'service';
  service: string;
  origin?: { version: string | undefined } | undefined;
}

/** A request for a slot on an endpoint. */
export interface RouteRequest {
  /** The model of an engine or the name of a service. */
  target: { kind: 'engine'; model: string } | ServiceTarget;
  account: string;
  /** A higher number is served first. */
  priority: number;
  /** Maximum wait for a slot. */
  patience: Milliseconds;
  /** Names of the endpoints that already failed this request. */
  excluded: ReadonlySet<string>;
  /** If set, no other endpoints may be used. */
  only?: ReadonlySet<string> | undefined;
  /** Parts of the prompt in order; only the last one is not shared with other requests. */
  prefix?: PromptPart[];
  /** Aborted when the caller has disconnected; a waiting request is then removed. */
  signal?: AbortSignal;
}

/**
 * How the request in a slot ended. `unreachable` means that nothing reached the endpoint, `silent` that
 * another endpoint answered sooner, `unused` that the result tells nothing about the endpoint.
 */
export type SlotResult = 'ok' | 'failed' | 'unreachable' | 'silent' | 'unused';

/** Capacity for one request on an endpoint; must be released; only the first release counts. */
export interface Slot {
  endpoint: Endpoint;
  /** Whether the endpoint is leaving by now, so that nothing may be sent to it. */
  isLeaving(): boolean;
  /** Records that bytes arrived; an endpoint that stays silent is chosen only as a last resort. */
  recordActivity(): void;
  /** Time of `clock.elapsed()` at which bytes last arrived for any request on the endpoint. */
  getActivityTime(): Milliseconds;
  release(result: SlotResult): void;
}

/** Why no slot was acquired. */
export type RouteError =
  /** No endpoint that may be used serves the target. */
  | { kind: 'none' }
  /** All endpoints are busy, and the wait exceeds the request's patience or the queue is full. */
  | {
      kind: 'busy';
      retryAfter: Milliseconds;
      /** Whether all endpoints that serve the target name limits of requests. */
      isLimited: boolean;
    }
  /** No endpoint can be reached, and each one is already being probed by a request. */
  | { kind: 'unreachable' }
  /** The caller disconnected while the request waited. */
  | { kind: 'abandoned' };
