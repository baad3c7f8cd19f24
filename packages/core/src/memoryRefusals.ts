import { runPeriodically } from './clock';
import { Diagnostics } from './diagnostics';
import type { DroppedLinesHost } from './droppedLines';
import type { MemoryAccount } from './memoryAccount';
import type { Milliseconds } from './types';

const REPORT_INTERVAL_MS: Milliseconds = 5000;

/** Logs every few seconds how many more holders were refused for memory and what they held, if any. */
export function reportMemoryRefusals(
  { clock, log, signal }: DroppedLinesHost,
  account: MemoryAccount,
): void {
  let reported = account.refusals();
  async function report(): Promise<void> {
    const latest = account.refusals();
    const refused = latest.refused - reported.refused;
    const bytes = latest.bytes - reported.bytes;
    reported = latest;
    if (refused > 0) log(Diagnostics.memoryRefused, { refused, bytes, held: account.held() });
  }
  runPeriodically(clock, () => REPORT_INTERVAL_MS, signal, report);
}
