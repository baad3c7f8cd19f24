import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

const START_TIMEOUT_MS = 20_000;

/** A process that the replay started. */
export interface Program {
  name: string;
  child: ChildProcess;
  /** What it printed when it listened. */
  listening: Record<string, unknown>;
  /** Resolves to its exit code; `null` after a signal. */
  exited: Promise<number | null>;
  isRunning(): boolean;
}

/** Starts programs and stops whatever still runs at the end. */
export interface Programs {
  start(name: string, script: string, args: string[]): Promise<Program>;
  stopAll(): void;
}

/** Creates a launcher; the programs' logs go to the given sink, line by line. */
export function createPrograms(onLog: (name: string, line: string) => void): Programs {
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
        // A stopped process takes no other signal before it is continued.
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
    const timer = setTimeout(() => reject(new Error(`${name} does not start`)), START_TIMEOUT_MS);
    exited.then((code) => reject(new Error(`${name} exited with ${code}`)));
    if (!child.stdout) return;
    // Log lines stand beside the one that tells the addresses.
    createInterface({ input: child.stdout }).on('line', (line) => {
      const listening = JSON.parse(line) as Record<string, unknown>;
      if (listening.event !== 'listening') {
        onLog(name, line);
        return;
      }
      clearTimeout(timer);
      const isRunning = () => child.exitCode === null && child.signalCode === null;
      resolve({ name, child, listening, exited, isRunning });
    });
  });
}
