import type { Milliseconds } from '@pomeloroad/core';
import type { FaultNature } from './faultLog';
import type { Fault, PlannedSignal, SignalFault } from './faults';

/** Longest silence of an endpoint that is no failure. */
const SILENCE_BOUND_MS: Milliseconds = 2000;

/** Returns what a fault counts as. */
export function getNature(fault: Fault): FaultNature {
  if (fault.kind === 'moved-routes') return getNature(fault.stop);
  if (fault.kind === 'roll-out' || fault.kind === 'instances-in-turn') return 'planned';
  if (fault.kind !== 'signals') return 'harm';
  if (fault.signals.every(isPlannedWork)) return 'planned';
  return isSilence(fault) ? 'silence' : 'harm';
}

// Callers leave a stream after a longer one.
function isSilence({ target, signals }: SignalFault): boolean {
  const isEndpoint = target.kind === 'endpoints' || target.kind === 'service';
  return isEndpoint && signals.every(isFreeze) && sumWaits(signals) <= SILENCE_BOUND_MS;
}

function isFreeze({ signal }: PlannedSignal): boolean {
  return signal === 'SIGSTOP' || signal === 'SIGCONT';
}

function sumWaits(signals: PlannedSignal[]): Milliseconds {
  return signals.reduce((sum, { wait }) => sum + wait, 0);
}

/** Returns whether a signal asks a process for an orderly stop or a reload. */
export function isPlannedWork({ signal }: PlannedSignal): boolean {
  return signal === 'SIGTERM' || signal === 'SIGHUP';
}
