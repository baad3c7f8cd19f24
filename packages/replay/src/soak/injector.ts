import type { Evidence } from './evidence';
import type { Fleet, FleetProcess } from './fleet';
import type { Fault } from './plan';
import { pause } from '../pause';

/** Plays faults on the processes of a fleet. */
export interface Injector {
  /** Plays a fault; resolves when it is over. */
  play(fault: Fault): Promise<void>;
}

/** Creates an injector that records what it does. */
export function createInjector(fleet: Fleet, evidence: Evidence): Injector {
  const claimed = new Set<FleetProcess>();

  async function play(fault: Fault): Promise<void> {
    const endpoint = fleet.endpoints[fault.endpoint];
    if (!endpoint || claimed.has(endpoint)) return;
    claimed.add(endpoint);
    evidence.addFault(`SIGKILL ${endpoint.name}`);
    endpoint.program.child.kill('SIGKILL');
    await endpoint.program.exited;
    await pause(fault.pause);
    evidence.addFault(`start ${endpoint.name}`);
    await fleet.restart(endpoint);
    claimed.delete(endpoint);
  }

  return { play };
}
