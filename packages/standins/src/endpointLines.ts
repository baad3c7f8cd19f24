import type { Milliseconds } from '@pomeloroad/core';

/** Why an endpoint ends all its answers in order though they are not whole. */
export type OrderlyEndReason = 'exit' | 'leaving' | 'no-room' | 'preempted' | 'same-event';
/**
 * Why an answer ends in order though it is not whole: the next event would come after its time limit,
 * it was to go on after some events, or all answers of its endpoint end.
 */
export type EarlyEndReason = 'time-limit' | 'resumed' | OrderlyEndReason;

/** How an endpoint ends all its answers in order though they are not whole. */
export interface OrderlyEnd {
  reason: OrderlyEndReason;
  /** Time until the ends; an endpoint that preempts sends nothing meanwhile. */
  delay: Milliseconds;
  /** Time from the ends to the exit of the process; `undefined` if it serves on. */
  exitAfter?: Milliseconds | undefined;
  /** Time for which an endpoint that serves on ends all answers; `undefined` for the usual one. */
  length?: Milliseconds | undefined;
}

/** Where an endpoint is told to end all its answers, with an `OrderlyEnd`. */
export const ORDERLY_END_PATH = '/standin/end';

/** What an endpoint of the soak records, one line for each step of a request. */
export type EndpointLine =
  | {
      event: 'run';
      request: string;
      run: number;
      path: string;
      after: number;
      account: string;
      version: string;
      /** Hash of the body that came. */
      body: string;
      /** Time that the request has waited in line; `undefined` if there is none. */
      waited?: Milliseconds | undefined;
      /** Name of the replica with which it goes on; `undefined` if it runs anew. */
      goesOnFrom?: string | undefined;
    }
  | { event: 'sent'; request: string; run: number; number: number }
  /** The answer is complete as far as the endpoint states it in its framing. */
  | { event: 'stated'; request: string; run: number; number: number }
  /** The answer ends in order, with events missing. */
  | { event: 'stopped'; request: string; run: number; number: number; reason: EarlyEndReason }
  | { event: 'closed'; request: string; run: number; number: number }
  /** The run was stopped by a move to another endpoint, and its stream closed without its end. */
  | { event: 'moved'; request: string; run: number; number: number }
  /** The process dies of the request or of a part of its prompt. */
  | { event: 'crash'; request: string; run: number }
  | {
      event: 'declined';
      request: string;
      reason: 'full' | 'leaving' | 'other-endpoint' | 'no-replica' | 'time-limit';
      /** Time that the request has waited in line; `undefined` if there is none. */
      waited?: Milliseconds | undefined;
    };
