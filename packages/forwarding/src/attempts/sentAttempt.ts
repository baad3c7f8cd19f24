import type { Milliseconds, Outcome } from '@pomeloroad/core';
import type { Slot } from '@pomeloroad/routing';
import type { AnswerSource } from '../ends/answerCourse';
import type { ResumePoint } from './resumePoint';
import type { EndpointRecord, Reply, RunCopy, SendError } from '../types';

/** What an attempt ended with, or the head of its stream. */
export type AttemptReply = Outcome<Reply, SendError>;

/** A request that was sent to an endpoint, and the slot that it holds there. */
export interface SentAttempt extends AnswerSource {
  slot: Slot;
  /** Entry of its endpoint; `undefined` if that had left, so that nothing was sent. */
  endpoint: EndpointRecord | undefined;
  resumePoint: ResumePoint;
  /** Where its run is copied to. */
  copy: RunCopy | undefined;
  reply: Promise<AttemptReply>;
  /** Resolves once the endpoint may have started to work. */
  connected: Promise<void>;
  /** Returns when bytes of the answer last arrived, or else when the request was sent. */
  getActivityTime(): Milliseconds;
  /** Closes the connection if the answer has not ended; resolves to the reply. */
  end(): Promise<AttemptReply>;
}
