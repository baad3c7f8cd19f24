import type { Milliseconds } from '@pomeloroad/core';
import { ENDPOINT_TABLE, ORDERLY_END_PATH, putRow } from '@pomeloroad/standins';
import { match } from 'ts-pattern';
import type { Rule } from '../faultProxy';
import { pause } from '../pause';
import { count } from './evidence';
import type { Evidence } from './evidence';
import { getNature, isPlannedWork } from './faultNature';
import {
  findEndpoint,
  findOtherVersion,
  getEndpoint,
  getLink,
  listDisturbedNames,
  listOldest,
  listProcesses,
  listServed,
  listTargetNames,
} from './faultTargets';
import type { Fault, PlannedFault, PlannedSignal, Renewal, SignalFault } from './faults';
import { FIRST_VERSIONS, getVersion } from './fleet';
import type { Fleet, FleetEndpoint, FleetProcess } from './fleet';
import type { Operator } from './operator';
import { callStandIn } from './standInCalls';
import { disturbStore } from './storeFaults';
import { UNREADABLE_ROWS } from './unreadableRows';

/** Longest time that a process has for its orderly end before it counts as hung. */
const END_TIMEOUT_MS: Milliseconds = 10_000;
/** Time between the steps of a roll-out. */
const ROLL_OUT_STEP_MS: Milliseconds = 400;
const CLAIM_INTERVAL_MS: Milliseconds = 50;
/** Time until an endpoint that has died of a request starts again. */
const CRASH_PAUSE_MS: Milliseconds = 2000;
const ENDING_SIGNALS: PlannedSignal['signal'][] = ['SIGTERM', 'SIGINT', 'SIGKILL', 'SIGQUIT'];

/** Plays faults on the processes of a fleet. */
export interface Injector {
  /** Plays a fault; resolves when it is over. */
  play(planned: PlannedFault): Promise<void>;
  /** Starts an endpoint again that is about to die of a request. */
  restart(name: string): Promise<void>;
  /** How often each fault was played; one that met another on the same target is not. */
  counts: Record<string, number>;
}

