import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { Diagnostics } from '@pomeloroad/core';

const START_TIMEOUT_MS = 20_000;

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
  start(name: string, script: string, args: string[]): Promise<Program>;
  /** Kills all processes that are still running. */
  stopAll(): void;
}

/** Creates a launcher that passes each line of the programs' logs to `onLog`. */
export function createLauncher(onLog: (name: string, line: string) => void): Launcher {
  const children = new Set<ChildProcess>();
  return {
    start(name, script, args) {
      const child = spawn(process.execPath, [script, ...args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      children.add(child);
      createInterface({ input: child.stderr }).on('line', (line) => onLog(name, line));
      const exited = new Promise<number | null>((resolve) => {
        child.once('exit', (code) => {
          children.delete(child);
          resolve(code);
        });
      });
      return waitForStart(name, child, exited, onLog);
    },
    stopAll() {
      children.forEach((child) => {
        // A fault may have stopped the process with SIGSTOP; continue it before it is killed.
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      });
    },
  };
}

function waitForStart(
  name: string,
  child: ChildProcess,
  exited: Promise<number | null>,
  onLog: (name: string, line: string) => void,
): Promise<Program> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`${name} did not start in time`)),
      START_TIMEOUT_MS,
    );
    exited.then((code) => reject(new Error(`${name} exited with ${code}`)));
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
