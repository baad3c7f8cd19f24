import type { IncomingMessage, ServerResponse } from 'node:http';
import { match } from 'ts-pattern';
import { hashText } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import { WireHeader } from './platformWire';
import { renderEvents, signAnswer } from './soakWork';
import type { AnswerFault, Work } from './soakWork';

/** Announces a time that the server's own idle timeout may undercut. */
export const KEEP_ALIVE = { connection: 'keep-alive', 'keep-alive': 'timeout=5' };
const EXTRA_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore';
/** Share of the requests with a fault, in 16 parts, that an endpoint answers with it. */
const FAULTY_SIXTEENTHS = 8;
/** Longest time between the last event of a stream and an end that comes apart from it. */
const END_DELAY_MAX_MS: Milliseconds = 100;
/** Values of the part of a hash that decides whether an end comes apart. */
const HASH_VALUES = 0x10000;
/** One endpoint in this many states the ends of `empty` streams that it is asked to go on with at once. */
const FORGETFUL_STEP = 4;

/** What the head of an answer tells. */
export interface AnswerHead {
  /** Id of the endpoint. */
  endpoint: string;
  version: string;
  /** Id of the request. */
  name: string;
  work: Work;
  /** Last event that the instance has. */
  after: number;
  fault: AnswerFault;
  /** Requests a second that the endpoint names as its limit; `undefined` for none. */
  rateLimit: number | undefined;
}

/** Sets the head of an answer; it is sent with the first event unless it is flushed. */
export function writeHead(response: ServerResponse, head: AnswerHead): void {
  const { endpoint, version, name, work, after, fault, rateLimit } = head;
  const content = renderEvents(name, after, work.events, version);
  const extra = fault === 'length' ? 1 : 0;
  const framing = match(work.framing)
    .with('length', () => ({ ...KEEP_ALIVE, 'content-length': content.length + extra }))
    .with('chunked', () => ({ ...KEEP_ALIVE, 'transfer-encoding': 'chunked' }))
    .with('close', () => ({ connection: 'close' }))
    .exhaustive();
  const answer = response;
  // Without this, Node frames an answer that has neither a length nor chunks in chunks.
  answer.useChunkedEncodingByDefault = work.framing === 'chunked';
  if (rateLimit !== undefined) answer.setHeader(WireHeader.rateLimit, rateLimit);
  answer.writeHead(200, {
    [WireHeader.requestId]: fault === 'other' ? `${name}-other` : name,
    [WireHeader.signature]: signAnswer(endpoint, name),
    'content-type': 'text/event-stream',
    ...framing,
  });
}

/** Whether the answer has neither ended nor lost its connection. */
export function isOpen(response: ServerResponse): boolean {
  return !response.destroyed && !response.writableEnded;
}

/** Ends an answer. One that is cut short closes its connection in order and, in chunks, without the last one. */
export function endAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  { framing }: Work,
  fault: AnswerFault,
): void {
  if (fault === 'short' || fault === 'length') {
    request.socket.end();
    return;
  }
  response.end();
  // Without a length or chunks they would belong to the answer.
  if (fault === 'extra' && framing !== 'close') request.socket.write(EXTRA_ANSWER);
}

/** Whether the endpoint answers the request with the fault that it asks for. */
export function hasFault(endpoint: string, request: string): boolean {
  return parseInt(hashText(`${endpoint}/${request}`).slice(0, 1), 16) < FAULTY_SIXTEENTHS;
}

/**
 * Whether the endpoint can't go on with such a stream. As endpoints are numbered, that is one of two that
 * serve a version; of many, several confirm each other.
 */
export function hasForgotten(endpoint: string, { fault }: Work): boolean {
  const isForgetful = Number(endpoint.split('-').at(-1)) % FORGETFUL_STEP === 1;
  return fault === 'forgotten' || (fault === 'empty' && isForgetful);
}

/**
 * Returns the time from a stream's last event to its end. It is not 0 for the share of the streams that end
 * apart, at all endpoints alike.
 */
export function drawEndDelay(random: Random, request: string, share: number): Milliseconds {
  const isApart = parseInt(hashText(request).slice(0, 4), 16) < share * HASH_VALUES;
  return isApart ? random.integer(0, END_DELAY_MAX_MS) : 0;
}
