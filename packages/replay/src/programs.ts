import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { createSystemClock, Diagnostics, withTimeout } from '@pomeloroad/core';

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 5000;

/** A process that a launcher started. */
export interface Program {
  name: string;
  child: ChildProcess;
  /** The log line with its addresses, which it printed once it was listening. */
  listening: Record<string, unknown>;
  /** Resolves to its exit code; `null` after a signal. */
  exited: Promise<number | null>;
  isRunning(): boolean;
}

/** Starts Node.js programs and keeps track of their processes. */
export interface Launcher {
  /** Resolves once the program is listening; rejects if it exits first or takes too long. */
  start(name: string, script: string, args: string[], nodeOptions?: string[]): Promise<Program>;
  /**
   * Loads a program that begins at the end of its standard input; the function ends that and resolves as `start`
   * does.
   */
  prepare(name: string, script: string, args: string[]): () => Promise<Program>;
  /** Kills all processes that are still running. */
  stopAll(): void;
  /** Does the same, starts no more and resolves to the ids of the processes that remain. */
  close(): Promise<number[]>;
}

/** Creates a launcher that passes each line of the programs' logs to `onLog`. */
export function createLauncher(onLog: (name: string, line: string) => void): Launcher {
  const children = new Set<ChildProcess>();
  const exits: Promise<unknown>[] = [];
  let isClosed = false;

  function stopAll(): void {
    children.forEach((child) => {
      // A fault may have stopped the process with SIGSTOP; continue it before it is killed.
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
  }

  function run(
    name: string,
    args: string[],
    input: 'ignore' | 'pipe',
  ): { child: ChildProcess; started: Promise<Program> } {
    const child = spawn(process.execPath, args, { stdio: [input, 'pipe', 'pipe'] });
    children.add(child);
    let lastLine = '';
    const keepLine = (source: string, line: string) => {
      lastLine = line;
      onLog(source, line);
    };
    if (child.stderr) {
      createInterface({ input: child.stderr }).on('line', (line) => keepLine(name, line));
    }
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => {
        children.delete(child);
        resolve(code);
      });
    });
    exits.push(exited);
    return { child, started: waitForStart(name, child, exited, keepLine, () => lastLine) };
  }

  function refuse(name: string): Promise<never> {
    return Promise.reject(new Error(`${name} is not started after the end`));
  }

  return {
    start(name, script, args, nodeOptions = []) {
      if (isClosed) return refuse(name);
      return run(name, [...nodeOptions, script, ...args], 'ignore').started;
    },
    prepare(name, script, args) {
      if (isClosed) return () => refuse(name);
      const { child, started } = run(name, [script, ...args], 'pipe');
      // A program that fails before it is asked for fails whoever asks for it.
      started.catch(() => undefined);
      return () => {
        child.stdin?.end();
        return started;
      };
    },
    stopAll,
    async close() {
      isClosed = true;
      stopAll();
      // A pause would keep this process alive after its children have ended.
      await withTimeout(createSystemClock(), STOP_TIMEOUT_MS, Promise.all(exits), []);
      return [...children].map((child) => child.pid ?? 0);
    },
  };
}

function waitForStart(
  name: string,
  child: ChildProcess,
  exited: Promise<number | null>,
  onLog: (name: string, line: string) => void,
  getLastLine: () => string,
): Promise<Program> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${name} did not start in time`)),
      START_TIMEOUT_MS,
    );
    exited.then((code) => {
      clearTimeout(timer);
      reject(new Error(`${name} exited with ${code}: ${getLastLine()}`));
    });
    if (!child.stdout) return;
    // The line with the addresses appears among ordinary log lines.
    createInterface({ input: child.stdout }).on('line', (line) => {
      const listening = JSON.parse(line) as Record<string, unknown>;
      const isStarted = listening.code === Diagnostics.instanceStarted.code;
      if (listening.event !== 'listening' && !isStarted) {
        onLog(name, line);
        return;
      }
      clearTimeout(timer);
      const isRunning = () => child.exitCode === null && child.signalCode === null;
      resolve({ name, child, listening, exited, isRunning });
    });
  });
}
