import type { Milliseconds } from '@pomeloroad/core';
import type { ConnectionFate } from '../types';
import type { AnswerPauses } from './answerPauses';

/** The time limit that an endpoint was told with a request, and when. */
export interface ToldLimit {
  limit: Milliseconds;
  /** Time of `clock.elapsed()`. */
  at: Milliseconds;
}

/** What an attempt tells of the answer that it brings. */
export interface AnswerSource {
  told: ToldLimit;
  pauses: AnswerPauses;
  /** Returns when bytes of the answer last arrived. */
  getActivityTime(): Milliseconds;
}

/**
 * What was done after an end in order. A whole answer that is believed is passed on or, as an error, retried; one that is
 * asked for elsewhere is passed on if nobody answers.
 */
export type EndOutcome =
  | 'passed on'
  | 'rest requested'
  | 'cut'
  | 'refused'
  | 'believed'
  | 'disbelieved'
  | 'asked elsewhere';

/** How an answer has come so far, for the lines of its end. */
export interface AnswerCourse {
  /** The attempt that brings the answer. */
  source: AnswerSource | undefined;
  lastEventAt: Milliseconds | undefined;
  resumptions: number;
  /** Number of events before the latest resumption. */
  eventsBefore: number;
  /** Since when the answer is open although an endpoint has ended it in order; `undefined` if it is not. */
  openSince: Milliseconds | undefined;
  /** What became of the connection of the latest end; `undefined` until it is known. */
  connection: ConnectionFate | undefined;
  /** Whether an end of the request was suspicious. */
  isSuspicious: boolean;
  /** Reports the latest end of a stream; `undefined` once that is done. */
  reportEnd: ((outcome: EndOutcome) => void) | undefined;
}

/** Creates the course of an answer of which nothing has come. */
export function createAnswerCourse(): AnswerCourse {
  return {
    source: undefined,
    lastEventAt: undefined,
    resumptions: 0,
    eventsBefore: 0,
    openSince: undefined,
    connection: undefined,
    isSuspicious: false,
    reportEnd: undefined,
  };
}
