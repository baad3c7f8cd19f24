import { writeSync } from 'node:fs';
import net from 'node:net';
import type { Milliseconds } from './types';

/** Time for a reader that is slow or gone, after which the rest is given up. */
const WRITE_MAX_MS: Milliseconds = 500;
const RETRY_INTERVAL_MS: Milliseconds = 5;

/**
 * Writes the data before it returns, for a process that is about to exit. Returns false if that took longer than
 * half a second or failed.
 */
export function writeBeforeExit(descriptor: number, data: Buffer): boolean {
  preventBlocking(descriptor);
  const giveUpAt = performance.now() + WRITE_MAX_MS;
  let rest = data;
  while (rest.length > 0) {
    const written = tryWrite(descriptor, rest);
    if (written === undefined || performance.now() > giveUpAt) return false;
    if (written === 0) pauseProcess(RETRY_INTERVAL_MS);
    rest = rest.subarray(written);
  }
  return true;
}

/** Keeps the process busy for the time, so that no turn of its event loop begins meanwhile. */
export function pauseProcess(time: Milliseconds): void {
  const until = performance.now() + time;
  while (performance.now() < until);
}

// Node makes the pipe or socket of a stream one that does not block; others, files among them, are no streams to it.
function preventBlocking(descriptor: number): void {
  try {
    new net.Socket({ fd: descriptor, readable: false, writable: true }).unref();
  } catch {
    // Files do not wait for a reader.
  }
}

// Returns the number of bytes that were taken, `undefined` on an error.
function tryWrite(descriptor: number, data: Buffer): number | undefined {
  try {
    return writeSync(descriptor, data);
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === 'EAGAIN' ? 0 : undefined;
  }
}
