import { execFileSync } from 'node:child_process';
import type { ServerResponse } from 'node:http';
import { Diagnostics } from '@pomeloroad/core';
import { ROOT } from '../src/paths';
import { endTrial, openRaw, renderRequest, startTrial, waitUntil } from './plannedStopHarness';

const EXIT_INVARIANT = 70;

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

test.each([`throw new Error('trial')`, `Promise.reject(new Error('trial'))`])(
  'an exit on an error keeps the lines of the last requests: %s',
  async (code) => {
    const trial = await startTrial(undefined, `process.on('SIGUSR2', () => { ${code}; });`);
    const held: ServerResponse[] = [];
    await trial.addEndpoint('e1', ({ url }, response) => {
      if (url === '/once/held') held.push(response);
      else response.end('answer');
    });
    openRaw(trial.address, renderRequest('/once/held', 'held'));
    await waitUntil(() => held.length > 0);
    const ids = ['a1', 'a2', 'a3'];
    const callers = ids.map((id) => openRaw(trial.address, renderRequest('/once/now', id)));
    await waitUntil(() => callers.every((caller) => caller.getText().includes('answer')));
    trial.instance.child.kill('SIGUSR2');
    expect(await trial.instance.exited).toBe(EXIT_INVARIANT);
    const answered = trial.log.filter(({ code: event }) => event === 5006);
    expect(answered.map(({ request }) => request).sort()).toEqual(ids);
    const last = trial.log.at(-1);
    expect(last).toMatchObject({ text: Diagnostics.invariantBroken.text, instance: 'one' });
    expect(last).toMatchObject({ open: 1, requests: 'held' });
    expect(last?.incarnation).toBe(trial.log[0]?.incarnation);
    expect(last?.stack).toContain('Error: trial');
  },
);
