import { execFileSync } from 'node:child_process';
import { Diagnostics } from '@pomeloroad/core';
import { ROOT } from '../src/paths';
import { endTrial, startTrial } from './plannedStopHarness';

/** Moments of a start, each as the function that runs first then and a condition on its call. */
const MOMENTS = {
  'its first module is loaded': `[require('module').prototype, 'require', (self) => self.id !== '.']`,
  'its settings are read': `[require('fs'), 'readFileSync', (_, name) => /\\.toml$/.test(name)]`,
  'its first port is opened': `[require('net').Server.prototype, 'listen', () => true]`,
};
type Moment = keyof typeof MOMENTS;
const ALL = Object.keys(MOMENTS) as Moment[];

beforeAll(() => {
  if (!process.env.TRIAL_PROGRAM) execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: ROOT });
});
afterEach(endTrial);

// Returns code that runs the action at the moment.
function at(moment: Moment, action: string): string {
  return `{
    const [owner, name, isMoment] = ${MOMENTS[moment]};
    const original = owner[name];
    owner[name] = function (...args) {
      if (isMoment(this, ...args)) {
        owner[name] = original;
        ${action};
      }
      return original.apply(this, args);
    };
  }`;
}

test.each(ALL)('an instance lives on that gets SIGHUP when %s', async (moment) => {
  const trial = await startTrial(undefined, at(moment, `process.kill(process.pid, 'SIGHUP')`));
  expect(trial.instance.isRunning()).toBe(true);
});

// Sends it 60 times, each 5 ms, from the first line of the program on.
test('an instance lives on that gets SIGHUP again and again while it starts', async () => {
  const send = `kill -HUP $0 || exit; sleep 0.005`;
  const loop = `for i in $(seq 60); do ${send}; done`;
  const spawn = `require('child_process').spawn('sh', ['-c', '${loop}', process.pid])`;
  const trial = await startTrial(undefined, at('its first module is loaded', spawn));
  expect(trial.instance.isRunning()).toBe(true);
  expect(trial.hasLogged(Diagnostics.settingsReloaded.text)).toBe(true);
});

test.each(ALL)('an instance stops in order that gets SIGTERM when %s', async (moment) => {
  const trial = await startTrial(undefined, at(moment, `process.kill(process.pid, 'SIGTERM')`));
  expect(await trial.instance.exited).toBe(0);
});
