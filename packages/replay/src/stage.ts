import { callHttp, hashText } from '@pomeloroad/core';
import { stringify } from 'yaml';
import type { Deployment } from './deployments';
import { getSecret } from './deployments';
import type { Link, Rule } from './faultProxy';
import { getSourceAddress, PLATFORM_GROUP } from './groups';
import { INSTANCE_PROGRAM, PROXY_PROGRAM, STANDINS_PROGRAM } from './paths';
import type { Program, Programs } from './programs';

const OPERATOR_KEY = 'operator-of-the-replay';
const FLEET_KEY = 'fleet-key-of-the-replay';
const FREE_PORT = '127.0.0.1:0';
const CONTROL_TIMEOUT_MS = 15_000;
const MEMBER_EXPIRY_MS = 5000;
const MEMBERSHIP_LAG_MS = 500;

/** An instance of the fleet. */
export interface StageInstance {
  name: string;
  site: string;
  link: Link;
  program: Program;
  callersUrl: string;
  operatorsUrl: string;
  /** Whether the balancer sends it requests. */
  isReady: boolean;
  /** Whether a fault has stopped it or is restarting it. */
  isInHand: boolean;
}

/** A model engine or a server of the plain service. */
export interface StageEndpoint {
  name: string;
  site: string;
  kind: 'engine' | 'service';
  program: Program;
  /** Where the replay reads its record. */
  url: string;
  /** Where instances reach it. */
  address: string;
}

/** How the instances of a replay are set. */
export interface StageOptions {
  grants: string;
  seed: number;
  /** Extra settings of every instance. */
  settings: string[];
  /** Extra arguments of every engine. */
  engineArgs?: string[];
  /** Requests that an endpoint takes at the same time. */
  concurrency?: number;
  /** Whether instances reach endpoints without the proxy, so that it does not count. */
  isDirect?: boolean;
}

/** All processes of a replay. */
export interface Stage {
  deployment: Deployment;
  instances: StageInstance[];
  endpoints: StageEndpoint[];
  /** The platform's services without the proxy, for the judge. */
  platform: { table: string; objects: string; membership: string };
  platformProgram: Program;
  setRules(rules: Rule[]): Promise<void>;
  silence(from: string, to: string): Promise<void>;
  setPlatformFaults(services: PlatformService[], faults: Record<string, unknown>): Promise<void>;
  /** Starts an instance of this name again. */
  restart(instance: StageInstance): Promise<void>;
  callOperator(
    instance: StageInstance,
    method: string,
    path: string,
    body?: string,
  ): Promise<{ status: number; body: unknown } | undefined>;
  createFile(weight: number): string;
}

/** A service of the platform. */
export type PlatformService = 'table' | 'objects' | 'membership';

