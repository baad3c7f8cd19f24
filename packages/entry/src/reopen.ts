import { createId, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { IssuedKey } from '@pomeloroad/requests';
import type { AnswerOpener } from './answerOpener';
import { createLostRefusal } from './deliverAnswer';
import type { Reopen } from './deliverAnswer';
import type { RunRequest } from './runRequest';

/** Longer than it takes to detect a lost runner and to take over its stream. */
const REOPEN_TIMEOUT_MS: Milliseconds = 10_000;
const REOPEN_DELAY_MS: Milliseconds = 1000;

/** Dependencies of opening an answer again. */
export interface ReopenHost {
  clock: Clock;
  opener: AnswerOpener;
}

/** Creates the function that finds the answer of a request again whose runner fell silent. */
export function createReopen(
  { clock, opener }: ReopenHost,
  request: RunRequest,
  issued: IssuedKey | undefined,
): Reopen {
  /** When the answer first could not be read further, and at which position. */
  let lost: { at: Milliseconds; position: number } | undefined;

  function isTimeUp(): boolean {
    return lost !== undefined && clock.elapsed() - lost.at > REOPEN_TIMEOUT_MS;
  }

  return async (position, isContinuation) => {
    if (!request.name) return createLostRefusal();
    if (lost?.position !== position) lost = { at: clock.elapsed(), position };
    if (isTimeUp()) return createLostRefusal();
    for (;;) {
      // The other instances consider a runner lost only after it has been silent for a while.
      await sleep(clock, REOPEN_DELAY_MS);
      const next = await opener.open({ ...request, id: createId(), isContinuation }, issued);
      const isTemporary = 'code' in next && next.retryAfter !== undefined;
      if (!isTemporary || isTimeUp()) return next;
    }
  };
}
