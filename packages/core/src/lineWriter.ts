import { write } from 'node:fs';
import type { Clock, Milliseconds } from './types';

const FLUSH_MS = 100;
const MS_PER_SECOND = 1000;
/** Bytes that wait for a reader that is slow or gone; further lines are dropped. */
const BUFFER_BYTES = 262_144;
/** Lines a second; more are dropped, and counted. */
const LINES_PER_SECOND = 1000;

/** Writes lines without ever blocking the process. */
export interface LineWriter {
  write(line: string): void;
  /** Lines dropped so far. */
  dropped(): number;
  /** Writes what is buffered; for the end of the process. */
  flush(): Promise<void>;
}

/** Creates a writer onto a file descriptor; lines over the rate or the buffer are dropped. */
export function createLineWriter(clock: Clock, descriptor: number): LineWriter {
  let lines: string[] = [];
  let bytes = 0;
  let dropped = 0;
  let allowance = LINES_PER_SECOND;
  let refilledAt: Milliseconds = clock.elapsed();
  let isScheduled = false;
  let flushing: Promise<void> | undefined;

  function isAllowed(): boolean {
    const now = clock.elapsed();
    const refill = ((now - refilledAt) * LINES_PER_SECOND) / MS_PER_SECOND;
    allowance = Math.min(LINES_PER_SECOND, allowance + refill);
    refilledAt = now;
    if (allowance < 1 || bytes >= BUFFER_BYTES) return false;
    allowance -= 1;
    return true;
  }

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    clock.after(FLUSH_MS, () => {
      isScheduled = false;
      flush();
    });
  }

  function flush(): Promise<void> {
    flushing ??= writeOut().finally(() => {
      flushing = undefined;
    });
    return flushing;
  }

  async function writeOut(): Promise<void> {
    const text = lines.join('');
    lines = [];
    bytes = 0;
    let rest = Buffer.from(text);
    while (rest.length > 0) {
      const written = await writeSome(descriptor, rest);
      if (written === 0) return;
      rest = rest.subarray(written);
    }
  }

  return {
    write(line) {
      if (!isAllowed()) {
        dropped += 1;
        return;
      }
      lines.push(`${line}\n`);
      bytes += line.length + 1;
      schedule();
    },
    dropped: () => dropped,
    async flush() {
      await flushing;
      await flush();
    },
  };
}

// A log that can't be written has nowhere to say so: its lines are lost.
function writeSome(descriptor: number, data: Buffer): Promise<number> {
  return new Promise((resolve) => {
    write(descriptor, data, (error, written) => resolve(error ? 0 : written));
  });
}
