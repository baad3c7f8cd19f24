import type { ServerResponse } from 'node:http';
import { writeJson } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';

/**
 * A fault that one call meets. `lost` applies a transaction but drops its answer, `slow` sends the
 * answer in pieces over more time than the head of an answer may take, `stalled` stops halfway, `without
 * has_more` and `without rows` leave that member out of the answer.
 */
export type StoreFault =
  | 'busy'
  | 'silent'
  | 'forgotten'
  | 'lost'
  | 'slow'
  | 'stalled'
  | 'without has_more'
  | 'without rows';

const SLOW_PIECES = 16;
const SLOW_PIECE_DELAY_MS: Milliseconds = 100;

/** Sends an answer of the store as the fault, if there is one, lets it. */
export function sendAnswer(
  response: ServerResponse,
  status: number,
  answer: object,
  fault: StoreFault | undefined,
): void {
  if (fault === 'slow') writeInPieces(response, answer, SLOW_PIECES);
  else if (fault === 'stalled') writeInPieces(response, answer, SLOW_PIECES / 2);
  else writeJson(response, status, omitMember(answer, fault));
}

// Sends the given number of the body's pieces, one at a time; the answer ends after the last one.
function writeInPieces(response: ServerResponse, answer: object, pieces: number): void {
  const text = Buffer.from(JSON.stringify(answer));
  const size = Math.ceil(text.length / SLOW_PIECES);
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length });
  let sent = 0;
  const timer = setInterval(() => {
    response.write(text.subarray(sent * size, (sent + 1) * size));
    sent += 1;
    if (sent >= pieces) clearInterval(timer);
    if (sent >= SLOW_PIECES) response.end();
  }, SLOW_PIECE_DELAY_MS);
  response.on('close', () => clearInterval(timer));
}

function omitMember(answer: object, fault: StoreFault | undefined): object {
  if (fault === 'without has_more') return { ...answer, has_more: undefined };
  return fault === 'without rows' ? { ...answer, rows: undefined } : answer;
}
