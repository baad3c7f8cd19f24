import type { IncomingMessage, ServerResponse } from 'node:http';
import { Err } from 'ts-results';
import { match } from 'ts-pattern';
import { closeAfter, readRequestBody, withTimeout } from '@pomeloroad/core';
import type { BodyFault, Clock, Outcome } from '@pomeloroad/core';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import type { Settings } from './settings';

/** Not created for each request, because creating an error takes long. */
const BODY_LATE = Err('timed-out' as const);

const NO_MEMORY_RETRY_AFTER_MS = 1000;

type Limits = Pick<Settings, 'bodyLimit' | 'requestTimeout'>;

/**
 * Reads the body of a caller's request, within the limits of size and time. Resolves to an error without a
 * refusal if the connection is refused as a whole.
 */
export async function receiveBody(
  clock: Clock,
  { bodyLimit, requestTimeout }: Limits,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Outcome<Buffer, Refusal | undefined>> {
  const statedLength = Number(request.headers['content-length'] ?? 0);
  if (statedLength > bodyLimit) return Err(refuseTooLarge(bodyLimit));
  const reading: Promise<Outcome<Buffer, BodyFault | 'timed-out'>> = readRequestBody(
    request,
    bodyLimit,
  );
  const read = await withTimeout(clock, requestTimeout, reading, BODY_LATE);
  if (read.ok) return read;
  closeAfter(response);
  return match(read.val)
    .with('too-large', () => Err(refuseTooLarge(bodyLimit)))
    .with('timed-out', () => Err(BODY_TIMED_OUT))
    .with('disconnected', () => Err(INCOMPLETE_BODY))
    .with('no-memory', () => Err(NO_MEMORY))
    .with('unreadable', () => Err(undefined))
    .exhaustive();
}

function refuseTooLarge(limit: number): Refusal {
  return createRefusal('body_too_large', 'no', `The body is larger than ${limit} bytes.`);
}

const INCOMPLETE_BODY = createRefusal(
  'invalid_request',
  'no',
  'The request was not sent to its end.',
);
const BODY_TIMED_OUT = createRefusal(
  'request_timeout',
  'no',
  'The request took too long to be sent.',
);
const NO_MEMORY = createRefusal(
  'overloaded',
  'no',
  'The instance holds too much for its callers.',
  NO_MEMORY_RETRY_AFTER_MS,
);
