import { callHttp, hashText } from '@pomeloroad/core';
import { stringify } from 'yaml';
import type { Deployment } from './deployments';
import { getSecret } from './deployments';
import type { Link, Rule } from './faultProxy';
import { getSourceAddress, PLATFORM_GROUP } from './groups';
import { INSTANCE_PROGRAM, PROXY_PROGRAM, STANDINS_PROGRAM } from './paths';
import type { Program, Launcher } from './programs';

const OPERATOR_KEY = 'operator-of-the-replay';
const FLEET_KEY = 'fleet-key-of-the-replay';
const FREE_LOCAL_ADDRESS = '127.0.0.1:0';
const CONTROL_TIMEOUT_MS = 15_000;
const MEMBER_EXPIRY_MS = 5000;
const MEMBERSHIP_LAG_MS = 500;

/** A running instance of the fleet. */
export interface TestbedInstance {
  name: string;
  site: string;
  /** Proxy link through which its peers reach it. */
  link: Link;
  program: Program;
  callersUrl: string;
  operatorsUrl: string;
  /** Whether its last readiness check passed, so that the balancer sends it requests. */
  isReady: boolean;
  /** Whether a fault is stopping, pausing or restarting it; other such faults skip or await it. */
  isClaimed: boolean;
}

/** A running model engine or server of the plain service. */
export interface TestbedEndpoint {
  name: string;
  site: string;
  kind: 'engine' | 'service';
  program: Program;
  /** URL without the proxy, at which the replay reads the endpoint's record. */
  url: string;
  /** Address at which instances reach it. */
  address: string;
}

/** Settings of the processes of a testbed. */
export interface TestbedOptions {
  /** How grants are sized: `adaptive`, `even` or `central`. */
  grants: string;
  seed: number;
  /** Extra settings of every instance. */
  settings: string[];
  /** Extra arguments of every engine. */
  engineArgs?: string[];
  /** Maximum number of concurrent requests of an endpoint. */
  concurrency?: number;
  /** Whether instances reach endpoints without the proxy, which would distort measurements. */
  isDirect?: boolean;
}

/** The running processes of a deployment and the means to control them. */
export interface Testbed {
  deployment: Deployment;
  instances: TestbedInstance[];
  endpoints: TestbedEndpoint[];
  /** URLs of the platform's services without the proxy, so that partitions do not affect reads. */
  platform: { table: string; objects: string; membership: string };
  platformProgram: Program;
  /** Replaces all rules of the fault proxy. */
  setRules(rules: Rule[]): Promise<void>;
  /** Makes the proxy drop all further bytes on open connections between two groups. */
  silence(from: string, to: string): Promise<void>;
  setPlatformFaults(services: PlatformService[], faults: Record<string, unknown>): Promise<void>;
  /** Starts a new process for an instance that has exited and updates the instance in place. */
  restart(instance: TestbedInstance): Promise<void>;
  /** Calls an operator endpoint of an instance; `undefined` if there was no answer. */
  callOperator(
    instance: TestbedInstance,
    method: string,
    path: string,
    body?: string,
  ): Promise<{ status: number; body: unknown } | undefined>;
  /** Returns a configuration as YAML in which the first account has the given weight. */
  renderConfiguration(weight: number): string;
}

/** Name of a service of the platform. */
export type PlatformService = 'table' | 'objects' | 'membership';

