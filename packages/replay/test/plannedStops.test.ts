import { execFileSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createSystemClock, Diagnostics, sleep } from '@pomeloroad/core';
import { WireHeader } from '@pomeloroad/standins';
import { ROOT } from '../src/paths';
import {
  CONFIGURATION,
  createRoute,
  endTrial,
  openRaw,
  renderRequest,
  startTrial,
  waitUntil,
} from './plannedStopHarness';

const clock = createSystemClock();
const GRACE_MS = 8000;
const STORE_CUT_DELAY_MS = 700;
/** Ends when a process that has nothing else to do would exit at once. */
const LATE_WORK_MS = 3000;
/** Shorter than the time for which the caller of a closed connection may still send. */
const UNREAD_MS = 500;
/** Time in which requests begin to wait. */
const WAITING_MS = 100;

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

// Returns the answer to a request on a connection of its own.
async function ask(address: string, target: string, headers: string[] = []): Promise<string> {
  const caller = openRaw(address, renderRequest(target, 'r1', ['Connection: close', ...headers]));
  await caller.closed;
  return caller.getText();
}

// Asks for tokens, one request after another on new connections, until none is accepted.
async function keepAsking(address: string): Promise<void> {
  while ((await ask(address, '/once/a', [`${WireHeader.tokenBounds}: 10,10`])) !== '');
}

test('an instance whose store falls silent after its stop signal exits within the grace period', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', (_request, response) => response.end('answer'));
  trial.proxy.setRules([{ from: '*', to: 'store', effect: { kind: 'delay', delay: 20 } }]);
  const asking = Array.from({ length: 4 }, () => keepAsking(trial.address));
  await waitUntil(() => trial.received.length > 50);
  const startedAt = clock.elapsed();
  trial.instance.child.kill('SIGTERM');
  await sleep(clock, STORE_CUT_DELAY_MS);
  trial.proxy.setRules([{ from: '*', to: 'store', effect: { kind: 'blackhole' } }]);
  await Promise.race([trial.instance.exited, sleep(clock, GRACE_MS)]);
  const took = clock.elapsed() - startedAt;
  trial.instance.child.kill('SIGKILL');
  await Promise.all(asking);
  expect(took).toBeLessThan(GRACE_MS);
});

// Answers after the delay that the path names.
function answerLate({ url }: IncomingMessage, response: ServerResponse): void {
  const delay = Number(/\d+$/.exec(url ?? ''));
  setTimeout(() => response.end(`answer to ${url}`), delay);
}

test('a stop signal does not lose the request that a caller sent behind one that runs', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', answerLate);
  const first = renderRequest('/once/300');
  const caller = openRaw(trial.address, first + renderRequest('/once/600'));
  await waitUntil(() => trial.received.length > 0);
  trial.instance.child.kill('SIGTERM');
  await caller.closed;
  expect(caller.getText()).toContain('answer to /once/300');
  expect(caller.getText()).toContain('answer to /once/600');
});

test('a request sent behind one that runs in a draining instance is answered', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', answerLate);
  trial.instance.child.kill('SIGTERM');
  await waitUntil(() => trial.hasLogged(Diagnostics.instanceDraining.text));
  const caller = openRaw(trial.address, renderRequest('/once/300'));
  await waitUntil(() => trial.received.length > 0);
  caller.socket.write(renderRequest('/once/100'));
  await caller.closed;
  expect(caller.getText()).toContain('answer to /once/300');
  expect(caller.getText()).toContain('answer to /once/100');
});

test('a request behind an answer that announces the close of its connection is not passed on', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('id: 1\ndata: a\n\n');
    setTimeout(() => response.end('id: 2\ndata: b\n\n'), 300);
  });
  trial.instance.child.kill('SIGTERM');
  await waitUntil(() => trial.hasLogged(Diagnostics.instanceDraining.text));
  const caller = openRaw(trial.address, renderRequest('/single/a'));
  await waitUntil(() => caller.getText().includes('data: a'));
  expect(caller.getText().toLowerCase()).toContain('connection: close');
  caller.socket.write(renderRequest('/once/100'));
  await caller.closed;
  expect(caller.getText()).toContain('data: b');
  expect(trial.received).toEqual(['/single/a']);
});

