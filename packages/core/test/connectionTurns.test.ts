import http from 'node:http';
import type { ServerResponse } from 'node:http';
import net from 'node:net';
import { createConnectionTurns, listen, splitAddress } from '../src';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

test('a request whose turn is asked for as the answer before it ends is not dropped', async () => {
  const turns = createConnectionTurns();
  const responses: ServerResponse[] = [];
  const server = http.createServer((_, response) => {
    turns.add(response);
    responses.push(response);
  });
  const address = await listen(server, '127.0.0.1:0');
  const caller = net.connect(splitAddress(address));
  const hasTurn = await new Promise<boolean>((resolve) => {
    server.on('request', async () => {
      const [first, second] = responses;
      if (!first || !second) return;
      await Promise.resolve();
      first.end('first');
      resolve(turns.wait(second));
    });
    caller.write(REQUEST + REQUEST);
  });
  caller.destroy();
  server.close();
  expect(hasTurn).toBe(true);
});
