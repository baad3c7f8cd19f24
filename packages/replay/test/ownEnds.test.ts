import { execFileSync } from 'node:child_process';
import type { RequestListener, ServerResponse } from 'node:http';
import { createSystemClock, sleep } from '@pomeloroad/core';
import { ROOT } from '../src/paths';
import { endTrial, openRaw, renderRequest, startTrial, waitUntil } from './plannedStopHarness';
import type { RawConnection, Trial } from './plannedStopHarness';

const clock = createSystemClock();
const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];
const LAST_CHUNK = '\r\n0\r\n\r\n';
/** Time in which a stop takes effect. */
const STOPPING_MS = 100;
/** How endpoints tell the ends of the streams, which stands in the path. */
const FRAMINGS = ['chunks', 'length', 'close'];
const ROUTES = ['stream', 'single'];
/** Number of the events of a long stream. */
const LONG_COUNT = 60;
/** Time between two events of a long stream. */
const LONG_PAUSE_MS = 5;

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

/** Streams that have begun and wait for their endpoint. */
interface OpenStreams {
  trial: Trial;
  callers: RawConnection[];
  /** Sends the rest of all streams, and that of later ones at once. */
  finish(): void;
}

// Sends events one after another.
const sendSteadily: RequestListener = ({ url = '' }, response) => {
  response.useChunkedEncodingByDefault = url.includes('/chunks');
  response.writeHead(200, { 'Content-Type': 'text/event-stream' });
  let count = 0;
  const send = () => {
    count += 1;
    response.write(`id: ${count}\ndata: a\n\n`);
    if (count === LONG_COUNT) response.end();
    else if (!response.destroyed) setTimeout(send, LONG_PAUSE_MS);
  };
  send();
};

// Begins a stream of each route and framing: on kept connections, with a close, and with one behind it.
async function openStreams(): Promise<OpenStreams> {
  const trial = await startTrial();
  const waiting: ServerResponse[] = [];
  let isFinished = false;
  const handle: RequestListener = ({ url = '' }, response) => {
    response.useChunkedEncodingByDefault = url.includes('/chunks');
    if (url.includes('/length')) response.setHeader('Content-Length', EVENTS.join('').length);
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    response.write(EVENTS[0]);
    if (isFinished) finish(response);
    else waiting.push(response);
  };
  await trial.addEndpoint('e1', handle);
  const targets = ROUTES.flatMap((route) => FRAMINGS.map((framing) => `/${route}/${framing}`));
  const callers = targets.flatMap((target, index) => openCallers(trial, target, index));
  await waitUntil(() => callers.every((caller) => caller.getText().includes(EVENTS[0]!)));
  return {
    trial,
    callers,
    finish() {
      isFinished = true;
      waiting.forEach(finish);
    },
  };
}

function finish(response: ServerResponse): void {
  response.end(EVENTS.slice(1).join(''));
}

function openCallers({ address }: Trial, target: string, index: number): RawConnection[] {
  const kept = renderRequest(target, `kept${index}`);
  const closing = renderRequest(target, `closing${index}`, ['Connection: close']);
  const behind = renderRequest(target, `behind${index}`);
  return [kept, closing, renderRequest(target, `first${index}`) + behind].map((text) =>
    openRaw(address, text),
  );
}

// How many callers were told of more ends than they have got last events.
function countEarly(callers: RawConnection[], lastEvent = EVENTS[2]!): number {
  const count = (caller: RawConnection, part: string) => caller.getText().split(part).length - 1;
  return callers.filter((caller) => count(caller, LAST_CHUNK) > count(caller, lastEvent)).length;
}

test('streams of an instance that is killed do not look complete', async () => {
  const { trial, callers } = await openStreams();
  trial.instance.child.kill('SIGKILL');
  await Promise.all(callers.map(({ closed }) => closed));
  expect(countEarly(callers)).toBe(0);
});

test('streams of an instance that is killed while it stops do not look complete', async () => {
  const { trial, callers } = await openStreams();
  trial.instance.child.kill('SIGTERM');
  await sleep(clock, STOPPING_MS);
  trial.instance.child.kill('SIGKILL');
  await Promise.all(callers.map(({ closed }) => closed));
  expect(countEarly(callers)).toBe(0);
});

test('streams that outlast the stop of their instance do not look complete', async () => {
  const { trial, callers } = await openStreams();
  trial.instance.child.kill('SIGTERM');
  await trial.instance.exited;
  await Promise.all(callers.map(({ closed }) => closed));
  expect(countEarly(callers)).toBe(0);
});

test('streams that end while their instance stops are whole', async () => {
  const { trial, callers, finish: finishAll } = await openStreams();
  trial.instance.child.kill('SIGTERM');
  await sleep(clock, STOPPING_MS);
  finishAll();
  await Promise.all(callers.map(({ closed }) => closed));
  expect(countEarly(callers)).toBe(0);
  expect(callers.filter((caller) => !caller.getText().includes(EVENTS[2]!))).toEqual([]);
});

test('streams whose callers send no more when their instance stops do not look complete early', async () => {
  const { trial, callers, finish: finishAll } = await openStreams();
  callers.forEach(({ socket }) => socket.end());
  trial.instance.child.kill('SIGTERM');
  await sleep(clock, STOPPING_MS);
  finishAll();
  await Promise.all(callers.map(({ closed }) => closed));
  expect(countEarly(callers)).toBe(0);
});

test.each([1, 10, 30, 55])(
  'streams of an instance that is killed after event %i of 60 do not look complete',
  async (last) => {
    const trial = await startTrial();
    await trial.addEndpoint('e1', sendSteadily);
    const targets = ROUTES.flatMap((route) => [`/${route}/chunks`, `/${route}/close`]);
    const callers = targets.flatMap((target, index) => openCallers(trial, target, index));
    await waitUntil(() => callers.some((caller) => caller.getText().includes(`id: ${last}\n`)));
    trial.instance.child.kill('SIGKILL');
    await Promise.all(callers.map(({ closed }) => closed));
    expect(countEarly(callers, `id: ${LONG_COUNT}\n`)).toBe(0);
  },
);
