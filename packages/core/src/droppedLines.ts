import { runPeriodically } from './clock';
import { Diagnostics } from './diagnostics';
import type { DroppedLines } from './lineWriter';
import type { Log } from './log';
import type { Clock, Milliseconds } from './types';

const REPORT_INTERVAL_MS: Milliseconds = 5000;

/** Dependencies of reporting dropped lines. */
export interface DroppedLinesHost {
  clock: Clock;
  log: Log;
  /** Aborted when no more lines are to be reported. */
  signal: AbortSignal;
}

/** Logs every few seconds how many more lines of each importance were dropped, if any. */
export function reportDroppedLines(
  { clock, log, signal }: DroppedLinesHost,
  getDropped: () => DroppedLines,
): void {
  let reported: DroppedLines = { ordinary: 0, important: 0 };
  async function report(): Promise<void> {
    const dropped = getDropped();
    const ordinary = dropped.ordinary - reported.ordinary;
    const important = dropped.important - reported.important;
    const lines = ordinary + important;
    if (lines > 0) log(Diagnostics.linesDropped, { lines, ordinary, important });
    reported = dropped;
  }
  runPeriodically(clock, () => REPORT_INTERVAL_MS, signal, report);
}
