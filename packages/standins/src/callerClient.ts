import http from 'node:http';
import { watchClose } from '@pomeloroad/core';
import { WireHeader } from './platformWire';
import { signAnswer } from './soakWork';

/** Error of an answer that the caller did not wait for. */
export const CALLER_LEFT = 'caller left';

/** A request of a caller of the platform. */
export interface CallerCall {
  id: string;
  /** `ip:port` of the instance. */
  address: string;
  host: string;
  path: string;
  key: string;
  /** Time in milliseconds that the caller says it will wait. */
  timeLeft: number;
  /** Time in milliseconds after which it leaves. */
  patience: number;
  inputTokens: number;
  outputTokens: number;
  /** Parts of the prompt; `undefined` if the request tells none. */
  prompt?: string | undefined;
  /** Last event that the caller has; 0 for a new stream. */
  resumeAfter: number;
  /** Id of the request that brought the stream's first event. */
  resumes?: string;
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
    const answer: CallerAnswer = {
      status: 0,
      framing: 'close',
      looksComplete: false,
      isOwn: true,
      isSigned: false,
      body: '',
    };
    const request = http.request(`http://${call.address}${call.path}`, {
      method: 'POST',
      agent: call.agent,
      headers: {
        host: call.host,
        'content-length': 0,
        [WireHeader.key]: `Token ${call.key}`,
        [WireHeader.requestId]: call.id,
        [WireHeader.timeLeft]: call.timeLeft,
        [WireHeader.tokenBounds]: `${call.inputTokens},${call.outputTokens}`,
        ...(call.prompt === undefined ? {} : { [WireHeader.promptParts]: call.prompt }),
        ...(call.resumeAfter > 0 ? { [WireHeader.resumeAfter]: call.resumeAfter } : {}),
        ...(call.resumes === undefined ? {} : { [WireHeader.resumes]: call.resumes }),
      },
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
      readHead(answer, response, call);
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

function readHead(answer: CallerAnswer, response: http.IncomingMessage, call: CallerCall): void {
  const { headers, statusCode = 0 } = response;
  const read = answer;
  read.status = statusCode;
  if (headers['transfer-encoding'] !== undefined) read.framing = 'chunked';
  else if (headers['content-length'] !== undefined) read.framing = 'length';
  const echo = headers[WireHeader.requestId];
  read.isOwn = echo === call.id;
  const signature = String(headers[WireHeader.signature] ?? '');
  const [endpoint = ''] = signature.split('.');
  read.isSigned = signature === signAnswer(endpoint, call.id);
}