test('a request behind an answer that is cut is not passed on', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', (_request, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.write('id: 1\ndata: a\n\n');
    setTimeout(() => response.destroy(), 300);
  });
  const first = renderRequest('/single/a');
  const caller = openRaw(trial.address, first + renderRequest('/once/100'));
  await caller.closed;
  expect(caller.getText()).toContain('data: a');
  expect(trial.received).toEqual(['/single/a']);
});

test('a request whose time passes behind one that runs is refused and not passed on', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', answerLate);
  const caller = openRaw(trial.address, renderRequest('/once/800') + renderRequest('/brief/0'));
  await waitUntil(() => caller.getText().includes('HTTP/1.1 503'));
  caller.socket.destroy();
  expect(caller.getText()).toMatch(/answer to \/once\/800HTTP\/1.1 503 /);
  expect(trial.received).toEqual(['/once/800']);
});

test('requests that run are answered whole although settings and configuration drop what they use', async () => {
  const trial = await startTrial();
  await trial.addEndpoint('e1', answerLate);
  const callers = ['/once/1500', '/often/1500'].map((target) =>
    openRaw(trial.address, renderRequest(target)),
  );
  await waitUntil(() => trial.received.length === 2);
  writeFileSync(trial.settingsPath, '');
  trial.instance.child.kill('SIGHUP');
  await trial.put('op', 'config', { version: 2, routes: [], services: [], tenants: [] });
  await waitUntil(async () => (await ask(trial.address, '/once/0')).includes('HTTP/1.1 404'));
  await waitUntil(() => callers.every((caller) => caller.getText().includes('answer to ')));
  callers.forEach(({ socket }) => socket.destroy());
  callers.forEach((caller) => expect(caller.getText()).toContain('HTTP/1.1 200'));
});

// Guards against requests that a stop loses while they wait for an endpoint that wants a pause.
test.each(['answers', 'is silent'])(
  'requests that wait at a stop signal are answered while the store %s',
  async (store) => {
    const routes = [createRoute('once', 'non_idempotent', { slo_ms: 8000 })];
    const trial = await startTrial({ ...CONFIGURATION, routes });
    let isPausing = true;
    const ran: string[] = [];
    await trial.addEndpoint('e1', (request, response) => {
      if (isPausing) {
        isPausing = false;
        response.writeHead(503, { [WireHeader.notRun]: '1', 'retry-after': '1' }).end();
        return;
      }
      ran.push(`${request.url}`);
      answerLate(request, response);
    });
    const declined = openRaw(trial.address, renderRequest('/once/0'));
    await waitUntil(() => !isPausing);
    const targets = ['/once/10', '/once/200', '/once/400', '/once/600'];
    const callers = targets.map((target) => openRaw(trial.address, renderRequest(target)));
    await sleep(clock, WAITING_MS);
    expect(ran).toEqual([]);
    trial.instance.child.kill('SIGTERM');
    if (store === 'is silent') {
      trial.proxy.setRules([{ from: '*', to: 'store', effect: { kind: 'blackhole' } }]);
    }
    await Promise.all([declined, ...callers].map((caller) => caller.closed));
    callers.forEach((caller, index) =>
      expect(caller.getText()).toContain(`answer to ${targets[index]}`),
    );
    expect(ran.filter((path) => path !== '/once/0').sort()).toEqual(targets);
  },
);

// Guards against a reset by the exit, which takes the end of an answer that its caller has not read yet.
test('an answer is whole at a caller that goes on sending while the process exits', async () => {
  const trial = await startTrial();
  const body = 'x'.repeat(1_000_000);
  let isAnswered = false;
  await trial.addEndpoint('e1', (_request, response) => {
    setTimeout(() => {
      isAnswered = true;
      response.end(body);
    }, LATE_WORK_MS);
  });
  const caller = openRaw(trial.address, renderRequest('/once/a'));
  await waitUntil(() => trial.received.length > 0);
  trial.instance.child.kill('SIGTERM');
  caller.socket.pause();
  await waitUntil(() => isAnswered);
  const sending = setInterval(() => caller.socket.write('x'), 1);
  await sleep(clock, UNREAD_MS);
  clearInterval(sending);
  caller.socket.resume();
  await caller.closed;
  expect(caller.getText().length).toBeGreaterThan(body.length);
});
