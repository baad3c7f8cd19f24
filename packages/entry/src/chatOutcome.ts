import { match } from 'ts-pattern';
import type { UsageRecord } from '@pomeloroad/budgets';
import { createRefusal } from '@pomeloroad/requests';
import type { AnswerEnd, Refusal } from '@pomeloroad/requests';
import type { EngineError } from './engine';

const FAILED_RETRY_MS = 1000;

/** What an attempt to run a request on one endpoint came to. */
export type Attempt =
  | { kind: 'done'; end: AnswerEnd; record: UsageRecord | undefined }
  /** Nothing ran: another endpoint may be tried. */
  | { kind: 'not-run'; refusal: Refusal; result: 'ok' | 'failed' };

/** The budget keeper was lost: nothing was sent. */
export function notRunHere(): Attempt {
  const message = 'The budget keeper was lost before the request was sent.';
  const refusal = createRefusal('budget_unreachable', 'no', message, FAILED_RETRY_MS);
  return { kind: 'done', end: refuse(refusal), record: undefined };
}

/** The endpoint began to leave: nothing was sent. */
export function notRunOnLeaving(): Attempt {
  const message = 'The endpoint began to leave before the request was sent.';
  const refusal = createRefusal('no_endpoint', 'no', message, FAILED_RETRY_MS);
  return { kind: 'not-run', refusal, result: 'ok' };
}

/** The caller left: nothing was sent. */
export function leftBeforeStart(): AnswerEnd {
  return refuse(createRefusal('endpoint_failed', 'no', 'The caller left before the start.'));
}

/** What an error that proves that nothing ran comes to. */
export function toNotRun(error: EngineError): Attempt {
  const text = `The endpoint did not take the request: ${error.message}.`;
  return match(error.kind)
    .with('busy', () => ({
      kind: 'not-run' as const,
      refusal: createRefusal('overloaded', 'no', text, FAILED_RETRY_MS),
      result: 'ok' as const,
    }))
    .with('rejected', () => ({
      kind: 'done' as const,
      end: refuse(createRefusal('invalid_request', 'no', text)),
      record: undefined,
    }))
    .with('failed', () => ({
      kind: 'not-run' as const,
      refusal: createRefusal('endpoint_failed', 'no', text, FAILED_RETRY_MS),
      result: 'failed' as const,
    }))
    .exhaustive();
}

/** The refusal for an error that leaves open whether the request ran. */
export function toFailure(error: EngineError): Refusal {
  const text = `The endpoint failed while it ran the request: ${error.message}.`;
  return createRefusal('endpoint_failed', 'unknown', text);
}

/** Whether another admission may help. */
export function isKeeperLost(end: AnswerEnd): boolean {
  return isNotRun(end) && end.kind === 'refused' && end.refusal.code === 'budget_unreachable';
}

/** Whether the request provably did not run. */
export function isNotRun(end: AnswerEnd): boolean {
  return end.kind === 'refused' && end.refusal.ran === 'no';
}

/** Whether the endpoint is to blame. */
export function isEndpointFault(end: AnswerEnd): boolean {
  return end.kind === 'refused' && end.refusal.code === 'endpoint_failed';
}

/** Ends an answer with a refusal. */
export function refuse(refusal: Refusal): AnswerEnd {
  return { kind: 'refused', refusal };
}
