import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createLauncher } from '../src/programs';

const LISTENING = `console.log('{"event":"listening"}'); setInterval(() => {}, 1000);`;
const FAILING = 'process.exit(3);';

let directory: string;

beforeAll(() => {
  directory = mkdtempSync(path.join(tmpdir(), 'pomeloroad-programs-'));
});

beforeEach(() => {
  jest.spyOn(global, 'setTimeout');
  jest.spyOn(global, 'clearTimeout');
});

afterEach(() => jest.restoreAllMocks());

afterAll(() => rmSync(directory, { recursive: true, force: true }));

function writeProgram(code: string): string {
  const script = path.join(directory, 'program.js');
  writeFileSync(script, code);
  return script;
}

// The timers that keep this process alive: none that is set here has run yet.
function countTimers(): number {
  const cleared = new Set(jest.mocked(clearTimeout).mock.calls.map(([timer]) => timer));
  const timers = jest.mocked(setTimeout).mock.results.map(({ value }) => value as NodeJS.Timeout);
  return timers.filter((timer) => timer.hasRef() && !cleared.has(timer)).length;
}

test('a launcher that is closed leaves neither a process nor a timer behind', async () => {
  const launcher = createLauncher(() => undefined);
  const program = await launcher.start('listening', writeProgram(LISTENING), []);
  expect(program.isRunning()).toBe(true);
  expect(await launcher.close()).toEqual([]);
  expect(program.isRunning()).toBe(false);
  expect(countTimers()).toBe(0);
});

test('a program that exits while it starts leaves no timer behind', async () => {
  const launcher = createLauncher(() => undefined);
  const start = launcher.start('failing', writeProgram(FAILING), []);
  await expect(start).rejects.toThrow('failing exited with 3');
  expect(countTimers()).toBe(0);
});
