import { Err } from 'ts-results';
import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import type { Clock, Milliseconds, Tokens } from '@pomeloroad/core';
import { GRANT_TABLE } from '@pomeloroad/budgets';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { startForwardInstance } from '../src';
import type {
  Attempt,
  Caller,
  EndpointRecord,
  ForwardConfiguration,
  ForwardInstance,
  ForwardRequest,
  ForwardService,
} from '../src';
import {
  ACCOUNT,
  createConfiguration,
  createEndpoint,
  createFaultyRows,
  createProcessClock,
  createProtocol,
  createRequest,
  INPUT,
  OUTPUT,
  REQUEST_TIMEOUT_MS,
} from './accountsParts';
import type { Work } from './accountsParts';

const INSTANCES = 3;
const TIME_LIMIT_MS: Milliseconds = 5000;
const START_TIME_MS: Milliseconds = 1000;
const STOP_TIME_MS: Milliseconds = 3000;
const SERVICES = ['llm', 'board'];

interface Process {
  instance: ForwardInstance<Work>;
  clock: Clock;
  name: string;
  incarnation: string;
  isAlive: boolean;
  /** Tokens that its callers were delivered. */
  delivered: Tokens;
  /** Tokens that it may charge beyond these: for streams taken up at a service that is dropped. */
  tolerance: Tokens;
  open: number;
}

/** A stream that has ended at one caller, as far as it has come there. */
interface Stream {
  id: string;
  events: number;
  work: Work;
}

