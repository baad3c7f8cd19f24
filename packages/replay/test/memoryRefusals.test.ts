import { execFileSync } from 'node:child_process';
import { Diagnostics } from '@pomeloroad/core';
import { ROOT } from '../src/paths';
import { isServed, startDeployed, USUAL_HEADERS } from './memoryHarness';
import { endTrial, openRaw, waitUntil } from './plannedStopHarness';

const CALLERS = 16;
/** Largest body that the configuration of the trial allows. */
const BODY_BYTES = 4_194_304;
const HEAD = `POST /long/x HTTP/1.1\r\n${USUAL_HEADERS}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const BODY = `${BODY_BYTES.toString(16)}\r\n${'x'.repeat(BODY_BYTES)}\r\n`;
const LAST_CHUNK = '0\r\n\r\n';

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

test('a body that is refused for memory gets 503 with Retry-After, has not run and is logged', async () => {
  const trial = await startDeployed();
  const callers = Array.from({ length: CALLERS }, () => openRaw(trial.address, HEAD + BODY));
  await waitUntil(() => callers.some(({ getText }) => getText().includes('\r\n\r\n')));
  const refused = callers.filter(({ getText }) => getText() !== '');
  refused.forEach(({ getText }) =>
    expect(getText()).toMatch(/^HTTP\/1.1 503 .*\r\nRetry-After: /s),
  );
  await waitUntil(() => trial.hasLogged(Diagnostics.memoryRefused.text));
  expect(trial.received).toEqual([]);
  callers.forEach(({ socket }) => socket.destroy());
  expect(await isServed(trial)).toBe(true);
});

test('the largest body inside the limits is served in calm', async () => {
  const trial = await startDeployed();
  const caller = openRaw(trial.address, HEAD + BODY + LAST_CHUNK);
  await waitUntil(() => caller.getText().includes('answer'));
  expect(caller.getText()).toMatch(/^HTTP\/1.1 200 /);
});
