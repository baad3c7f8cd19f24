import http from 'node:http';
import { watchClose } from '@pomeloroad/core';
import { WireHeader } from './platformWire';
import { signAnswer } from './soakWork';

/** Error of an answer that the caller did not wait for. */
export const CALLER_LEFT = 'caller left';

/** What the head of a caller's request tells. */
export interface CallerFields {
  id: string;
  host: string;
  path: string;
  key: string;
  /** Time in milliseconds that the caller says it will wait. */
  timeLeft: number;
  inputTokens: number;
  outputTokens: number;
  /** Parts of the prompt; `undefined` if the request tells none. */
  prompt?: string | undefined;
  /** Last event that the caller has; 0 for a new stream. */
  resumeAfter: number;
  /** Id of the request that brought the stream's first event. */
  resumes?: string;
}

/** A request of a caller of the platform. */
export interface CallerCall extends CallerFields {
  /** `ip:port` of the instance. */
  address: string;
  /** Time in milliseconds after which it leaves. */
  patience: number;
  /** Connections to use; `false` opens a new one. */
  agent: http.Agent | false;
}

/** What a caller has seen of one answer. */
export interface CallerAnswer {
  /** 0 if no answer has begun. */
  status: number;
  framing: 'length' | 'chunked' | 'close';
  /**
   * Whether the caller takes the answer for complete: its length is met, its last chunk has come, or it has
   * neither and its connection was closed in order.
   */
  looksComplete: boolean;
  /** Whether the answer names the request. */
  isOwn: boolean;
  /** Whether the signature is one of an endpoint for this request. */
  isSigned: boolean;
  body: string;
  /** Why the answer is not whole, as far as the caller sees it. */
  error?: string;
}

/** Sends a request; resolves when its answer has ended, was cut off or the time has passed. */
export function sendCallerCall(call: CallerCall): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const answer = createCallerAnswer();
    const request = http.request(`http://${call.address}${call.path}`, {
      method: 'POST',
      agent: call.agent,
      headers: { ...createCallerHeaders(call), 'content-length': 0 },
    });
    const timer = setTimeout(() => {
      answer.error ??= CALLER_LEFT;
      request.destroy();
    }, call.patience);
    const finish = (error?: Error) => {
      clearTimeout(timer);
      answer.error ??= error?.message;
      resolve(answer);
    };
    request.on('error', finish);
    request.on('response', (response) => {
      const { statusCode = 0, headers } = response;
      readCallerHead(answer, call.id, statusCode, headers);
      const hasEnded =
        answer.framing === 'close' ? watchClose(response) : async () => response.complete;
      response.on('data', (data: Buffer) => {
        answer.body += data.toString();
      });
      response.on('error', (error) => {
        answer.error ??= error.message;
      });
      response.on('close', async () => {
        answer.looksComplete = await hasEnded();
        finish();
      });
    });
    request.end();
  });
}

/** Returns the fields of the head of a caller's request, without those of its body. */
export function createCallerHeaders(call: CallerFields): Record<string, string> {
  return {
    host: call.host,
    [WireHeader.key]: `Token ${call.key}`,
    [WireHeader.requestId]: call.id,
    [WireHeader.timeLeft]: `${call.timeLeft}`,
    [WireHeader.tokenBounds]: `${call.inputTokens},${call.outputTokens}`,
    ...(call.prompt === undefined ? {} : { [WireHeader.promptParts]: call.prompt }),
    ...(call.resumeAfter > 0 ? { [WireHeader.resumeAfter]: `${call.resumeAfter}` } : {}),
    ...(call.resumes === undefined ? {} : { [WireHeader.resumes]: call.resumes }),
  };
}

/** Returns what a caller has seen before an answer begins. */
export function createCallerAnswer(): CallerAnswer {
  const answer = { status: 0, framing: 'close' as const, looksComplete: false };
  return { ...answer, isOwn: true, isSigned: false, body: '' };
}

/** Adds the head of an answer to what the caller of the request has seen. */
export function readCallerHead(
  answer: CallerAnswer,
  id: string,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): void {
  const read = answer;
  read.status = status;
  if (headers['transfer-encoding'] !== undefined) read.framing = 'chunked';
  else if (headers['content-length'] !== undefined) read.framing = 'length';
  read.isOwn = headers[WireHeader.requestId] === id;
  const signature = String(headers[WireHeader.signature] ?? '');
  const [endpoint = ''] = signature.split('.');
  read.isSigned = signature === signAnswer(endpoint, id);
}