/** Starts the proxy, the platform, the endpoints and the instances of a deployment. */
export async function startTestbed(
  launcher: Launcher,
  deployment: Deployment,
  options: TestbedOptions,
): Promise<Testbed> {
  const sites = deployment.sites.map((site) => site.name);
  const proxy = await launcher.start('proxy', PROXY_PROGRAM, sites);
  const control = createControlClient(`http://${String(proxy.listening.address)}`);
  const platformArgs = ['platform', '--seed', options.seed, '--lag', MEMBERSHIP_LAG_MS];
  const platformProgram = await launcher.start('platform', STANDINS_PROGRAM, [
    ...platformArgs.map(String),
    '--expiry',
    String(MEMBER_EXPIRY_MS),
  ]);
  const directAddresses = readPlatformAddresses(platformProgram);
  const proxiedAddresses = {
    table: await openLink(control, PLATFORM_GROUP, directAddresses.table),
    objects: await openLink(control, PLATFORM_GROUP, directAddresses.objects),
    membership: await openLink(control, PLATFORM_GROUP, directAddresses.membership),
  };
  const endpoints = await startEndpoints(launcher, control, deployment, options);

  async function startInstance(name: string, site: string, link: Link): Promise<TestbedInstance> {
    const program = await launcher.start(name, INSTANCE_PROGRAM, [
      'serve',
      ...['--instance', name, '--data-centre', site],
      ...['--callers-address', FREE_LOCAL_ADDRESS, '--peers-address', FREE_LOCAL_ADDRESS],
      ...['--operators-address', FREE_LOCAL_ADDRESS, '--advertised-address', link.address],
      ...['--source-address', getSourceAddress(sites, site)],
      ...['--seeds', instanceLinks.map((other) => other.link.address).join(',')],
      ...['--table-url', `http://${proxiedAddresses.table.address}`],
      ...['--objects-url', `http://${proxiedAddresses.objects.address}`],
      ...['--membership-url', `http://${proxiedAddresses.membership.address}`],
      ...['--fleet-key', FLEET_KEY, '--operator-key', OPERATOR_KEY],
      ...['--grants', options.grants, '--settle-interval', '500', '--drain-notice', '400'],
      ...['--writes-per-second', '40', '--default-deadline', '8000', '--budget-patience', '4000'],
      ...options.settings,
    ]);
    const { listening } = program;
    await control('/target', { link: link.id, target: String(listening.peersAddress) });
    const callersUrl = `http://${String(listening.callersAddress)}`;
    const operatorsUrl = `http://${String(listening.operatorsAddress)}`;
    return {
      name,
      site,
      link,
      program,
      callersUrl,
      operatorsUrl,
      isReady: false,
      isClaimed: false,
    };
  }

  const instanceLinks: { name: string; site: string; link: Link }[] = [];
  for (const site of deployment.sites) {
    for (let index = 1; index <= site.instances; index += 1) {
      const link = (await control('/links', { group: site.name })) as Link;
      instanceLinks.push({ name: `${site.name}-${index}`, site: site.name, link });
    }
  }
  const instances = await Promise.all(
    instanceLinks.map(({ name, site, link }) => startInstance(name, site, link)),
  );

  return {
    deployment,
    instances,
    endpoints,
    platform: {
      table: `http://${directAddresses.table}`,
      objects: `http://${directAddresses.objects}`,
      membership: `http://${directAddresses.membership}`,
    },
    platformProgram,
    async setRules(rules) {
      await control('/rules', { rules });
    },
    async silence(from, to) {
      await control('/silence', { from, to });
    },
    async setPlatformFaults(services, faults) {
      const calls = services.map((service) =>
        createControlClient(`http://${directAddresses[service]}`)('/standin/faults', faults),
      );
      await Promise.all(calls);
    },
    async restart(instance) {
      const started = await startInstance(instance.name, instance.site, instance.link);
      Object.assign(instance, { ...started, isClaimed: instance.isClaimed });
    },
    async callOperator(instance, method, path, body) {
      const answer = await callHttp({
        method,
        url: `${instance.operatorsUrl}${path}`,
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body,
        timeout: CONTROL_TIMEOUT_MS,
      });
      if (answer.err) return undefined;
      return { status: answer.val.status, body: JSON.parse(answer.val.body.toString()) as unknown };
    },
    renderConfiguration: (weight) =>
      renderConfiguration(deployment, endpoints, weight, options.concurrency),
  };
}

// Sends a PUT request to a control path and resolves to the parsed answer; rejects on failure.
type ControlClient = (path: string, body: unknown) => Promise<unknown>;

function createControlClient(url: string): ControlClient {
  return async (path, body) => {
    const text = JSON.stringify(body);
    const call = { method: 'PUT', url: `${url}${path}`, body: text, timeout: CONTROL_TIMEOUT_MS };
    const answer = await callHttp(call);
    return JSON.parse(answer.unwrap().body.toString()) as unknown;
  };
}

async function openLink(control: ControlClient, group: string, target: string): Promise<Link> {
  const link = (await control('/links', { group })) as Link;
  await control('/target', { link: link.id, target });
  return link;
}

function readPlatformAddresses(program: Program) {
  const { table, objects, membership } = program.listening;
  return { table: String(table), objects: String(objects), membership: String(membership) };
}

async function startEndpoints(
  launcher: Launcher,
  control: ControlClient,
  deployment: Deployment,
  options: TestbedOptions,
): Promise<TestbedEndpoint[]> {
  const starting = deployment.sites.flatMap((site) => {
    const startEndpoint = async (
      kind: TestbedEndpoint['kind'],
      index: number,
    ): Promise<TestbedEndpoint> => {
      const name = `${site.name}-${kind}-${index + 1}`;
      const program = await launcher.start(name, STANDINS_PROGRAM, [
        kind,
        ...(kind === 'engine' ? (options.engineArgs ?? []) : []),
      ]);
      const target = String(program.listening.address);
      const link = await openLink(control, site.name, target);
      const address = options.isDirect ? target : link.address;
      return { name, site: site.name, kind, program, url: `http://${target}`, address };
    };
    const engines = Array.from({ length: site.engines }, (_, index) =>
      startEndpoint('engine', index),
    );
    const services = Array.from({ length: site.services }, (_, index) =>
      startEndpoint('service', index),
    );
    return [...engines, ...services];
  });
  return Promise.all(starting);
}

function renderConfiguration(
  deployment: Deployment,
  endpoints: TestbedEndpoint[],
  weight: number,
  concurrency?: number,
): string {
  const { accounts, model, service } = deployment;
  return stringify({
    accounts: accounts.map((client, index) => ({
      name: client.name,
      weight: index === 0 ? weight : 1,
      budgets: client.budgets.map((budget) => budget.name),
      keys: [
        {
          name: 'replay',
          hash: hashText(getSecret(client.name)),
          budget: client.budgets[0]?.name,
        },
      ],
    })),
    pools: [{ model }],
    services: [{ name: service }],
    endpoints: endpoints.map(({ name, kind, site, address }) => ({
      name,
      kind,
      dataCentre: site,
      address,
      concurrency,
      ...(kind === 'engine' ? { models: [model] } : { service }),
    })),
  });
}
