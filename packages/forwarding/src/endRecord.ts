import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { LogFields } from '@pomeloroad/core';
import type { EndOutcome } from './ends/answerCourse';
import { describeCourse, getEndImportance, reportEnd } from './ends/endReport';
import { getSpentTokens, getTimeLeft } from './run';
import type { Run } from './run';

/** How a request has ended. */
export type RunOutcome = 'answered' | 'refused' | 'cut';

/** Updates the metrics and writes the log line of a request that has ended. */
export function recordEnd<Payload>(
  run: Run<Payload>,
  outcome: RunOutcome,
  fields: LogFields,
): void {
  const { host, request, caller } = run;
  const duration = host.clock.elapsed() - request.startedAt;
  host.metrics.requests.add(1, { outcome, route: request.route.kind });
  host.metrics.duration.record(duration);
  if (run.firstByteAt !== undefined) {
    host.metrics.firstByte.record(run.firstByteAt - request.startedAt);
  }
  const diagnostic = match(outcome)
    .with('answered', () => Diagnostics.requestForwarded)
    .with('refused', () => Diagnostics.requestRefused)
    .with('cut', () => Diagnostics.requestFailed)
    .exhaustive();
  reportEnd(run, toEndOutcome(outcome));
  const details = {
    request: request.id,
    route: request.route.name,
    account: request.account,
    endpoint: run.endpoint,
    version: run.version,
    resumes: request.resumes,
    after: request.resumeAfter,
    configuration: request.configurationVersion,
    configurationAtEnd: host.getConfigurationVersion(),
    runs: run.runs,
    declines: run.declines,
    events: run.events,
    spent: getSpentTokens(run),
    lack: run.lack,
    blockedSuspect: run.blockedSuspect,
    framing: run.framing,
    timeLeft: Math.round(getTimeLeft(run)),
    took: Math.round(duration),
    hasLeft: caller.signal.aborted,
    ...describeCourse(run),
    ...fields,
  };
  host.log(diagnostic, details, getEndImportance(run));
}

function toEndOutcome(outcome: RunOutcome): EndOutcome {
  return match(outcome)
    .with('answered', () => 'passed on' as const)
    .with('refused', 'cut', (same) => same)
    .exhaustive();
}
