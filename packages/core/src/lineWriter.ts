import { write } from 'node:fs';
import type { Clock, Milliseconds } from './types';

const FLUSH_DELAY_MS = 100;
const MS_PER_SECOND = 1000;
/** Limit of the buffer while the reader is slow or gone; further lines are dropped. */
const BUFFER_LIMIT_BYTES = 262_144;
/** Refill rate and burst size of the rate limit; further lines are dropped and counted. */
const MAX_LINES_PER_SECOND = 1000;

/** Writes lines without blocking the process. */
export interface LineWriter {
  write(line: string): void;
  /** Returns the count of lines dropped so far. */
  dropped(): number;
  /** Writes all buffered lines. Called before the process exits. */
  flush(): Promise<void>;
}

/** Creates a writer to a file descriptor. Lines over the rate or buffer limit are dropped. */
export function createLineWriter(clock: Clock, descriptor: number): LineWriter {
  let lines: string[] = [];
  let bytes = 0;
  let dropped = 0;
  let allowance = MAX_LINES_PER_SECOND;
  let refilledAt: Milliseconds = clock.elapsed();
  let isScheduled = false;
  let flushing: Promise<void> | undefined;

  function consumeAllowance(): boolean {
    const now = clock.elapsed();
    const refill = ((now - refilledAt) * MAX_LINES_PER_SECOND) / MS_PER_SECOND;
    allowance = Math.min(MAX_LINES_PER_SECOND, allowance + refill);
    refilledAt = now;
    if (allowance < 1 || bytes >= BUFFER_LIMIT_BYTES) return false;
    allowance -= 1;
    return true;
  }

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    clock.after(FLUSH_DELAY_MS, () => {
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
      if (!consumeAllowance()) {
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

// Resolves to the count of bytes written, 0 on an error. There is nowhere to report an error of the
// log itself: its lines are lost.
function writeSome(descriptor: number, data: Buffer): Promise<number> {
  return new Promise((resolve) => {
    write(descriptor, data, (error, written) => resolve(error ? 0 : written));
  });
}
