import http from 'node:http';
import net from 'node:net';
import { Err, Ok, Result } from 'ts-results';
import {
  discardBody,
  getResponseFraming,
  isAnswerStatus,
  limitLateUpload,
  onConnected,
  splitAddress,
  watchClose,
} from '@pomeloroad/core';
import type { Milliseconds, Outcome, RunStatus } from '@pomeloroad/core';
import type { AnswerEvent } from '@pomeloroad/requests';
import type { ServiceCall } from './runRequest';

/** Why a call of a plain service got no complete answer. `ran` says whether the service ran it. */
export interface ServiceError {
  kind: 'busy' | 'failed' | 'too-large';
  ran: RunStatus;
  message: string;
}

/** The head of a plain service's answer. */
export type ServiceHead = Omit<Extract<AnswerEvent, { kind: 'head' }>, 'kind'>;

/** Receives the answer of a plain service. More bytes are read after the promise has resolved. */
export interface ServiceSink {
  head(head: ServiceHead): void;
  bytes(data: Buffer): Promise<void>;
}

/** Options of connections to plain services. */
export interface ServiceOptions {
  firstByteTimeout: Milliseconds;
  betweenTimeout: Milliseconds;
  /** Largest answer in bytes. */
  answerLimit: number;
  /** Local IP address of connections; if it is empty, the system chooses one. */
  sourceAddress: string;
}

/** Calls plain services over HTTP. */
export interface ServiceClient {
  run(
    address: string,
    call: ServiceCall,
    signal: AbortSignal,
    sink: ServiceSink,
  ): Promise<Outcome<void, ServiceError>>;
  /** Whether a connection to the address is refused; `false` also if that is not known within 1 s. */
  isRefusing(address: string): Promise<boolean>;
}

const PROBE_TIMEOUT_MS: Milliseconds = 1000;

/** Response headers that belong to one connection or that the instance sets itself. */
const SKIPPED_RESPONSE_HEADERS = new Set([
  'connection',
  'content-length',
  'date',
  'keep-alive',
  'proxy-authenticate',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Creates a client for all plain services. Each call opens a new connection. */
export function createServiceClient(options: ServiceOptions): ServiceClient {
  const localAddress = options.sourceAddress || undefined;
  return {
    isRefusing(address) {
      const opened = Result.wrap<net.Socket, Error>(() =>
        net.connect({ ...splitAddress(address), localAddress }),
      );
      if (opened.err) return Promise.resolve(false);
      const socket = opened.val;
      socket.setTimeout(PROBE_TIMEOUT_MS, () => socket.destroy());
      return new Promise((resolve) => {
        socket.once('connect', () => socket.destroy());
        socket.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code === 'ECONNREFUSED'));
        socket.once('close', () => resolve(false));
      });
    },
    async run(address, call, signal, sink) {
      let isSent = false;
      const opened = Result.wrap<http.ClientRequest, Error>(() =>
        http.request(`http://${address}${call.path}`, {
          method: call.method,
          headers: { ...call.headers, 'content-length': call.body.length },
          agent: new http.Agent({ localAddress }),
          signal,
        }),
      );
      if (opened.err) return Err({ kind: 'failed', ran: 'no', message: opened.val.message });
      const request = opened.val;
      limitLateUpload(request);
      onConnected(request, () => {
        isSent = true;
      });
      try {
        request.setTimeout(options.firstByteTimeout, () => request.destroy(new Error('no answer')));
        const response = await sendRequest(request, call.body);
        request.setTimeout(0);
        return await readAnswer(request, response, call.method, options, sink);
      } catch (error) {
        const ran: RunStatus = isSent ? 'unknown' : 'no';
        return Err({ kind: 'failed', ran, message: (error as Error).message });
      }
    },
  };
}

function sendRequest(request: http.ClientRequest, body: Buffer): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once('response', resolve);
    request.on('error', reject);
    request.once('close', () => reject(new Error('closed without an answer')));
    request.end(body);
  });
}

async function readAnswer(
  request: http.ClientRequest,
  response: http.IncomingMessage,
  method: string,
  { answerLimit, betweenTimeout }: ServiceOptions,
  sink: ServiceSink,
): Promise<Outcome<void, ServiceError>> {
  const status = response.statusCode ?? 0;
  if (!isAnswerStatus(status)) throw new Error(`status ${status}`);
  // A service that answers 503 with this header did not run the call.
  if (status === 503 && response.headers['x-not-run'] === 'true') {
    discardBody(request, response);
    return Err({ kind: 'busy', ran: 'no', message: 'the service is busy' });
  }
  const endsWithConnection = getResponseFraming(response, method) === 'close';
  const isClosedProperly = watchClose(response);
  sink.head({ status, headers: copyHeaders(response.headers), endsWithConnection });
  let size = 0;
  for await (const chunk of readWithinTimeout(response, betweenTimeout)) {
    size += chunk.length;
    if (size > answerLimit) {
      response.destroy();
      const message = `the answer is larger than ${answerLimit} bytes`;
      return Err({ kind: 'too-large', ran: 'unknown', message });
    }
    await sink.bytes(chunk);
  }
  if (endsWithConnection && !(await isClosedProperly())) throw new Error('connection reset');
  return Ok.EMPTY;
}

// Fails if the service sends nothing for the timeout. The time that the reader takes does not count.
async function* readWithinTimeout(
  response: http.IncomingMessage,
  timeout: Milliseconds,
): AsyncGenerator<Buffer> {
  const startTimer = () => setTimeout(() => response.destroy(new Error('silent')), timeout);
  let timer = startTimer();
  try {
    for await (const chunk of response) {
      clearTimeout(timer);
      yield chunk as Buffer;
      timer = startTimer();
    }
  } finally {
    clearTimeout(timer);
  }
}

function copyHeaders(headers: http.IncomingHttpHeaders): Record<string, string> {
  const entries = Object.entries(headers)
    .filter(([name, value]) => value !== undefined && !SKIPPED_RESPONSE_HEADERS.has(name))
    .map(([name, value]): [string, string] => [name, String(value)]);
  return Object.fromEntries(entries);
}
