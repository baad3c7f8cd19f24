import { write } from 'node:fs';
import { MS_PER_SECOND } from './clock';
import { pauseProcess, writeBeforeExit } from './exitWrite';
import type { Importance } from './log';
import type { Clock, Milliseconds } from './types';

const FLUSH_DELAY_MS = 100;
/** Limit of the buffer while the reader is slow or gone; further lines are dropped. */
const BUFFER_LIMIT_BYTES = 262_144;
/** Refill rate and burst size of the rate limit; further lines are dropped and counted. */
const MAX_LINES_PER_SECOND = 1000;
/** Further limits for important lines only. */
const RESERVE_LIMIT_BYTES = 131_072;
const RESERVE_LINES_PER_SECOND = 200;
/** Time for lines that another thread writes already; it can't be asked whether it has. */
const THREAD_WRITE_MS: Milliseconds = 20;

/** Numbers of lines that were dropped, by their importance. */
export type DroppedLines = Record<Importance, number>;

/** Writes lines without blocking the process. */
export interface LineWriter {
  write(line: string, importance: Importance): void;
  /** Returns the counts of lines dropped so far, by the limits or because they could not be written. */
  dropped(): DroppedLines;
  /** Writes all buffered lines. Called before the process exits. */
  flush(): Promise<void>;
  /**
   * Writes all buffered lines and then this one before it returns, for a process that is about to exit. Returns false
   * if they could not be written in half a second; an exit may then wait for a write for ever.
   */
  writeLast(line: string): boolean;
}

interface Line {
  text: string;
  importance: Importance;
}

/** Lines and bytes that may still be buffered. */
interface Share {
  /** Whether the line was taken. */
  take(line: string): boolean;
  /** Makes room again for all bytes that were taken. */
  empty(): void;
}

/**
 * Creates a writer to a file descriptor. Lines over the rate or buffer limit are dropped; important
 * ones have a reserve of both that ordinary lines can't use.
 */
export function createLineWriter(clock: Clock, descriptor: number): LineWriter {
  const common = createShare(clock, MAX_LINES_PER_SECOND, BUFFER_LIMIT_BYTES);
  const reserve = createShare(clock, RESERVE_LINES_PER_SECOND, RESERVE_LIMIT_BYTES);
  const dropped: DroppedLines = { ordinary: 0, important: 0 };
  let lines: Line[] = [];
  let isScheduled = false;
  let flushing: Promise<void> | undefined;

  function hasRoom(line: string, importance: Importance): boolean {
    return common.take(line) || (importance === 'important' && reserve.take(line));
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
    const taken = lines;
    lines = [];
    common.empty();
    reserve.empty();
    let rest = Buffer.from(taken.map(({ text }) => text).join(''));
    while (rest.length > 0) {
      const written = await writeSome(descriptor, rest);
      if (written === 0) {
        countLost(taken, rest.length);
        return;
      }
      rest = rest.subarray(written);
    }
  }

  // Counts the lines at the end whose bytes were not written, one that was written in part included.
  function countLost(taken: Line[], bytes: number): void {
    let rest = bytes;
    for (const { text, importance } of [...taken].reverse()) {
      if (rest <= 0) return;
      dropped[importance] += 1;
      rest -= Buffer.byteLength(text);
    }
  }

  return {
    write(line, importance) {
      if (!hasRoom(line, importance)) {
        dropped[importance] += 1;
        return;
      }
      lines.push({ text: `${line}\n`, importance });
      schedule();
    },
    dropped: () => ({ ...dropped }),
    async flush() {
      await flushing;
      await flush();
    },
    writeLast(line) {
      if (flushing) pauseProcess(THREAD_WRITE_MS);
      const text = lines.map((buffered) => buffered.text).join('');
      lines = [];
      return writeBeforeExit(descriptor, Buffer.from(`${text}${line}\n`));
    },
  };
}

function createShare(clock: Clock, linesPerSecond: number, limitBytes: number): Share {
  let allowance = linesPerSecond;
  let refilledAt: Milliseconds = clock.elapsed();
  let bytes = 0;
  return {
    take(line) {
      const now = clock.elapsed();
      const refill = ((now - refilledAt) * linesPerSecond) / MS_PER_SECOND;
      allowance = Math.min(linesPerSecond, allowance + refill);
      refilledAt = now;
      if (allowance < 1 || bytes >= limitBytes) return false;
      allowance -= 1;
      bytes += line.length + 1;
      return true;
    },
    empty() {
      bytes = 0;
    },
  };
}

// Resolves to the count of bytes written, 0 on an error. There is nowhere to report an error of the
// log itself: its lines are lost, and counted.
function writeSome(descriptor: number, data: Buffer): Promise<number> {
  return new Promise((resolve) => {
    write(descriptor, data, (error, written) => resolve(error ? 0 : written));
  });
}
