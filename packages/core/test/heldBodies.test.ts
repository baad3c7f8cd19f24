import http from 'node:http';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { openPlainCaller } from '@pomeloroad/standins';
import { listen, readRequestBody, serveInOrder } from '../src';

const CALLERS = 40;
const BODY_BYTES = 1_000_000;
/** Memory that may be held for each byte of a body. */
const HELD_MAX_RATIO = 1.5;

// Returns the bytes of buffers that are still in use.
function measureBuffers(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().arrayBuffers;
}

// Guards against memory over the machines' limit while many requests wait for their answers.
test('a body that was read is held once while its request waits', async () => {
  const server = http.createServer();
  const held: Buffer[] = [];
  const allRead = new Promise<void>((resolve) => {
    serveInOrder(server, async (message) => {
      held.push((await readRequestBody(message)).unwrap());
      if (held.length === CALLERS) resolve();
    });
  });
  const address = await listen(server, '127.0.0.1:0');
  const body = Buffer.alloc(BODY_BYTES);
  const before = measureBuffers();
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`;
  for (let index = 0; index < CALLERS; index += 1) {
    const { socket } = openPlainCaller(address);
    socket.write(head);
    socket.write(body);
  }
  await allRead;
  const bytes = measureBuffers() - before;
  server.closeAllConnections();
  server.close();
  expect(bytes / (CALLERS * BODY_BYTES)).toBeLessThan(HELD_MAX_RATIO);
});
