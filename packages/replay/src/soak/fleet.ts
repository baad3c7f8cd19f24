import { writeFileSync } from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import { listen } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { renderSettings } from '@pomeloroad/standins';
import { createFaultProxy } from '../faultProxy';
import type { FaultProxy, Link } from '../faultProxy';
import { BUNDLED_PROGRAM, STANDINS_PROGRAM } from '../paths';
import type { Launcher, Program } from '../programs';

const CALLERS_PORT = 8227;
const READINESS_PORT = 8220;
/** Names of the data centres. */
export const DATA_CENTRES = ['derby', 'leicester'];
/** Services of the endpoints: one that streams and one that answers whole. */
export const SERVICES = ['model', 'board'];
/** No outgoing connection has this address, so a link finds its port free when it listens again. */
const ENDPOINT_LINK_HOST = '127.0.0.2';
/** Shorter than endpoints announce, so that they close connections that are in use. */
const IDLE_TIMEOUT_MS = 700;
/** Number of versions that serve at the start. */
export const FIRST_VERSIONS = 2;
/** Distance between the seeds of the endpoints of two soaks. */
const ENDPOINT_SEEDS = 1000;
const FIRST_SUBNET = 64;
const SUBNETS = 128;

/** Number of processes of each kind. */
export interface FleetSize {
  instances: number;
  endpoints: number;
  /** Share of the endpoints' streams whose end comes some time after their last event. */
  apartShare?: number;
}

/** An instance: a process of the bundled program that may be started again. */
export interface FleetInstance {
  kind: 'instance';
  name: string;
  dataCentre: string;
  readinessAddress: string;
  /** Address of its callers without the proxy. */
  callersAddress: string;
  /** Link of its callers, which is also the group of the link. */
  callersLink: Link;
  storeLink: Link;
  settingsPath: string;
  program: Program;
  /** Program of its next process. */
  script: string;
  /** Whether the balancer sends it new connections. */
  isReady: boolean;
  /** How often its process was started. */
  life: number;
  /** Whether a fault is ending its process. */
  isEnding: boolean;
}

/** An endpoint: a process of the stand-ins that may be started again under its id. */
export interface FleetEndpoint {
  kind: 'endpoint';
  name: string;
  dataCentre: string;
  service: string;
  /** Version of its software; a restart may change it. */
  version: string;
  link: Link;
  program: Program;
  /** Whether a fault is ending its process. */
  isEnding: boolean;
}

/** An endpoint without its process. */
type EndpointPlace = Omit<FleetEndpoint, 'program' | 'isEnding'>;

/** A process of the fleet that faults stop. */
export type FleetProcess = FleetInstance | FleetEndpoint;

/** Returns the name of a version of endpoints' software. */
export function getVersion(number: number): string {
  return `v${number}`;
}

/** The programs of the instances. */
export interface FleetPrograms {
  /** What an instance runs at the start. */
  first: string;
  /** What it runs once it has been started again. */
  next: string;
}

const BUNDLED: FleetPrograms = { first: BUNDLED_PROGRAM, next: BUNDLED_PROGRAM };

/** The running processes of a soak. */
export interface Fleet {
  proxy: FaultProxy;
  storeProgram: Program;
  /** Address of the store without the proxy. */
  store: string;
  instances: FleetInstance[];
  endpoints: FleetEndpoint[];
  /** Starts a process that has ended again, under its name. */
  restart(process: FleetProcess): Promise<void>;
  /**
   * Loads the next process of an endpoint; the function starts it in place of the one that has ended. It has the
   * version and first writes its entry after the delay.
   */
  prepare(endpoint: FleetEndpoint, version: string, listedAfter: Milliseconds): () => Promise<void>;
  /** Starts an endpoint with the version that takes the place of another one, which runs on. */
  replace(old: FleetEndpoint, version: string): Promise<FleetEndpoint>;
  /** Stops the proxy. */
  close(): void;
}

/**
 * Starts the store, the endpoints and the instances, each behind links of one fault proxy. The
 * settings files are written to the directory.
 */
