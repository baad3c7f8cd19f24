import http from 'node:http';
import https from 'node:https';
import type net from 'node:net';
import { Err, Ok, Result } from 'ts-results';
import { getResponseFraming } from './framing';
import type { Milliseconds, Outcome, RunStatus } from './types';

/** Size and time of the rest of an unused response, within which its connection is kept. */
const UNUSED_BODY_MAX_BYTES = 65_536;
const UNUSED_BODY_TIMEOUT_MS: Milliseconds = 250;

/** Largest body that a call reads. The largest known is a table that is read as a whole. */
const CALL_BODY_MAX_BYTES = 67_108_864;
/** Bytes that the body must bring for each timeout after the first ones: a packet. */
const CALL_PROGRESS_MIN_BYTES = 1024;
/** Timeouts before a body that keeps arriving may be a trickle. */
const CALL_PROGRESS_GRACE_TIMEOUTS = 10;

/** An HTTP request whose response is read in full. */
export interface HttpCall {
  method: string;
  url: string;
  headers?: http.OutgoingHttpHeaders;
  body?: string | Buffer;
  /** Longest time until the head of the response, and then between two parts of its body. */
  timeout: Milliseconds;
  /** Longest time for the whole call; unlimited if left out. */
  timeLimit?: Milliseconds;
  /** Largest body that is read; that of a large table if left out. */
  maxBytes?: number;
  agent?: http.Agent;
  /**
   * Whether each whole body is a JSON object. Its closing brace tells its end, so the response needs
   * neither a length nor chunks.
   */
  hasJsonObject?: boolean;
  /** PEM certificate of the authority that signed the server's certificate. */
  authority?: string;
}

/** A complete HTTP response. */
export interface HttpAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
}

/** A call without a complete response. `ran` is `no` only if nothing was sent. */
export interface HttpFailure {
  kind: 'unavailable';
  ran: RunStatus;
  /** Why the call failed, in which phase, and how much of the body had arrived. */
  message: string;
}

type CallPhase = 'waiting for a connection' | 'connecting' | 'waiting for the head' | 'reading';

/**
 * Sends the request and reads the whole response. Never rejects: any error is an `HttpFailure`. So is
 * a response that states neither a length nor chunks, unless its content tells that it is whole.
 */
export function callHttp(call: HttpCall): Promise<Outcome<HttpAnswer, HttpFailure>> {
  return new Promise((resolve) => {
    let phase: CallPhase = 'waiting for a connection';
    let received = 0;
    let headAt: Milliseconds = 0;
    const fail = (reason: string) => {
      const isSent = phase === 'waiting for the head' || phase === 'reading';
      const message = `${reason} while ${phase}, ${received} bytes received`;
      resolve(Err({ kind: 'unavailable', ran: isSent ? 'unknown' : 'no', message }));
    };
    const created = Result.wrap<http.ClientRequest, Error>(() => createRequest(call));
    if (created.err) {
      fail(created.val.message);
      return;
    }
    const request = created.val;
    outlastErrors(request);
    request.on('response', (response) => {
      phase = 'reading';
      headAt = performance.now();
      const isUnframed = getResponseFraming(response, call.method) === 'close';
      if (isUnframed && call.hasJsonObject !== true) {
        request.destroy(new Error('the answer states no length'));
        return;
      }
      const countBytes = (bytes: number) => {
        received += bytes;
        const timeouts = (performance.now() - headAt) / call.timeout;
        const least = (timeouts - CALL_PROGRESS_GRACE_TIMEOUTS) * CALL_PROGRESS_MIN_BYTES;
        if (received < least) request.destroy(new Error('trickle'));
        // A part may be read after the connection has closed; the timer must not start again then.
        if (!request.destroyed) timer.refresh();
      };
      readBody(response, call.maxBytes ?? CALL_BODY_MAX_BYTES, countBytes).then(
        (body) => {
          const { statusCode: status = 0, headers } = response;
          if (isUnframed && !isJsonObject(body)) fail('the answer is not a whole JSON object');
          else resolve(Ok({ status, headers, body }));
        },
        (reason: Error) => fail(reason.message),
      );
    });
    const timer = setTimeout(() => request.destroy(new Error('timeout')), call.timeout);
    const limit = startLimit(request, call.timeLimit);
    request.once('socket', () => {
      phase = 'connecting';
    });
    onConnected(request, () => {
      phase = 'waiting for the head';
    });
    request.on('error', (error) => fail(error.message));
    request.on('close', () => {
      clearTimeout(timer);
      clearTimeout(limit);
      // Such as after an answer 101, which brings neither a response nor an error.
      if (phase !== 'reading') fail('closed without an answer');
    });
    request.end(call.body);
  });
}