/** Starts the whole deployment. */
export async function startStage(
  programs: Programs,
  deployment: Deployment,
  options: StageOptions,
): Promise<Stage> {
  const sites = deployment.sites.map((site) => site.name);
  const proxy = await programs.start('proxy', PROXY_PROGRAM, sites);
  const control = createControl(`http://${String(proxy.listening.address)}`);
  const platformArgs = ['platform', '--seed', options.seed, '--lag', MEMBERSHIP_LAG_MS];
  const platformProgram = await programs.start('platform', STANDINS_PROGRAM, [
    ...platformArgs.map(String),
    '--expiry',
    String(MEMBER_EXPIRY_MS),
  ]);
  const direct = readAddresses(platformProgram);
  const linked = {
    table: await openLink(control, PLATFORM_GROUP, direct.table),
    objects: await openLink(control, PLATFORM_GROUP, direct.objects),
    membership: await openLink(control, PLATFORM_GROUP, direct.membership),
  };
  const endpoints = await startEndpoints(programs, control, deployment, options);

  async function startInstance(name: string, site: string, link: Link): Promise<StageInstance> {
    const program = await programs.start(name, INSTANCE_PROGRAM, [
      'serve',
      ...['--instance', name, '--data-centre', site],
      ...['--callers-address', FREE_PORT, '--peers-address', FREE_PORT],
      ...['--operators-address', FREE_PORT, '--advertised-address', link.address],
      ...['--source-address', getSourceAddress(sites, site)],
      ...['--seeds', links.map((other) => other.link.address).join(',')],
      ...['--table-url', `http://${linked.table.address}`],
      ...['--objects-url', `http://${linked.objects.address}`],
      ...['--membership-url', `http://${linked.membership.address}`],
      ...['--fleet-key', FLEET_KEY, '--operator-key', OPERATOR_KEY],
      ...['--grants', options.grants, '--settle-interval', '500', '--drain-notice', '400'],
      ...['--writes-per-second', '40', '--default-deadline', '8000', '--budget-patience', '4000'],
      ...options.settings,
    ]);
    const { listening } = program;
    await control('/target', { link: link.id, target: String(listening.peersAddress) });
    const callersUrl = `http://${String(listening.callersAddress)}`;
    const operatorsUrl = `http://${String(listening.operatorsAddress)}`;
    return { name, site, link, program, callersUrl, operatorsUrl, isReady: false, isInHand: false };
  }

  const links: { name: string; site: string; link: Link }[] = [];
  for (const site of deployment.sites) {
    for (let index = 1; index <= site.instances; index += 1) {
      const link = (await control('/links', { group: site.name })) as Link;
      links.push({ name: `${site.name}-${index}`, site: site.name, link });
    }
  }
  const instances = await Promise.all(
    links.map(({ name, site, link }) => startInstance(name, site, link)),
  );

  return {
    deployment,
    instances,
    endpoints,
    platform: {
      table: `http://${direct.table}`,
      objects: `http://${direct.objects}`,
      membership: `http://${direct.membership}`,
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
        createControl(`http://${direct[service]}`)('/standin/faults', faults),
      );
      await Promise.all(calls);
    },
    async restart(instance) {
      const started = await startInstance(instance.name, instance.site, instance.link);
      Object.assign(instance, { ...started, isInHand: instance.isInHand });
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
    createFile: (weight) => createFile(deployment, endpoints, weight, options.concurrency),
  };
}

type Control = (path: string, body: unknown) => Promise<unknown>;

function createControl(url: string): Control {
  return async (path, body) => {
    const text = JSON.stringify(body);
    const call = { method: 'PUT', url: `${url}${path}`, body: text, timeout: CONTROL_TIMEOUT_MS };
    const answer = await callHttp(call);
    return JSON.parse(answer.unwrap().body.toString()) as unknown;
  };
}

async function openLink(control: Control, group: string, target: string): Promise<Link> {
  const link = (await control('/links', { group })) as Link;
  await control('/target', { link: link.id, target });
  return link;
}

function readAddresses(program: Program) {
  const { table, objects, membership } = program.listening;
  return { table: String(table), objects: String(objects), membership: String(membership) };
}

async function startEndpoints(
  programs: Programs,
  control: Control,
  deployment: Deployment,
  options: StageOptions,
): Promise<StageEndpoint[]> {
  const starts = deployment.sites.flatMap((site) => {
    const start = async (kind: StageEndpoint['kind'], index: number): Promise<StageEndpoint> => {
      const name = `${site.name}-${kind}-${index + 1}`;
      const program = await programs.start(name, STANDINS_PROGRAM, [
        kind,
        ...(kind === 'engine' ? (options.engineArgs ?? []) : []),
      ]);
      const target = String(program.listening.address);
      const link = await openLink(control, site.name, target);
      const address = options.isDirect ? target : link.address;
      return { name, site: site.name, kind, program, url: `http://${target}`, address };
    };
    const engines = Array.from({ length: site.engines }, (_, index) => start('engine', index));
    const services = Array.from({ length: site.services }, (_, index) => start('service', index));
    return [...engines, ...services];
  });
  return Promise.all(starts);
}

function createFile(
  deployment: Deployment,
  endpoints: StageEndpoint[],
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
