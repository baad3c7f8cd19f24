import http from 'node:http';
import net from 'node:net';
import { createSystemClock, sleep, splitAddress } from '@pomeloroad/core';
import { ACCOUNT_KEY, startHarness } from './harness';
import type { Harness } from './harness';

let harness: Harness | undefined;

afterEach(async () => {
  await harness?.close();
  harness = undefined;
});

function renderCall(target: string): string {
  return `GET /v1/services/boards/${target} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${ACCOUNT_KEY}\r\n\r\n`;
}

test('a call behind another one on its connection is answered although the instance drains', async () => {
  const service = http.createServer(async ({ url }, response) => {
    await sleep(createSystemClock(), 200);
    response.end(`answer to ${url}`);
  });
  harness = await startHarness(1, { 'drain-notice': '1000' }, { service });
  await harness.callAsOperator('POST', '/v1/topups', {
    budget: 'dispatch/routes',
    id: 'a',
    tokens: 1e6,
  });
  const drained = harness.instance.drain();
  const socket = net.connect(splitAddress(harness.instance.callersAddress));
  await sleep(createSystemClock(), 100);
  socket.write(renderCall('first') + renderCall('second'));
  let text = '';
  socket.on('data', (data: Buffer) => {
    text += data.toString();
  });
  await drained;
  expect(text).toContain('answer to /first');
  expect(text).toContain('answer to /second');
});
