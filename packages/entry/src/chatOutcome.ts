import { match } from 'ts-pattern';
import type { UsageRecord } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { AnswerEnd, Refusal } from '@pomeloroad/requests';
import type { EngineError } from './engineTypes';

const RETRY_AFTER_MS = 1000;

/** The result of an attempt to run a request on one endpoint. */
export type AttemptOutcome =
  | { kind: 'done'; end: AnswerEnd; record: UsageRecord | undefined }
  /**
   * The endpoint ran nothing, so another one may be tried, or, with `isRepeatable`, the same one if
   * there is no other. `result` is that of the slot.
   */
  | { kind: 'not-run'; refusal: Refusal; result: 'ok' | 'failed'; isRepeatable: boolean };

/** Ends a request whose budget keeper was lost before anything was sent. */
export function refuseKeeperLost(): AnswerEnd {
  const message = 'The budget keeper was lost before the request was sent.';
  return refuse(createRefusal('budget_unreachable', 'no', message, RETRY_AFTER_MS));
}

/** Rejects an attempt whose endpoint began to leave before anything was sent. */
export function refuseEndpointLeaving(): AttemptOutcome {
  const message = 'The endpoint began to leave before the request was sent.';
  const refusal = createRefusal('no_endpoint', 'no', message, RETRY_AFTER_MS);
  return { kind: 'not-run', refusal, result: 'ok', isRepeatable: false };
}

/** Ends a request whose caller disconnected before anything was sent. */
export function refuseCallerLeft(): AnswerEnd {
  return refuse(createRefusal('endpoint_failed', 'no', 'The caller left before the start.'));
}

/** Concludes an attempt whose error proves that the endpoint ran nothing. */
export function concludeNotRun(error: EngineError): AttemptOutcome {
  const text = `The endpoint did not take the request: ${error.message}.`;
  return match(error.kind)
    .with('busy', () => ({
      kind: 'not-run' as const,
      refusal: createRefusal('overloaded', 'no', text, RETRY_AFTER_MS),
      result: 'ok' as const,
      isRepeatable: false,
    }))
    .with('rejected', () => ({
      kind: 'done' as const,
      end: refuse(createRefusal('invalid_request', 'no', text)),
      record: undefined,
    }))
    .with('failed', () => ({
      kind: 'not-run' as const,
      refusal: createRefusal('endpoint_failed', 'no', text, RETRY_AFTER_MS),
      result: 'failed' as const,
      isRepeatable: false,
    }))
    .exhaustive();
}

/** Concludes an attempt whose endpoint has confirmed that it neither began it nor will. */
export function concludeNeverBegun(error: EngineError): AttemptOutcome {
  const text = `The endpoint never began the request: ${error.message}.`;
  const refusal = createRefusal('endpoint_failed', 'no', text, RETRY_AFTER_MS);
  return { kind: 'not-run', refusal, result: 'failed', isRepeatable: true };
}

/** Ends a request whose endpoint confirmed that it never started the stream. */
export function refuseNotRun(error: EngineError): AnswerEnd {
  const text = `The endpoint never started the request: ${error.message}.`;
  return refuse(createRefusal('endpoint_failed', 'no', text, RETRY_AFTER_MS));
}

/** Creates the refusal for an error after which the request may have run. */
export function toFailureRefusal(error: EngineError): Refusal {
  const text = `The endpoint failed while it ran the request: ${error.message}.`;
  return createRefusal('endpoint_failed', 'unknown', text);
}

/** Whether the request did not run because its budget keeper could not be reached. */
export function isKeeperLost(end: AnswerEnd): boolean {
  return isNotRun(end) && end.kind === 'refused' && end.refusal.code === 'budget_unreachable';
}

/** Whether the request provably did not run. */
export function isNotRun(end: AnswerEnd): boolean {
  return end.kind === 'refused' && end.refusal.ran === 'no';
}

/** Whether the request was refused because its endpoint failed. */
export function isEndpointFault(end: AnswerEnd): boolean {
  return end.kind === 'refused' && end.refusal.code === 'endpoint_failed';
}

/** Creates the end of an answer that is refused. */
export function refuse(refusal: Refusal): AnswerEnd {
  return { kind: 'refused', refusal };
}
