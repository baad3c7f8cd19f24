import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {
  createLineWriter,
  createLog,
  createManualClock,
  Diagnostics,
  reportDroppedLines,
} from '../src';
import type { DroppedLines, Importance, LogFields } from '../src';

const LONG_LINE = 'x'.repeat(32_767);
const BUILT_PACKAGE = path.join(__dirname, '..', 'dist');
const UNREAD_EXIT_MAX_MS = 5000;

let directory: string;

beforeEach(() => {
  directory = mkdtempSync(path.join(os.tmpdir(), 'lines-'));
});

afterEach(() => rmSync(directory, { recursive: true }));

// Opens a writer to a file; a file that is only read takes no line.
function openWriter(flags = 'w+') {
  const file = path.join(directory, 'log');
  closeSync(openSync(file, 'a'));
  const descriptor = openSync(file, flags);
  const clock = createManualClock();
  const writer = createLineWriter(clock, descriptor);
  function write(importance: Importance, count: number, line: string = importance): void {
    for (let index = 0; index < count; index += 1) writer.write(line, importance);
  }
  async function close(): Promise<string[]> {
    await writer.flush();
    closeSync(descriptor);
    return readFileSync(file, 'utf8').split('\n').slice(0, -1);
  }
  return { clock, writer, write, close };
}

test('ordinary lines over the rate leave the reserve to important ones', async () => {
  const { writer, write, close } = openWriter();
  write('ordinary', 1500);
  write('important', 100);
  expect(writer.dropped()).toEqual({ ordinary: 500, important: 0 });
  const lines = await close();
  expect(lines.filter((line) => line === 'important')).toHaveLength(100);
  expect(lines).toHaveLength(1100);
});

test('the rate of the reserve is bounded and refilled', async () => {
  const { clock, writer, write, close } = openWriter();
  write('ordinary', 1000);
  write('important', 250);
  expect(writer.dropped()).toEqual({ ordinary: 0, important: 50 });
  await clock.advance(500);
  write('ordinary', 600);
  write('important', 150);
  expect(writer.dropped()).toEqual({ ordinary: 100, important: 100 });
  expect(await close()).toHaveLength(1800);
});

test('important lines use the common rate first', async () => {
  const { writer, write, close } = openWriter();
  write('important', 1100);
  write('ordinary', 1);
  write('important', 100);
  expect(writer.dropped()).toEqual({ ordinary: 1, important: 0 });
  expect(await close()).toHaveLength(1200);
});

test('a buffer full of ordinary lines has room for important ones, within a bound', async () => {
  const { writer, write, close } = openWriter();
  write('ordinary', 10, LONG_LINE);
  expect(writer.dropped()).toEqual({ ordinary: 2, important: 0 });
  write('important', 6, LONG_LINE);
  expect(writer.dropped()).toEqual({ ordinary: 2, important: 2 });
  expect(await close()).toHaveLength(12);
});

test('the buffer takes lines of either kind again once it is written', async () => {
  const { writer, write, close } = openWriter();
  write('important', 12, LONG_LINE);
  await writer.flush();
  write('ordinary', 8, LONG_LINE);
  write('important', 4, LONG_LINE);
  expect(writer.dropped()).toEqual({ ordinary: 0, important: 0 });
  expect(await close()).toHaveLength(24);
});

test('lines that could not be written are counted', async () => {
  const { writer, write, close } = openWriter('r');
  write('ordinary', 3);
  write('important', 2);
  expect(await close()).toEqual([]);
  expect(writer.dropped()).toEqual({ ordinary: 3, important: 2 });
});

test('the last line of a process follows those that are buffered', async () => {
  const { writer, write, close } = openWriter();
  write('ordinary', 2);
  write('important', 1);
  expect(writer.writeLast('last')).toBe(true);
  expect(await close()).toEqual(['ordinary', 'ordinary', 'important', 'last']);
});

test('the last line of a process follows those that are being written', async () => {
  const { writer, write, close } = openWriter();
  write('ordinary', 2);
  const flushed = writer.flush();
  write('important', 1);
  expect(writer.writeLast('last')).toBe(true);
  await flushed;
  expect(await close()).toEqual(['ordinary', 'ordinary', 'important', 'last']);
});

test('a last line that could not be written is told', () => {
  const { writer, write } = openWriter('r');
  write('ordinary', 1);
  expect(writer.writeLast('last')).toBe(false);
});

// Returns how the program ended whose output nobody reads, `undefined` if it goes on.
function runUnread(program: string): Promise<number | NodeJS.Signals | undefined> {
  const child = spawn(process.execPath, ['-e', program], { stdio: ['ignore', 'pipe', 'ignore'] });
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      resolve(undefined);
      child.kill('SIGKILL');
    }, UNREAD_EXIT_MAX_MS);
    child.once('exit', (code, signal) => {
      clearTimeout(timer);
      resolve(code ?? signal ?? undefined);
    });
  });
}

// Guards against an exit that waits for a reader of the log for ever.
test.each(['', 'lines.flush();'])('a last line that nobody reads ends: %s', async (before) => {
  const program = `
    const { createLineWriter, createSystemClock } = require(${JSON.stringify(BUILT_PACKAGE)});
    const lines = createLineWriter(createSystemClock(), 1);
    for (let index = 0; index < 10; index += 1) lines.write('x'.repeat(40_000), 'important');
    ${before}
    setTimeout(() => {
      lines.write('x'.repeat(200_000), 'important');
      process.kill(process.pid, lines.writeLast('x'.repeat(300_000)) ? 'SIGTERM' : 'SIGKILL');
    }, 200);`;
  expect(await runUnread(program)).toBe('SIGKILL');
});

test('warnings and errors are important, and lines that are marked so', () => {
  const importances: Importance[] = [];
  const log = createLog(createManualClock(), 'info', {}, (_line, importance) =>
    importances.push(importance),
  );
  log(Diagnostics.endpointFailed);
  log(Diagnostics.invariantBroken);
  log(Diagnostics.requestForwarded);
  log(Diagnostics.requestForwarded, {}, 'important');
  expect(importances).toEqual(['important', 'important', 'ordinary', 'important']);
});

test('dropped lines are reported by importance, each once', async () => {
  const clock = createManualClock();
  const reports: (LogFields | undefined)[] = [];
  const stop = new AbortController();
  let dropped: DroppedLines = { ordinary: 0, important: 0 };
  reportDroppedLines(
    { clock, log: (_event, fields) => reports.push(fields), signal: stop.signal },
    () => dropped,
  );
  await clock.advance(6000);
  dropped = { ordinary: 7, important: 2 };
  await clock.advance(12_000);
  dropped = { ordinary: 7, important: 3 };
  await clock.advance(6000);
  expect(reports).toEqual([
    { lines: 9, ordinary: 7, important: 2 },
    { lines: 1, ordinary: 0, important: 1 },
  ]);
});
