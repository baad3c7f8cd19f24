import { match } from 'ts-pattern';
import { sleep } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { SentAttempt } from '../attempts/sentAttempt';
import type { Run } from '../run';
import type { EndpointRecord, RunState } from '../types';

/** Enough for one turn of the event loop, which reads the connections that have data. */
const READ_TURN_MS: Milliseconds = 1;
/** A report may be this old, so that it does not list what began or ended since. */
const REPORT_AGE_MAX_MS: Milliseconds = 1000;

/** What is known of an attempt's run; `answered` if its endpoint answers and does not tell. */
export type RunVerdict = 'alive' | 'dead' | 'answered' | 'silent';

/** A question to an endpoint about an attempt's run. */
export interface RunInquiry {
  /** Returns the answer, or `silent` while there is none. */
  get(): RunVerdict;
  /** Resolves if the run turns out to be dead; else it may stay pending. */
  death: Promise<void>;
}

/** Asks the attempt's endpoint about its run. */
export function inquire<Payload>(
  run: Run<Payload>,
  attempt: SentAttempt,
  endpoint: EndpointRecord,
): RunInquiry {
  const { clock, protocol } = run.host;
  const silence = clock.elapsed() - attempt.getActivityTime();
  let verdict: RunVerdict = 'silent';
  const death = new Promise<void>((resolve) => {
    protocol.findRun(endpoint, run.request.id).then(async (state) => {
      verdict = judge(run, state, silence);
      if (verdict !== 'dead') return;
      // What the endpoint sent before its report is read first.
      await sleep(clock, READ_TURN_MS);
      resolve();
    });
  });
  return { get: () => verdict, death };
}

function judge<Payload>(run: Run<Payload>, state: RunState, silence: Milliseconds): RunVerdict {
  return match(state)
    .with({ kind: 'listed' }, ({ events }) => (hasLostEvents(run, events) ? 'dead' : 'alive'))
    .with({ kind: 'missing' }, () => (silence < REPORT_AGE_MAX_MS ? 'answered' : 'dead'))
    .with({ kind: 'untold' }, () => 'answered' as const)
    .with({ kind: 'silent' }, () => 'silent' as const)
    .exhaustive();
}

// Events that were made before the report and have not arrived are lost with their connection. Those
// that another attempt brought to the caller are not in the count.
function hasLostEvents<Payload>({ request, events }: Run<Payload>, made: number): boolean {
  return request.resumeAfter === undefined && made > events;
}
