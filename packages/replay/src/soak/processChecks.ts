import { readdirSync, readFileSync } from 'node:fs';
import type { Evidence } from './evidence';
import type { Fleet } from './fleet';

const MEMORY_MAX_MB = 350;
const FILES_MAX = 1000;
const KB_PER_MB = 1024;

/** Largest figures of the instances' processes. */
export interface ProcessPeaks {
  memoryMb: number;
  files: number;
}

/** Checks that no process has ended by itself, and the memory and open files of the instances. */
export function checkProcesses(fleet: Fleet, evidence: Evidence, peaks: ProcessPeaks): void {
  const store = { name: 'store', program: fleet.storeProgram, isEnding: false };
  [store, ...fleet.instances, ...fleet.endpoints].forEach(({ name, program, isEnding }) => {
    const hasEnded = !program.isRunning() && !isEnding;
    evidence.check('process', hasEnded ? `${name} ended by itself` : undefined);
  });
  fleet.instances.forEach(({ name, program }) => {
    const figures = readFigures(program.child.pid ?? 0);
    if (!figures) return;
    const { memoryMb, files } = figures;
    const isOver = memoryMb > MEMORY_MAX_MB || files > FILES_MAX;
    const message = `${name} uses ${memoryMb} MB and ${files} open files`;
    evidence.check('resources', isOver ? message : undefined);
    Object.assign(peaks, {
      memoryMb: Math.max(peaks.memoryMb, memoryMb),
      files: Math.max(peaks.files, files),
    });
  });
}

// Returns nothing for a process that has just ended.
function readFigures(id: number): ProcessPeaks | undefined {
  try {
    const status = readFileSync(`/proc/${id}/status`, 'utf8');
    const [, kilobytes = '0'] = /VmRSS:\s*(\d+)/.exec(status) ?? [];
    const files = readdirSync(`/proc/${id}/fd`).length;
    return { memoryMb: Math.round(Number(kilobytes) / KB_PER_MB), files };
  } catch {
    return undefined;
  }
}
