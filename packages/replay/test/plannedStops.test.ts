import { execFileSync } from 'node:child_process';
import { createSystemClock, sleep } from '@pomeloroad/core';
import { WireHeader } from '@pomeloroad/standins';
import { ROOT } from '../src/paths';
import { endTrial, openRaw, renderRequest, startTrial, waitUntil } from './plannedStopHarness';

const clock = createSystemClock();
const GRACE_MS = 8000;
const STORE_CUT_DELAY_MS = 700;

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

// Asks for tokens, one request after another on new connections, until none is accepted.
async function keepAsking(address: string): Promise<void> {
  for (let number = 1; ; number += 1) {
    const headers = [`${WireHeader.tokenBounds}: 10,10`, 'Connection: close'];
    const caller = openRaw(address, renderRequest('/once/a', `r${number}`, headers));
    await caller.closed;
    if (caller.getText() === '') return;
  }
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
