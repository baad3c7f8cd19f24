import { match } from 'ts-pattern';
import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Answer, AnswerEnd, Refusal, RefusalCode, RunState } from '@pomeloroad/requests';
import { resumeChat, runChat } from './chatRun';
import type { RunHost } from './runHost';
import type { RunRequest } from './runRequest';
import { runService } from './serviceRun';

/** Runs requests on this instance. */
export interface Runner {
  /** Starts a request; its answer can be read while it runs. */
  start(request: RunRequest): Answer;
  /** Takes over the stream of a request that a lost instance ran. */
  resume(request: RunRequest, state: RunState): Answer;
  running(): number;
}

type Execute = (answer: Answer, signal: AbortSignal) => Promise<AnswerEnd>;

// These speak of an earlier attempt under the same name: this one sent nothing.
const EARLIER_RUN_CODES = new Set<RefusalCode>(['platform_unavailable', 'outcome_unknown']);

function isAboutThisRun({ code, ran }: Refusal): boolean {
  return ran === 'unknown' && !EARLIER_RUN_CODES.has(code);
}

/** Creates a runner without running requests. */
export function createRunner(host: RunHost): Runner {
  let running = 0;

  function launch(request: RunRequest, execute: Execute): Answer {
    const answer = host.answers.create(request.id);
    const left = new AbortController();
    running += 1;
    cancelWhenAbandoned(request, answer, left);
    execute(answer, left.signal).then((end) => {
      running -= 1;
      finish(request, answer, end);
    });
    return answer;
  }

  async function cancelWhenAbandoned(
    request: RunRequest,
    answer: Answer,
    left: AbortController,
  ): Promise<void> {
    const grace = request.name ? host.settings.resumeWindow : 0;
    // The first reader attaches right after the start.
    await sleep(host.clock, 0);
    while (!answer.isFinished() && !left.signal.aborted) {
      await answer.waitForNoReaders();
      await sleep(host.clock, grace);
      if (answer.countReaders() === 0 && !answer.isFinished()) {
        host.log(Diagnostics.callerDisconnected, { request: request.id });
        left.abort();
      }
    }
  }

  function finish(request: RunRequest, answer: Answer, end: AnswerEnd): void {
    answer.finish(end);
    const isRefused = end.kind === 'refused';
    const hasRun = !isRefused || isAboutThisRun(end.refusal);
    if (isRefused) {
      const { code, ran } = end.refusal;
      host.log(Diagnostics.requestRefused, { request: request.id, code, ran });
    } else {
      host.log(Diagnostics.requestAnswered, { request: request.id });
    }
    host.answers.retire(request.id, request.name !== undefined && hasRun);
    if (request.name) host.registry.recordFinish(request.name, request.id, hasRun);
  }

  return {
    start: (request) =>
      launch(request, (answer, signal) =>
        match(request.work)
          .with({ kind: 'chat' }, ({ chat }) => runChat(host, request, chat, answer, signal))
          .with({ kind: 'call' }, ({ call }) => runService(host, request, call, answer, signal))
          .exhaustive(),
      ),
    resume: (request, state) =>
      launch(request, (answer, signal) =>
        match(request.work)
          .with({ kind: 'chat' }, ({ chat }) =>
            resumeChat(host, request, chat, answer, signal, state),
          )
          .with({ kind: 'call' }, ({ call }) => runService(host, request, call, answer, signal))
          .exhaustive(),
      ),
    running: () => running,
  };
}
