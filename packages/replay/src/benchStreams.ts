import http from 'node:http';
import { createParser } from 'eventsource-parser';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { getSecret } from './deployments';

/** The account that pays for the streams. */
export const BENCH_ACCOUNT = 'bench';
/** The model that answers. */
export const BENCH_MODEL = 'planner';

/** Times of one stream. */
export interface StreamTimes {
  /** Time from the request to the first token. */
  first: Milliseconds;
  /** Average time between its tokens. */
  between: Milliseconds;
  tokens: number;
  isWhole: boolean;
}

/** Keeps the given number of streams open until the time is up, starting a new one as one ends. */
export async function runClosedLoop(
  clock: Clock,
  time: Milliseconds,
  concurrency: number,
  start: () => Promise<StreamTimes>,
): Promise<StreamTimes[]> {
  const endAt = clock.elapsed() + time;
  const results: StreamTimes[] = [];
  const runLoop = async () => {
    while (clock.elapsed() < endAt) results.push(await start());
  };
  await Promise.all(Array.from({ length: concurrency }, runLoop));
  return results;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });
let prompts = 0;

/** Streams an answer of some tokens from the address of an instance or an engine. */
export function runStream(clock: Clock, url: string, maxTokens: number): Promise<StreamTimes> {
  prompts += 1;
  const messages = [{ role: 'user', content: `[bench ${prompts}] Plan a route.` }];
  const content = { model: BENCH_MODEL, messages, max_tokens: maxTokens, stream: true };
  const body = JSON.stringify(content);
  const startedAt = clock.elapsed();
  const times: StreamTimes = { first: 0, between: 0, tokens: 0, isWhole: false };
  return new Promise((resolve) => {
    const finish = () => resolve(times);
    const request = http.request(`${url}/v1/chat/completions`, {
      method: 'POST',
      agent,
      headers: {
        authorization: `Bearer ${getSecret(BENCH_ACCOUNT)}`,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
    });
    request.on('error', finish);
    request.on('response', (response) => {
      response.setEncoding('utf8');
      const parser = createParser({
        onEvent({ data }) {
          if (data === '[DONE]') times.isWhole = true;
          else if (data.includes('"content"')) recordToken(clock, startedAt, times);
        },
      });
      response.on('data', (text: string) => parser.feed(text));
      response.on('end', finish);
      response.on('error', finish);
    });
    request.end(body);
  });
}

function recordToken(clock: Clock, startedAt: Milliseconds, times: StreamTimes): void {
  const updated = times;
  const passed = clock.elapsed() - startedAt;
  if (times.tokens === 0) updated.first = passed;
  else updated.between = (passed - times.first) / times.tokens;
  updated.tokens += 1;
}
