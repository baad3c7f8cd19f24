import type { CallerAnswer, EarlyEndReason, EndpointLine, Work } from '@pomeloroad/standins';
import { STATUS_OK } from './checkBounds';

/** What the soak knows of one request: what its caller saw and what endpoints recorded of it. */
export interface RequestRecord {
  id: string;
  account: string;
  work: Work;
  instance: string;
  /** How often the instance's process had been started when the request was sent. */
  life: number;
  inputTokens: number;
  /** Time in milliseconds after which its caller leaves; `undefined` for its time limit. */
  patience?: number;
  /** Time in milliseconds that its caller gives it; `undefined` for the usual one. */
  timeLimit?: number;
  /** Its body; `undefined` for none. */
  body?: string;
  /** Whether the instance may refuse it as malformed. */
  mayBeRefused?: boolean;
  /** Whether it is of a version of HTTP without chunks. */
  isOldVersion?: boolean;
  /** Last event that the caller had when it sent the request. */
  resumeAfter: number;
  /** Id of the request that brought the stream's first event, if the caller takes a stream up. */
  resumes?: string;
  /** Versions of the events that the caller had when it sent the request. */
  heldVersions: string[];
  /** Unix time in milliseconds at which the caller sent it. */
  sentAt: number;
  /** Unix time in milliseconds at which its answer ended; `undefined` while it is open. */
  endedAt?: number;
  answer?: CallerAnswer;
  runs: EndpointRun[];
  /** Unix times at which it reached an endpoint, whether that ran it or not. */
  arrivals: number[];
  /** Lines of all processes that name the request. */
  lines: LogLine[];
}

/** What an endpoint recorded of one run of a request. */
export interface EndpointRun {
  endpoint: string;
  /** Unix time in milliseconds at which the request arrived. */
  arrivedAt: number;
  /** Unix time in milliseconds at which it began. */
  at: number;
  /** Unix time in milliseconds at which it sent its last event. */
  lastAt: number;
  account: string;
  path: string;
  /** Hash of the body that it got. */
  body: string;
  /** Whether it went on from a replica of a run, as the same run. */
  goesOn: boolean;
  /** Number of the last event that it sent. */
  sent: number;
  /** Whether the endpoint stated that its answer is complete. */
  isStated: boolean;
  /** Why the endpoint ended its answer in order with events missing; `undefined` if it did not. */
  earlyEnd?: EarlyEndReason;
  /** Whether the endpoint went on until its answer was complete or its peer had closed. */
  isEnded: boolean;
  /** Unix time in milliseconds at which the endpoint noticed that its peer had closed; `undefined` if it did not. */
  closedAt?: number;
}

/** A line that a process of the soak wrote, or that the soak wrote for a caller or a fault. */
export interface LogLine {
  /** Unix time in milliseconds. */
  at: number;
  source: string;
  text: string;
}

/** A line of an endpoint with its time and the endpoint's id. */
export type StampedEndpointLine = EndpointLine & { at: string; id: string };

/** Returns the number of whole events in the body. */
export function countEvents(body: string): number {
  return body.split('\n\n').length - 1;
}

/** Whether the caller got a success with all events that it asked for. */
export function isWhole({ answer, work, resumeAfter }: RequestRecord): boolean {
  return answer?.status === STATUS_OK && countEvents(answer.body) === work.events - resumeAfter;
}
