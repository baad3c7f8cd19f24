import {
  callHttp,
  createManualClock,
  createRandom,
  createSystemClock,
  listen,
} from '@pomeloroad/core';
import { createModelEngine, generateAnswer } from '../src';
import { createPrefixCache } from '../src/prefixCache';
import { createStreamScheduler } from '../src/streams';

const speed = { slots: 2, step: 10, prefillRate: 1000, resumeWindow: 1000 };
const options = { cacheBlocks: 8, loadLag: 10, eventLag: 0, seed: 1, checksFencing: true };
const messages = [{ role: 'user', content: 'plan a route' }];

function setUp() {
  const clock = createManualClock();
  const cacheOptions = { capacityBlocks: 2, eventLimit: 4, eventLag: 100 };
  const cache = createPrefixCache(clock, cacheOptions);
  return { clock, cache, streams: createStreamScheduler(clock, speed, cache) };
}

test('a free slot goes to the queued stream with the highest priority', async () => {
  const { clock, streams } = setUp();
  ['a', 'b', 'low', 'high'].forEach((id) =>
    streams.start(id, [{ role: 'user', content: id }], 50, id === 'high' ? 2 : 1),
  );
  await clock.advance(20);
  expect([streams.count('running'), streams.count('queued')]).toEqual([2, 2]);
  streams.stop('a');
  await clock.advance(20);
  expect(streams.get('high')?.state()).toBe('running');
  expect(streams.get('low')?.state()).toBe('queued');
});

test('a stopped unknown stream never starts', () => {
  const { streams } = setUp();
  expect(streams.stop('s')).toBeUndefined();
  expect(streams.start('s', messages, 5, 1)).toBeUndefined();
});

test('a stream without a reader is cancelled after the resume window', async () => {
  const { clock, streams } = setUp();
  const stream = streams.start('s', messages, 5000, 1);
  stream?.attachReader();
  stream?.detachReader();
  await clock.advance(2000);
  expect(stream?.state()).toBe('cancelled');
});

test('a full cache evicts a block, and events are published after the lag', async () => {
  const { clock, cache } = setUp();
  const prompt = 'x'.repeat(600);
  expect([cache.lookUpAndInsert(prompt), cache.lookUpAndInsert(prompt)]).toEqual([0, 512]);
  expect(cache.events(0)).toEqual([]);
  cache.lookUpAndInsert('y'.repeat(300));
  await clock.advance(100);
  expect(cache.events(0).map((event) => event.kind)).toEqual([
    'stored',
    'stored',
    'stored',
    'evicted',
  ]);
});

test('an answer depends only on its prompt and token limit', () => {
  expect(generateAnswer(messages, 9)).toEqual(generateAnswer(messages, 9));
  const random = createRandom(1);
  const limit = random.integer(1, 20);
  expect(generateAnswer(messages, limit).tokens.length).toBeLessThanOrEqual(limit);
});

test('an engine injects faults and refuses outdated fencing numbers', async () => {
  const server = createModelEngine(createSystemClock(), { ...speed, ...options });
  const url = `http://${await listen(server, '127.0.0.1:0')}`;
  const send = async (method: string, path: string, body: unknown) => {
    const text = JSON.stringify(body);
    const answer = await callHttp({ method, url: `${url}${path}`, body: text, timeout: 5000 });
    return answer.ok ? answer.val.status : answer.val.kind;
  };
  const order = (fencing: number) => send('POST', '/v1/orders', { fencing, order: 'load' });
  expect([await order(2), await order(1), await order(2)]).toEqual([200, 409, 200]);
  await send('PUT', '/standin/faults', { isDown: true });
  expect(await send('GET', '/v1/load', undefined)).toBe(503);
  await send('PUT', '/standin/faults', { isDown: false, lostAnswerShare: 1 });
  const chat = { model: 'm', messages, max_tokens: 2 };
  expect(await send('POST', '/v1/chat/completions', chat)).toBe('unavailable');
  server.close();
  server.closeAllConnections();
});