function startLimit(
  request: http.ClientRequest,
  timeLimit?: Milliseconds,
): NodeJS.Timeout | undefined {
  if (timeLimit === undefined) return undefined;
  return setTimeout(() => request.destroy(new Error('time limit')), timeLimit);
}

/** Calls back when the request's socket is connected. Before that, nothing was sent. */
export function onConnected(request: http.ClientRequest, callback: () => void): void {
  request.once('socket', (socket) => {
    if (socket.connecting) socket.once('connect', callback);
    else callback();
  });
}

/**
 * Gives the request's socket a listener for errors that outlasts the request. Node takes its own away when
 * the request is written, or when that fails, as it may behind a whole answer.
 */
export function outlastErrors(request: http.ClientRequest): void {
  request.once('socket', (socket) => {
    if (!socket.listeners('error').includes(ignoreError)) socket.on('error', ignoreError);
  });
}

function ignoreError(): void {
  // The socket closes, which its agent and its request are told.
}

// No proper prefix of a JSON object is one.
function isJsonObject(body: Buffer): boolean {
  try {
    const value: unknown = JSON.parse(body.toString());
    return typeof value === 'object' && value !== null && !Array.isArray(value);
  } catch {
    return false;
  }
}

// Throws if the address or a header can't be used.
function createRequest({ url, method, headers, agent, authority }: HttpCall): http.ClientRequest {
  if (url.startsWith('https:'))
    return https.request(url, { method, headers, agent, ca: authority });
  return http.request(url, { method, headers, agent });
}

/**
 * Reads a message's body. Rejects if the message is cut off or its body exceeds `limit` bytes.
 * `onProgress` receives the size of each chunk.
 */
export async function readBody(
  message: http.IncomingMessage,
  limit = Infinity,
  onProgress: (bytes: number) => void = () => undefined,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    onProgress((chunk as Buffer).length);
    if (size > limit) throw new RangeError(`body is larger than ${limit} bytes`);
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Sends the body as a complete JSON response. */
export function writeJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  const text = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': text.length,
    ...headers,
  });
  response.end(text);
}

/**
 * Starts listening on `ip:port`; port 0 takes a free one. Resolves to the bound address. Rejects if
 * it can't be bound.
 */
export function listen(server: net.Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      const bound = server.address();
      const boundPort = typeof bound === 'object' && bound ? bound.port : port;
      resolve(`${host}:${boundPort}`);
    });
  });
}

/** Splits `ip:port` or `[ip]:port` into the host, without brackets, and the port. */
export function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

/**
 * Drops the body of a response that is not used. A short one is read, so that its connection can be
 * used again; that of a longer one is closed.
 */
export function discardBody(request: http.ClientRequest, response: http.IncomingMessage): void {
  let size = 0;
  const timer = setTimeout(() => request.destroy(), UNUSED_BODY_TIMEOUT_MS);
  request.once('close', () => clearTimeout(timer));
  response.on('error', () => undefined);
  response.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > UNUSED_BODY_MAX_BYTES) request.destroy();
  });
}
