import http from 'node:http';
import { createRandom, createSystemClock, hashText } from '@pomeloroad/core';
import { createFaultInjectingHandler } from './faults';

/** A call as `GET /standin/record` of the plain service reports it. */
export interface CallRecord {
  method: string;
  path: string;
  /** Hash of the request body. */
  body: string;
  /** Value of the idempotency key header, or an empty string. */
  key: string;
  at: string;
}

/** Creates the HTTP server of a plain service stand-in, which records every call. */
export function createPlainService(seed: number): http.Server {
  const clock = createSystemClock();
  const calls: CallRecord[] = [];
  const handle = createFaultInjectingHandler(createRandom(seed), async (request, url, body) => {
    if (url.pathname === '/standin/record') return { status: 200, body: { calls } };
    const record: CallRecord = {
      method: request.method ?? '',
      path: url.pathname,
      body: hashText(body),
      key: String(request.headers['idempotency-key'] ?? ''),
      at: clock.now().toISOString(),
    };
    calls.push(record);
    return { status: 200, body: { path: record.path, received: record.body } };
  });
  return http.createServer({ keepAliveTimeout: 60_000 }, handle);
}