export async function startFleet(
  clock: Clock,
  launcher: Launcher,
  size: FleetSize,
  seed: number,
  directory: string,
  programs: FleetPrograms = BUNDLED,
): Promise<Fleet> {
  const proxy = createFaultProxy(clock, () => 'outside');
  const storeArgs = ['store', '--seed', String(seed)];
  const storeProgram = await launcher.start('store', STANDINS_PROGRAM, storeArgs);
  const store = String(storeProgram.listening.address);
  const { subnet, release } = await claimSubnet();

  function listArguments({ name, service, version, dataCentre, link }: EndpointPlace): string[] {
    return [
      'endpoint',
      ...['--id', name, '--service', service, '--data-centre', dataCentre],
      ...['--software', version],
      ...['--store', store, '--advertised', link.address, '--idle', String(IDLE_TIMEOUT_MS)],
      ...['--seed', String(seed * ENDPOINT_SEEDS + Number(name.split('-').at(-1)))],
      ...['--apart', String(size.apartShare ?? 0)],
    ];
  }

  async function startEndpoint(endpoint: EndpointPlace): Promise<Program> {
    const args = listArguments(endpoint);
    return connect(endpoint, await launcher.start(endpoint.name, STANDINS_PROGRAM, args));
  }

  // Sends what comes for the endpoint to the program, until that ends.
  function connect({ link }: EndpointPlace, program: Program): Program {
    proxy.setTarget(link.id, String(program.listening.address));
    program.exited.then(() => proxy.refuse(link.id));
    return program;
  }

  // Each service has endpoints in each data centre; two versions of it serve if there are enough.
  function addEndpoint(index: number): Promise<FleetEndpoint> {
    const round = Math.floor(index / DATA_CENTRES.length);
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
    const service = SERVICES[round % SERVICES.length] ?? '';
    const version = getVersion((Math.floor(round / SERVICES.length) % FIRST_VERSIONS) + 1);
    return createEndpoint({ dataCentre, service, version });
  }

  async function createEndpoint(
    place: Pick<FleetEndpoint, 'dataCentre' | 'service' | 'version'>,
  ): Promise<FleetEndpoint> {
    endpointsStarted += 1;
    const name = `endpoint-${endpointsStarted}`;
    const link = await proxy.addLink(name, ENDPOINT_LINK_HOST);
    const endpoint = { kind: 'endpoint' as const, name, ...place, link };
    return { ...endpoint, program: await startEndpoint(endpoint), isEnding: false };
  }

  async function addInstance(index: number): Promise<FleetInstance> {
    const name = `instance-${index + 1}`;
    const site = index % DATA_CENTRES.length;
    const dataCentre = DATA_CENTRES[site] ?? '';
    const ip = `127.${subnet}.${site + 1}.${index + 1}`;
    const callersAddress = `${ip}:${CALLERS_PORT}`;
    const readinessAddress = `${ip}:${READINESS_PORT}`;
    const callersLink = await proxy.addLink(name);
    const storeLink = await proxy.addLink(`store of ${name}`);
    proxy.setTarget(callersLink.id, callersAddress);
    proxy.setTarget(storeLink.id, store);
    const settingsPath = path.join(directory, `${name}.toml`);
    const storeAddress = storeLink.address;
    const settings = { instance: name, dataCentre, ip, callersAddress, readinessAddress };
    writeFileSync(settingsPath, renderSettings({ ...settings, storeAddress }));
    const program = await startInstance(name, programs.first, settingsPath);
    const links = { callersLink, storeLink };
    const files = { settingsPath, script: programs.next };
    const addresses = { readinessAddress, callersAddress };
    const fields = { name, dataCentre, ...addresses, program, ...files, ...links };
    return { kind: 'instance', ...fields, isReady: false, life: 1, isEnding: false };
  }

  function startInstance(name: string, script: string, settingsPath: string): Promise<Program> {
    return launcher.start(name, script, ['--settings', settingsPath]);
  }

  let endpointsStarted = 0;
  const createIndexes = (length: number) => Array.from({ length }, (_, index) => index);
  function close(): void {
    proxy.close();
    release();
  }

  // What still listens would keep this process alive.
  const closeOnError = (error: Error) => {
    close();
    throw error;
  };
  const adding = createIndexes(size.endpoints).map(addEndpoint);
  const endpoints = await Promise.all(adding).catch(closeOnError);
  const starting = createIndexes(size.instances).map(addInstance);
  const instances = await Promise.all(starting).catch(closeOnError);
  return {
    proxy,
    storeProgram,
    store,
    endpoints,
    instances,
    async restart(stopped) {
      const fleetProcess = stopped;
      if (fleetProcess.kind === 'instance') fleetProcess.life += 1;
      fleetProcess.program =
        fleetProcess.kind === 'instance'
          ? await startInstance(fleetProcess.name, fleetProcess.script, fleetProcess.settingsPath)
          : await startEndpoint(fleetProcess);
    },
    prepare(renewed, version, listedAfter) {
      const endpoint = renewed;
      const args = listArguments({ ...endpoint, version });
      const waiting = [...args, '--listed-after', String(listedAfter), '--waits'];
      const start = launcher.prepare(endpoint.name, STANDINS_PROGRAM, waiting);
      return async () => {
        endpoint.program = connect(endpoint, await start());
        endpoint.version = version;
      };
    },
    async replace(old, version) {
      const { dataCentre, service } = old;
      const endpoint = await createEndpoint({ dataCentre, service, version });
      endpoints.splice(endpoints.indexOf(old), 1, endpoint);
      return endpoint;
    },
    close,
  };
}

// Soaks on one machine use different subnets, since the metrics' port is fixed.
async function claimSubnet(): Promise<{ subnet: number; release(): void }> {
  for (let step = 0; step < SUBNETS; step += 1) {
    const subnet = FIRST_SUBNET + ((process.pid + step) % SUBNETS);
    const server = http.createServer();
    const listening = listen(server, `127.${subnet}.0.1:${CALLERS_PORT}`);
    const isFree = await listening.then(
      () => true,
      () => false,
    );
    if (isFree) return { subnet, release: () => server.close() };
  }
  throw new Error('another soak uses each subnet');
}
