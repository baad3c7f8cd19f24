import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Connection } from './connect';

/**
 * How a response states its end: by its length, its last chunk, its head, or not at all, if it ends
 * with its connection. Only in the last case can a broken response look complete.
 */
export type ResponseFraming = 'length' | 'chunked' | 'no body' | 'close';

/** Statuses of answers; a lower one is that of an interim response, or none. */
const STATUS_MIN = 200;
const STATUS_MAX = 599;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const LAST_CODING_CHUNKED = /(^|[\s,])chunked\s*$/i;

/** Whether a response with the status is an answer, which can be passed on. */
export function isAnswerStatus(status: number): boolean {
  return status >= STATUS_MIN && status <= STATUS_MAX;
}

/** Returns how a received response to a request of `method` states its end. */
export function getResponseFraming(
  { headers, statusCode }: IncomingMessage,
  method: string,
): ResponseFraming {
  const hasNoBody = statusCode === STATUS_NO_CONTENT || statusCode === STATUS_NOT_MODIFIED;
  if (method === 'HEAD' || hasNoBody) return 'no body';
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) return LAST_CODING_CHUNKED.test(coding) ? 'chunked' : 'close';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Returns a function whose promise tells, once a connection has ended, such as that of a response,
 * whether the connection was closed rather than reset. Node reports an end after a reset too. An end
 * that comes while the request is still being written is none in order: a process that dies under an
 * upload ends its connection so, if it has read what had come. Must be called when the response's head
 * arrives.
 */
export function watchClose({ socket }: { socket: Connection }): () => Promise<boolean> {
  const closed = new Promise<boolean>((resolve) => {
    let hadRemoteAddress = false;
    let hadTakenAll = false;
    // A reset that arrives together with data is reported as an end, but without a remote address.
    socket.prependOnceListener('end', () => {
      hadRemoteAddress = socket.remoteAddress !== undefined;
      hadTakenAll = socket.writableLength === 0;
    });
    socket.once('close', (hadError?: boolean) =>
      resolve(hadRemoteAddress && hadTakenAll && !hadError),
    );
  });
  return () => closed;
}

/**
 * Makes a response state no end, as one that is passed on and stated none itself; it ends with its
 * connection. Must be called before the head is written.
 */
export function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}
