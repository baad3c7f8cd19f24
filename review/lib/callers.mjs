// Callers of the system, as PROTOCOL.md describes them.
/* eslint-disable import-x/prefer-default-export -- off in the house rules of TypeScript too */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import http from 'node:http';
import { randomBytes } from 'node:crypto';

/** Creates a caller that sends requests and resolves to what it received. */
export function createCaller({ host, record }) {
  const agent = new http.Agent({ keepAlive: true });

  function send({ to, method = 'POST', path, headers = {}, body, limitMs }) {
    const id = randomBytes(8).toString('hex');
    const result = { id, status: undefined, events: 0, body: [], isWhole: false, stamp: undefined };
    const sentAt = performance.now();
    record({ what: 'sent', id, to: `${to.host}:${to.port}`, path });
    return new Promise((resolve) => {
      let rest = '';
      let isDone = false;
      let request;
      let timer;
      function finish(how) {
        if (isDone) return;
        isDone = true;
        clearTimeout(timer);
        const { status, events, isWhole } = result;
        result.isKept = request.reusedSocket;
        const tookMs = Math.round(performance.now() - sentAt);
        record({
          what: 'answered',
          id,
          status,
          events,
          isWhole,
          how,
          tookMs,
          isKept: result.isKept,
        });
        resolve({ ...result, body: Buffer.concat(result.body), how, tookMs });
      }
      request = http.request(
        {
          ...{ host: to.host, port: to.port, method, path, agent },
          headers: {
            Host: host,
            'X-Attempt-Id': id,
            'X-Deadline-Ms': `${limitMs}`,
            ...(body === undefined ? {} : { 'Content-Length': body.length }),
            ...headers,
          },
        },
        (response) => {
          result.status = response.statusCode;
          result.headers = response.headers;
          result.stamp = response.headers['x-server-stamp'];
          const isStream = `${response.headers['content-type']}`.startsWith('text/event-stream');
          response.on('data', (chunk) => {
            if (!isStream) result.body.push(chunk);
            rest += isStream ? chunk.toString('latin1') : '';
            const blocks = rest.split('\n\n');
            rest = blocks.pop() ?? '';
            result.events += blocks.filter((block) => /^data:/m.test(block)).length;
          });
          response.on('end', () => {
            result.isWhole = response.complete;
            finish('ended');
          });
          response.on('error', () => finish('broken off'));
          response.on('close', () => finish('closed'));
        },
      );
      timer = setTimeout(() => {
        finish('time limit');
        request.destroy();
      }, limitMs);
      request.on('error', (error) => finish(error.code ?? error.message));
      request.end(body);
    });
  }

  return { send, stop: () => agent.destroy() };
}