/** Instances on a manual clock that share one store, with endpoints and callers in the same process. */
export function createAccounts(services: ForwardService[], prepaid: Tokens) {
  const clock = createManualClock();
  const memory = createMemoryRowStore(() => clock.elapsed());
  const store = createFaultyRows(clock, memory);
  /** Tokens in each event of a service's endpoints, by all versions of the configuration so far. */
  const strides = new Map<string, Set<Tokens>>();
  noteStrides(services);
  let configuration = createConfiguration(1, services, prepaid);
  let started = 0;
  let requests = 0;
  let delivered = 0;
  let takenUp = 0;
  const processes: Process[] = [];
  const members: Process[] = [];
  /** Streams of which a caller has events. */
  const streams: Stream[] = [];

  async function put(table: string, key: string, value: unknown): Promise<void> {
    const row = { table, partition: '', key, value: JSON.stringify(value) };
    await memory.transact({ checks: [], puts: [row], removals: [] });
  }

  function noteStrides(configured: ForwardService[]): void {
    configured.forEach(({ name, tokensPerEvent }) => {
      strides.set(name, new Set([...(strides.get(name) ?? []), tokensPerEvent]));
    });
  }

  async function configure(next: ForwardService[], limit: Tokens): Promise<void> {
    configuration = createConfiguration(configuration.version + 1, next, limit);
    noteStrides(next);
    await put('op', 'config', configuration);
  }

  function start(name: string): Process {
    started += 1;
    const incarnation = `life-${started}`;
    const process = {
      name,
      incarnation,
      isAlive: true,
      delivered: 0,
      tolerance: 0,
      open: 0,
    } as Process;
    const isAlive = () => process.isAlive;
    process.clock = createProcessClock(clock, isAlive);
    process.instance = startForwardInstance<Work>({
      clock: process.clock,
      random: createRandom(started),
      log: createSilentLog(),
      rows: store.createRows(name, isAlive),
      connect: async () => Err({ kind: 'failed', message: 'no network' }),
      openTunnel: async () => Err('unreachable'),
      createProtocol: () => createProtocol(process.clock, getStride),
      instance: name,
      incarnation,
      dataCentre: 'kent',
      tables: { configuration: 'op', endpoints: 'servers' },
      decodeConfiguration: ({ value }) => JSON.parse(value) as ForwardConfiguration,
      decodeEndpoint: ({ value }) => JSON.parse(value) as EndpointRecord,
      getRetryAllowance: () => ({ window: 10_000, ratio: 1, extra: 1000 }),
      getConfigurationDelayLimit: () => 2000,
    });
    processes.push(process);
    return process;
  }

  function kill(index: number): void {
    members[index]!.isAlive = false;
  }

  function restart(index: number): void {
    members[index] = start(members[index]!.name);
  }

  /** Sends a request to an instance; its caller leaves after so many events. */
  async function ask(index: number, work: Work, leavesAfter: number): Promise<void> {
    const found = findTarget(index);
    if (!found) return;
    const { stride, route, service } = found;
    const fields = { id: createRequestId(), route, service, payload: { ...work, stride } };
    await forward(index, createRequest(members[index]!.clock, fields), leavesAfter);
  }

  /**
   * Takes up a stream at an instance, if the events of its service were always of one size; else
   * nothing tells how large the events are that its endpoint sends now.
   */
  async function takeUp(index: number, pick: number): Promise<void> {
    const found = findTarget(index);
    const unfinished = streams.filter(({ events, work }) => events < work.events);
    const stream = unfinished[pick % Math.max(1, unfinished.length)];
    if (!found || !stream || [...strides.values()].some(({ size }) => size > 1)) return;
    const { route, service } = found;
    const process = members[index]!;
    const fields = { id: createRequestId(), route, service, payload: stream.work };
    const request = createRequest(process.clock, fields);
    process.tolerance += OUTPUT;
    const resumed = { ...request, resumes: stream.id, resumeAfter: `${stream.events}` };
    await forward(index, resumed, Infinity);
  }

  function findTarget(index: number) {
    const table = members[index]!.instance.getTable();
    const route = table?.configuration.routes[0];
    const service = route?.targets[0]?.service;
    const stride = table?.findService(service ?? '')?.tokensPerEvent;
    return route && service && stride !== undefined ? { route, service, stride } : undefined;
  }

  function createRequestId(): string {
    requests += 1;
    return `request-${requests}`;
  }

  async function forward(
    index: number,
    request: ForwardRequest<Work>,
    leavesAfter: number,
  ): Promise<void> {
    const process = members[index]!;
    const leaving = new AbortController();
    const before = Number(request.resumeAfter ?? 0);
    let events = 0;
    let output = 0;
    function deliver(tokens: Tokens): void {
      if (!process.isAlive) return;
      process.delivered += tokens;
      delivered += tokens;
    }
    const caller: Caller = {
      signal: leaving.signal,
      answer: () => deliver(INPUT),
      refuse: () => undefined,
      begin: () => deliver(INPUT),
      async write(data) {
        const sizes = data.toString().trim().split('\n').map(Number);
        sizes.forEach((size) => {
          deliver(Math.min(OUTPUT - output, size));
          output = Math.min(OUTPUT, output + size);
        });
        events += sizes.length;
        if (events >= leavesAfter) leaving.abort();
      },
      end: () => undefined,
      cut: () => undefined,
    };
    process.open += 1;
    await process.instance.forward(request, caller);
    process.open -= 1;
    if (request.resumes && events > 0) takenUp += 1;
    if (events === 0 || request.resumes) return;
    const { id, payload } = request;
    streams.push({ id, events: before + events, work: payload });
  }

  // Tokens of an event: by the configuration where the stream began, or of the only size there was.
  function getStride({ request, endpoint }: Attempt<Work>): Tokens {
    if (!request.resumes && request.payload.stride) return request.payload.stride;
    const [stride = 0] = strides.get(endpoint.service) ?? [];
    return stride;
  }

  async function sumHeld(incarnation: string): Promise<Tokens> {
    const { rows } = (await memory.list(GRANT_TABLE, ACCOUNT)).unwrap();
    const row = rows.find(({ key }) => key === incarnation);
    return row ? (JSON.parse(row.value) as { held: Tokens }).held : 0;
  }

  /** Lets all requests end and stops the instances; returns what is still reserved where. */
  async function finish(): Promise<string[]> {
    store.repair();
    await clock.advance(REQUEST_TIMEOUT_MS + TIME_LIMIT_MS);
    const living = members.filter(({ isAlive }) => isAlive);
    const stopped = Promise.all(living.map(({ instance }) => instance.stop(STOP_TIME_MS)));
    await clock.advance(STOP_TIME_MS);
    await stopped;
    const left: string[] = [];
    for (const process of living) {
      const held = await sumHeld(process.incarnation);
      if (process.open > 0) left.push(`${process.name}: ${process.open} requests are open`);
      const { delivered: least, tolerance } = process;
      if (held < least || held > least + tolerance)
        left.push(`${process.name} holds ${held}, delivered ${least}`);
    }
    for (const process of processes) process.isAlive = false;
    return left;
  }

  async function begin(): Promise<void> {
    await put('op', 'config', configuration);
    for (const service of SERVICES) {
      for (const index of [1, 2])
        await put('servers', `${service}-${index}`, createEndpoint(service, index));
    }
    for (let index = 0; index < INSTANCES; index += 1) members.push(start(`instance-${index}`));
    await clock.advance(START_TIME_MS);
  }

  return {
    clock,
    store,
    members,
    begin,
    configure,
    kill,
    restart,
    ask,
    takeUp,
    finish,
    getDelivered: () => delivered,
    countStreams: () => streams.length,
    countTakenUp: () => takenUp,
  };
}
