import { execFileSync } from 'node:child_process';
import type { RequestListener } from 'node:http';
import { createSystemClock, Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
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
const LIMIT_MS: Milliseconds = 12_000;
const TIMES = { timeout_ms: LIMIT_MS, slo_ms: 9000 };
const ROUTES = [
  createRoute('once', 'non_idempotent', TIMES),
  createRoute('often', 'idempotent', { ...TIMES, attempts: 2 }),
  createRoute('single', 'streaming', TIMES),
  createRoute('stream', 'streaming', { ...TIMES, resumable: true, attempts: 2 }),
];
const PREFIXES = ['/once/', '/often/', '/single/', '/stream/'];
const EVENT = 'id: 1\ndata: a\n\n';
/** Within the grace period of 8 s, by a margin for the exit. */
const LAST_ANSWER_MS: Milliseconds = 7300;
const GRACE_MS: Milliseconds = 8000;

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

// Sends a stop signal while requests of all routes wait at two endpoints, which answer some time after it.
async function stopWaiting(answerTime: Milliseconds) {
  const trial = await startTrial({ ...CONFIGURATION, routes: ROUTES });
  const answering: (() => void)[] = [];
  const wait: RequestListener = ({ url = '' }, response) => {
    const isStream = url.startsWith('/s');
    if (isStream) response.setHeader('Content-Type', 'text/event-stream');
    answering.push(() => response.end(isStream ? EVENT : 'answer'));
  };
  await trial.addEndpoint('e1', wait);
  await trial.addEndpoint('e2', wait);
  const callers = PREFIXES.flatMap((prefix) => [
    openRaw(trial.address, renderRequest(prefix, `a${prefix}`, [], LIMIT_MS)),
    // Behind another one on its connection.
    openRaw(
      trial.address,
      renderRequest(prefix, `b${prefix}`, [], LIMIT_MS) +
        renderRequest(prefix, `c${prefix}`, [], LIMIT_MS),
    ),
  ]);
  await waitUntil(() => answering.length >= callers.length);
  const stoppedAt = clock.elapsed();
  trial.instance.child.kill('SIGTERM');
  const timer = setTimeout(() => answering.forEach((answer) => answer()), answerTime);
  expect(await trial.instance.exited).toBe(0);
  clearTimeout(timer);
  const took = clock.elapsed() - stoppedAt;
  await Promise.all(callers.map(({ closed }) => closed));
  return { trial, answers: callers.map(({ getText }) => getText()), took };
}

function getStatuses(answer: string): string[] {
  return [...answer.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = '']) => status);
}

test('answers that come shortly before the forced end of an instance are passed on', async () => {
  const { answers, took } = await stopWaiting(LAST_ANSWER_MS);
  expect(answers.map((answer) => getStatuses(answer)[0])).toEqual(answers.map(() => '200'));
  expect(answers.filter((answer) => !/a\n\n|answer/.test(answer))).toEqual([]);
  expect(took).toBeLessThan(GRACE_MS);
});

// Guards against connections that close without an answer, and without a line.
test('requests that wait at their endpoint at the forced end of an instance are answered', async () => {
  const { trial, answers, took } = await stopWaiting(LIMIT_MS);
  const alone = ['504'];
  const withOneBehind = ['504', '503'];
  expect(answers.map(getStatuses)).toEqual(PREFIXES.flatMap(() => [alone, withOneBehind]));
  expect(took).toBeLessThan(GRACE_MS);
  const refused = trial.log.filter(({ code }) => code === Diagnostics.requestRefused.code);
  const ids = PREFIXES.flatMap((prefix) => ['a', 'b', 'c'].map((name) => `${name}${prefix}`));
  expect(refused.map(({ request }) => request).sort()).toEqual(ids.sort());
});
