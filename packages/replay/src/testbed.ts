import { callHttp } from '@pomeloroad/core';
import type { Deployment } from './deployments';
import type { Link, Rule } from './faultProxy';
import { getSourceAddress, PLATFORM_GROUP } from './groups';
import { INSTANCE_PROGRAM, PROXY_PROGRAM, STANDINS_PROGRAM } from './paths';
import type { Program, Launcher } from './programs';
import { renderConfiguration } from './testbedConfiguration';
import { CONTROL_TIMEOUT_MS, createControlClient, openLink } from './testbedControl';
import { startEndpoints } from './testbedEndpoints';
import type { EndpointOptions, TestbedEndpoint } from './testbedEndpoints';

const OPERATOR_KEY = 'operator-of-the-replay';
const FLEET_KEY = 'fleet-key-of-the-replay';
const FREE_LOCAL_ADDRESS = '127.0.0.1:0';
const MEMBER_EXPIRY_MS = 5000;
const MEMBERSHIP_LAG_MS = 500;

/** Name, place and link of an instance, which it keeps when it is started again. */
export interface PlacedInstance {
  name: string;
  site: string;
  /** Proxy link through which its peers reach it. */
  link: Link;
}

/** A running instance of the fleet. */
export interface TestbedInstance extends PlacedInstance {
  program: Program;
  callersUrl: string;
  operatorsUrl: string;
  /** Whether its last readiness check passed, so that the balancer sends it requests. */
  isReady: boolean;
  /** Whether a fault is stopping, pausing or restarting it; other such faults skip or await it. */
  isClaimed: boolean;
}

/** Settings of the processes of a testbed. */
export interface TestbedOptions extends EndpointOptions {
  /** How grants are sized: `adaptive`, `even` or `central`. */
  grants: string;
  seed: number;
  /** Extra settings of every instance. */
  settings: string[];
  /** Maximum number of concurrent requests of an endpoint. */
  concurrency?: number;
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

  async function startInstance(placed: PlacedInstance): Promise<TestbedInstance> {
    const { name, site, link } = placed;
    const program = await launcher.start(name, INSTANCE_PROGRAM, [
      ...createInstanceArguments(placed, options),
      ...['--source-address', getSourceAddress(sites, site)],
      ...['--seeds', placements.map((other) => other.link.address).join(',')],
      ...['--table-url', `http://${proxiedAddresses.table.address}`],
      ...['--objects-url', `http://${proxiedAddresses.objects.address}`],
      ...['--membership-url', `http://${proxiedAddresses.membership.address}`],
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

  const placements: PlacedInstance[] = [];
  for (const site of deployment.sites) {
    for (let index = 1; index <= site.instances; index += 1) {
      const link = (await control('/links', { group: site.name })) as Link;
      placements.push({ name: `${site.name}-${index}`, site: site.name, link });
    }
  }
  const instances = await Promise.all(placements.map(startInstance));

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
      const started = await startInstance(instance);
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

function createInstanceArguments(
  { name, site, link }: PlacedInstance,
  { grants }: TestbedOptions,
): string[] {
  return [
    'serve',
    ...['--instance', name, '--data-centre', site],
    ...['--callers-address', FREE_LOCAL_ADDRESS, '--peers-address', FREE_LOCAL_ADDRESS],
    ...['--operators-address', FREE_LOCAL_ADDRESS, '--advertised-address', link.address],
    ...['--fleet-key', FLEET_KEY, '--operator-key', OPERATOR_KEY],
    ...['--grants', grants, '--settle-interval', '500', '--drain-notice', '400'],
    ...['--writes-per-second', '40', '--default-deadline', '8000', '--budget-patience', '4000'],
  ];
}

function readPlatformAddresses(program: Program) {
  const { table, objects, membership } = program.listening;
  return { table: String(table), objects: String(objects), membership: String(membership) };
}
