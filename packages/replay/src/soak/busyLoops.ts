import { spawn } from 'node:child_process';

/** Most processes that may burn processor time beside a soak. */
export const BUSY_LOOPS_MAX = 10;

// It ends by itself once the process that started it has ended.
const SOURCE = 'const { ppid } = process; while (process.ppid === ppid);';

/** Starts processes that only burn processor time; the returned function ends them. */
export function startBusyLoops(count: number): () => void {
  const children = Array.from({ length: Math.min(count, BUSY_LOOPS_MAX) }, () =>
    spawn(process.execPath, ['-e', SOURCE], { stdio: 'ignore' }),
  );
  return () => children.forEach((child) => child.kill('SIGKILL'));
}
