import http from 'node:http';
import { Err, Ok, Result } from 'ts-results';
import { z } from 'zod';
import { callHttp, parseJson } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import { readStream } from './engineStream';
import type { EngineCall, EngineClient, EngineError } from './engineTypes';

const STREAM_HEADER = 'x-stream-id';
/** Shorter than the idle timeout after which middleboxes drop a connection. */
const IDLE_SOCKET_TIMEOUT_MS = 4000;
const CONTROL_CALL_TIMEOUT_MS = 1000;

const StoppedStream = z.object({
  state: z.enum(['finished', 'cancelled', 'never']),
  prompt_tokens: z.number(),
  completion_tokens: z.number(),
});
const OrderReply = z.object({ fencing: z.number() });
const Load = z.object({
  running: z.number(),
  queued: z.number(),
  state: z.enum(['live', 'leaving']),
});

/** Options of connections to engines. */
export interface EngineClientOptions {
  /** Local IP address of connections; if it is empty, the system chooses one. */
  sourceAddress: string;
}

/** Creates a client for all engines. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
  const localAddress = options.sourceAddress || undefined;
  const agent = new http.Agent({ keepAlive: true, timeout: IDLE_SOCKET_TIMEOUT_MS, localAddress });

  function openRequest(
    call: EngineCall,
    method: string,
    path: string,
    headers: http.OutgoingHttpHeaders,
  ) {
    return Result.wrap<http.ClientRequest, Error>(() =>
      http.request(`http://${call.address}${path}`, {
        method,
        headers,
        agent: call.hasOwnConnection ? new http.Agent({ localAddress }) : agent,
        signal: call.signal,
      }),
    );
  }

  async function callControl<T>(
    method: string,
    address: string,
    path: string,
    schema: z.ZodType<T>,
    extra: { body?: string; agent?: http.Agent } = {},
  ): Promise<Outcome<T, EngineError>> {
    const url = `http://${address}${path}`;
    const timeout = CONTROL_CALL_TIMEOUT_MS;
    const answer = await callHttp({ method, url, timeout, agent, ...extra });
    if (answer.err)
      return Err({ kind: 'failed', ran: answer.val.ran, message: answer.val.message });
    const parsed = schema.safeParse(parseJson(answer.val.body.toString()));
    if (parsed.success) return Ok(parsed.data);
    return Err({ kind: 'failed', ran: 'unknown', message: 'unexpected answer of the engine' });
  }

  return {
    run(call, sink) {
      const body = JSON.stringify(call.body);
      const request = openRequest(call, 'POST', '/v1/chat/completions', {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        [STREAM_HEADER]: call.stream,
        'x-priority': call.priority,
      });
      return readStream(request, body, false, sink);
    },
    resume(call, after, sink) {
      const headers = { 'last-event-id': String(after) };
      const request = openRequest(call, 'GET', `/v1/streams/${call.stream}`, headers);
      return readStream(request, undefined, true, sink);
    },
    async stop(address, stream) {
      // Follows a failure, after which connections of the pool may be dead too.
      const own = { agent: new http.Agent({ localAddress }) };
      const path = `/v1/streams/${stream}`;
      const stopped = await callControl('DELETE', address, path, StoppedStream, own);
      return stopped.map((value) => ({
        state: value.state,
        promptTokens: value.prompt_tokens,
        completionTokens: value.completion_tokens,
      }));
    },
    async order(address, fencing, order) {
      const body = JSON.stringify({ fencing, order });
      const taken = await callControl('POST', address, '/v1/orders', OrderReply, { body });
      return taken.map(() => undefined);
    },
    getLoad: (address) => callControl('GET', address, '/v1/load', Load),
  };
}
