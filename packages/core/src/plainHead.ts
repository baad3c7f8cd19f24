import type { IncomingMessage } from 'node:http';

/** Names and values of headers from which on Node drops the rest of a head. */
const RAW_HEADERS_MAX = 2000;

/**
 * Returns the head of the request as it came, without the header that asks for another protocol; or
 * `undefined` if the request has so many headers that some may be missing.
 */
export function renderPlainHead(message: IncomingMessage): Buffer | undefined {
  const { method, url, httpVersion, rawHeaders } = message;
  if (rawHeaders.length >= RAW_HEADERS_MAX) return undefined;
  const lines = [`${method} ${url} HTTP/${httpVersion}`];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (name.toLowerCase() !== 'upgrade') lines.push(`${name}: ${rawHeaders[index + 1]}`);
  }
  return Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1');
}
