import { callHttp } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { ENDPOINT_TABLE, ORDERLY_END_PATH, putRow } from '@pomeloroad/standins';
import { match } from 'ts-pattern';
import type { Rule } from '../faultProxy';
import { pause } from '../pause';
import { count } from './evidence';
import type { Evidence } from './evidence';
import type { FaultNature } from './faultLog';
import type { Operator } from './operator';
import { UNREADABLE_ROWS } from './unreadableRows';
import { DATA_CENTRES, FIRST_VERSIONS, getVersion, SERVICES } from './fleet';
import type { Fleet, FleetEndpoint, FleetProcess } from './fleet';
import type {
  Fault,
  PlannedFault,
  PlannedSignal,
  SignalFault,
  StoreFaultName,
  Target,
} from './faults';

/** Longest time that a process has for its orderly end before it counts as hung. */
const END_TIMEOUT_MS: Milliseconds = 10_000;
/** Longest silence of an endpoint that is no failure. */
const SILENCE_BOUND_MS: Milliseconds = 2000;
const STORE_TIMEOUT_MS: Milliseconds = 2000;
/** Time between the steps of a roll-out. */
const ROLL_OUT_STEP_MS: Milliseconds = 400;
const SLOW_STORE_MS: Milliseconds = 400;
const CLAIM_INTERVAL_MS: Milliseconds = 50;
/** Time until an endpoint that has died of a request starts again. */
const CRASH_PAUSE_MS: Milliseconds = 2000;
const ENDING_SIGNALS: PlannedSignal['signal'][] = ['SIGTERM', 'SIGINT', 'SIGKILL', 'SIGQUIT'];
const LOST_ANSWER_SHARE = 0.5;
const { compare: compareNumbers } = new Intl.Collator('en', { numeric: true });

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
    const names = listNames(fleet, fault);
    if (names.some((target) => claimed.has(target))) return;
    names.forEach((target) => claimed.add(target));
    count(counts, name);
    const text = `${name} ${JSON.stringify(fault)}`;
    const scope = { names, text: `${names.join(', ')}: ${text}`, nature: getNature(fault) };
    const end = evidence.faults.begin(scope);
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
      .with({ kind: 'link' }, disturbLink)
      .with({ kind: 'store' }, ({ fault: name, length }) => disturbStore(name, length))
      .with({ kind: 'crash' }, ({ name }) => restartCrashed(name))
      .with({ kind: 'unreadable-rows' }, writeUnreadableRows)
      .with({ kind: 'full' }, (full) => switchOver(full, 'SIGUSR2'))
      .with({ kind: 'limited' }, (limited) => switchOver(limited, 'SIGHUP'))
      .with({ kind: 'reused-address' }, async ({ index, length }) => {
        const endpoint = getEndpoint(index);
        const other = getEndpoint(index + 1);
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
    const { child } = getEndpoint(index).program;
    child.kill(signal);
    await pause(length);
    child.kill(signal);
  }

  async function restartCrashed(name: string): Promise<void> {
    const endpoint = findEndpoint(name);
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

  async function disturbStore(name: StoreFaultName, length: Milliseconds): Promise<void> {
    if (name === 'rewound') {
      await callStore('copy');
      await pause(length);
      await callStore('rewind');
      return;
    }
    const faults = match(name)
      .with('down', () => ({ isDown: true }))
      .with('slow', () => ({ latency: SLOW_STORE_MS }))
      .with('lost-answers', () => ({ lostAnswerShare: LOST_ANSWER_SHARE }))
      .with('stalled-feed', () => ({ isFeedStalled: true }))
      .exhaustive();
    await callStore('faults', faults);
    await pause(length);
    const none = { isDown: false, latency: 0, lostAnswerShare: 0, isFeedStalled: false };
    await callStore('faults', none);
  }

  function callStore(call: string, body: object = {}): Promise<void> {
    return callStandIn(fleet.store, `/standin/${call}`, body);
  }

  async function callStandIn(address: unknown, path: string, body: object): Promise<void> {
    const url = `http://${String(address)}${path}`;
    const text = JSON.stringify(body);
    const answer = await callHttp({ method: 'PUT', url, body: text, timeout: STORE_TIMEOUT_MS });
    answer.unwrap();
  }

  async function writeUnreadableRows(): Promise<void> {
    const writes = UNREADABLE_ROWS.map(({ key, text }) =>
      putRow(fleet.store, ENDPOINT_TABLE, key, text),
    );
    await Promise.all(writes);
  }

  function getEndpoint(index: number) {
    const endpoint = fleet.endpoints[index % fleet.endpoints.length];
    if (!endpoint) throw new Error('a fleet has at least one endpoint');
    return endpoint;
  }

  function findEndpoint(name: string): FleetEndpoint | undefined {
    return fleet.endpoints.find((endpoint) => endpoint.name === name);
  }

  // A fault that has hold of the endpoint may start it again too.
  async function restart(name: string): Promise<void> {
    const endpoint = findEndpoint(name);
    if (!endpoint) return;
    endpoint.isEnding = true;
    await endpoint.program.exited;
    while (claimed.has(name)) await pause(CLAIM_INTERVAL_MS);
    await play({ at: 0, name: 'crash', fault: { kind: 'crash', name } });
  }

  return { play, restart, counts };
}

function getNature(fault: Fault): FaultNature {
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

function isPlannedWork({ signal }: PlannedSignal): boolean {
  return signal === 'SIGTERM' || signal === 'SIGHUP';
}

// A fault keeps its targets to itself until it is over.
function listNames(fleet: Fleet, fault: Fault): string[] {
  return match(fault)
    .with({ kind: 'signals' }, { kind: 'orderly-end' }, ({ target }) =>
      listProcesses(fleet, target).map((stopped) => stopped.name),
    )
    .with({ kind: 'moved-routes' }, ({ kind, stop }) => [kind, ...listNames(fleet, stop)])
    .with({ kind: 'roll-out' }, ({ service }) => listOldest(fleet, service).map(({ name }) => name))
    .with({ kind: 'instances-in-turn' }, ({ kind }) => [kind])
    .with({ kind: 'link' }, (link) => [getLink(fleet, link).name])
    .with({ kind: 'store' }, { kind: 'unreadable-rows' }, () => ['store'])
    .with({ kind: 'crash' }, ({ name }) => [name])
    .with({ kind: 'limited' }, ({ index }) => [
      `${fleet.endpoints[index % fleet.endpoints.length]?.name} limit`,
    ])
    .with({ kind: 'full' }, { kind: 'reused-address' }, ({ index }) =>
      [index, index + 1].map((at) => fleet.endpoints[at % fleet.endpoints.length]?.name ?? ''),
    )
    .exhaustive();
}

function listProcesses(fleet: Fleet, target: Target): FleetProcess[] {
  return match(target)
    .with({ kind: 'instance' }, ({ index }) => fleet.instances.slice(index, index + 1))
    .with({ kind: 'endpoints' }, ({ index, count: length }) =>
      fleet.endpoints.slice(index, index + length),
    )
    .with({ kind: 'service' }, ({ index, spared = 0 }) => {
      const served = fleet.endpoints.filter((endpoint) => endpoint.service === SERVICES[index]);
      return served.slice(0, served.length - spared);
    })
    .with({ kind: 'data-centre' }, ({ index }) =>
      fleet.instances.filter((instance) => instance.dataCentre === DATA_CENTRES[index]),
    )
    .with({ kind: 'all-instances' }, () => fleet.instances)
    .exhaustive();
}

function listOldest(fleet: Fleet, service: number): FleetEndpoint[] {
  const endpoints = fleet.endpoints.filter((endpoint) => endpoint.service === SERVICES[service]);
  const [oldest] = endpoints.map(({ version }) => version).sort(compareNumbers);
  return endpoints.filter(({ version }) => version === oldest);
}

function findOtherVersion({ endpoints }: Fleet, { service, version }: FleetEndpoint): string {
  const other = endpoints.find((found) => found.service === service && found.version !== version);
  return other?.version ?? version;
}

function getLink(fleet: Fleet, { link, index }: Extract<Fault, { kind: 'link' }>) {
  const instance = fleet.instances[index];
  const endpoint = fleet.endpoints[index];
  return match(link)
    .with('callers', () => ({
      name: `${instance?.name} link`,
      group: instance?.callersLink.group ?? '',
    }))
    .with('store', () => ({
      name: `${instance?.name} store`,
      group: instance?.storeLink.group ?? '',
    }))
    .with('endpoint', () => ({
      name: `${endpoint?.name} link`,
      group: endpoint?.link.group ?? '',
    }))
    .exhaustive();
}