/** Creates an injector that records what it does. */
export function createInjector(fleet: Fleet, evidence: Evidence, operator: Operator): Injector {
  const claimed = new Set<string>();
  const counts: Record<string, number> = {};
  let rules: Rule[] = [];
  let versions = FIRST_VERSIONS;

  async function play({ name, fault }: PlannedFault): Promise<void> {
    const names = listTargetNames(fleet, fault);
    if (names.some((target) => claimed.has(target))) return;
    names.forEach((target) => claimed.add(target));
    count(counts, name);
    const text = `${name} ${JSON.stringify(fault)}`;
    const scope = { text: `${names.join(', ')}: ${text}`, nature: getNature(fault) };
    const end = evidence.faults.begin({ ...scope, names: listDisturbedNames(fleet, fault) });
    await apply(fault).catch((error: Error) =>
      evidence.fail('injector', `${name}: ${error.message}`),
    );
    end();
    names.forEach((target) => claimed.delete(target));
  }

  function apply(fault: Fault): Promise<void> {
    return match(fault)
      .with({ kind: 'signals' }, async (signals) => {
        const processes = listProcesses(fleet, signals.target);
        await Promise.all(processes.map((stopped) => disturbProcess(stopped, signals)));
      })
      .with({ kind: 'orderly-end' }, async (ends) => {
        const processes = listProcesses(fleet, ends.target);
        await Promise.all(processes.map((ended) => endInOrder(ended, ends)));
      })
      .with({ kind: 'moved-routes' }, async ({ stop }) => {
        await Promise.all([operator.moveStreams(true), apply(stop)]);
        await operator.moveStreams(false);
      })
      .with({ kind: 'roll-out' }, rollOut)
      .with({ kind: 'instances-in-turn' }, async ({ stops }) => {
        for (const stop of stops) await play({ at: 0, name: 'instance-term', fault: stop });
      })
      .with({ kind: 'endpoints-in-turn' }, renewInTurn)
      .with({ kind: 'link' }, disturbLink)
      .with({ kind: 'store' }, ({ fault: name, length }) => disturbStore(fleet.store, name, length))
      .with({ kind: 'crash' }, ({ name }) => restartCrashed(name))
      .with({ kind: 'unreadable-rows' }, writeUnreadableRows)
      .with({ kind: 'full' }, (full) => switchOver(full, 'SIGUSR2'))
      .with({ kind: 'limited' }, (limited) => switchOver(limited, 'SIGHUP'))
      .with({ kind: 'reused-address' }, async ({ index, length }) => {
        const endpoint = getEndpoint(fleet, index);
        const other = getEndpoint(fleet, index + 1);
        fleet.proxy.setTarget(endpoint.link.id, String(other.program.listening.address));
        await pause(length);
        fleet.proxy.setTarget(endpoint.link.id, String(endpoint.program.listening.address));
      })
      .exhaustive();
  }

  async function switchOver(
    { index, length }: Extract<Fault, { kind: 'full' | 'limited' }>,
    signal: NodeJS.Signals,
  ): Promise<void> {
    const { child } = getEndpoint(fleet, index).program;
    child.kill(signal);
    await pause(length);
    child.kill(signal);
  }

  async function restartCrashed(name: string): Promise<void> {
    const endpoint = findEndpoint(fleet, name);
    if (!endpoint || endpoint.program.isRunning()) return;
    await pause(CRASH_PAUSE_MS);
    await startAgain(endpoint);
  }

  async function disturbProcess(stopped: FleetProcess, fault: SignalFault): Promise<void> {
    const fleetProcess = stopped;
    const ends = fault.signals.some(({ signal }) => ENDING_SIGNALS.includes(signal));
    fleetProcess.isEnding = ends;
    await sendSignals(fleetProcess, fault.signals);
    if (!ends) return;
    await waitForEnd(fleetProcess, fault.signals);
    await pause(fault.pause);
    if (fault.isRenewed && fleetProcess.kind === 'endpoint') {
      fleetProcess.version = findOtherVersion(fleet, fleetProcess);
    }
    await startAgain(fleetProcess);
  }

  async function startAgain(ended: FleetProcess): Promise<void> {
    const fleetProcess = ended;
    evidence.restarted(fleetProcess.name);
    await fleet.restart(fleetProcess);
    fleetProcess.isEnding = false;
  }

  async function endInOrder(
    ended: FleetProcess,
    { end, pause: length }: Extract<Fault, { kind: 'orderly-end' }>,
  ): Promise<void> {
    const fleetProcess = ended;
    const exits = end.exitAfter !== undefined || end.reason === 'leaving';
    fleetProcess.isEnding = exits;
    await callStandIn(fleetProcess.program.listening.address, ORDERLY_END_PATH, end);
    if (exits) await waitForEnd(fleetProcess, []);
    await pause(length);
    if (exits) await startAgain(fleetProcess);
  }

  async function rollOut({ service }: Extract<Fault, { kind: 'roll-out' }>): Promise<void> {
    versions += 1;
    const version = getVersion(versions);
    const replaced = listOldest(fleet, service).map(async (old, index) => {
      await pause(index * ROLL_OUT_STEP_MS);
      await fleet.replace(old, version);
      await pause(ROLL_OUT_STEP_MS);
      const signals: PlannedSignal[] = [{ signal: 'SIGTERM', wait: 0 }];
      await sendSignals(old, signals);
      await waitForEnd(old, signals);
      evidence.restarted(old.name);
    });
    await Promise.all(replaced);
  }

  async function renewInTurn({
    service,
    renewals,
  }: Extract<Fault, { kind: 'endpoints-in-turn' }>): Promise<void> {
    versions += 1;
    const version = getVersion(versions);
    const endpoints = listServed(fleet, service).slice(0, renewals.length);
    // The next process is loaded ahead, since that takes longer than the pauses.
    const prepare = (index: number) => prepareRenewal(endpoints[index], version, renewals[index]);
    let next = prepare(0);
    for (let index = 1; next; index += 1) {
      const renew = next;
      next = prepare(index);
      await renew();
    }
  }

  function prepareRenewal(
    endpoint: FleetEndpoint | undefined,
    version: string,
    renewal: Renewal | undefined,
  ): (() => Promise<void>) | undefined {
    if (!endpoint || !renewal) return undefined;
    const start = fleet.prepare(endpoint, version, renewal.listedAfter);
    return async () => {
      await pause(renewal.wait);
      const { name } = endpoint;
      const text = `${name}: is renewed with ${version} ${JSON.stringify(renewal)}`;
      const end = evidence.faults.begin({ names: [name], text, nature: 'harm' });
      await replaceProcess(endpoint, renewal.pause, start).finally(end);
    };
  }

  async function replaceProcess(
    replaced: FleetEndpoint,
    length: Milliseconds,
    start: () => Promise<void>,
  ): Promise<void> {
    const endpoint = replaced;
    const signals: PlannedSignal[] = [{ signal: 'SIGKILL', wait: 0 }];
    endpoint.isEnding = true;
    await sendSignals(endpoint, signals);
    await waitForEnd(endpoint, signals);
    await pause(length);
    evidence.restarted(endpoint.name);
    await start();
    endpoint.isEnding = false;
  }

  async function sendSignals({ program }: FleetProcess, signals: PlannedSignal[]): Promise<void> {
    for (const { signal, wait } of signals) {
      await pause(wait);
      program.child.kill(signal);
    }
  }

  async function waitForEnd(
    { name, program }: FleetProcess,
    signals: PlannedSignal[],
  ): Promise<void> {
    const limit = pause(END_TIMEOUT_MS).then(() => 'hung' as const);
    const code = await Promise.race([program.exited, limit]);
    if (signals.every(isPlannedWork) && code !== 0) {
      evidence.fail('shutdown', `${name} ended with ${code} after SIGTERM`);
    }
    if (code === 'hung') program.child.kill('SIGKILL');
    await program.exited;
  }

  async function disturbLink(fault: Extract<Fault, { kind: 'link' }>): Promise<void> {
    const { group } = getLink(fleet, fault);
    const ends =
      fault.direction === 'request' ? { from: '*', to: group } : { from: group, to: '*' };
    const rule = { ...ends, effect: fault.effect };
    rules = [...rules, rule];
    fleet.proxy.setRules(rules);
    await pause(fault.length);
    rules = rules.filter((other) => other !== rule);
    fleet.proxy.setRules(rules);
  }

  async function writeUnreadableRows(): Promise<void> {
    const writes = UNREADABLE_ROWS.map(({ key, text }) =>
      putRow(fleet.store, ENDPOINT_TABLE, key, text),
    );
    await Promise.all(writes);
  }

  // A fault that has hold of the endpoint may start it again too.
  async function restart(name: string): Promise<void> {
    const endpoint = findEndpoint(fleet, name);
    if (!endpoint) return;
    endpoint.isEnding = true;
    await endpoint.program.exited;
    while (claimed.has(name)) await pause(CLAIM_INTERVAL_MS);
    await play({ at: 0, name: 'crash', fault: { kind: 'crash', name } });
  }

  return { play, restart, counts };
}
