import { match } from 'ts-pattern';
import { Diagnostics, getOwner, hashText } from '@pomeloroad/core';
import type { Clock, Identity, Log, Milliseconds } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { intersectConfigurations } from './intersect';
import { parseConfiguration } from './parse';
import type { ConfigurationStore, StoredState } from './store';
import { ConfigurationTopics } from './topics';
import type { Acknowledgement, Notice, RelayRequest, VersionFile, VersionState } from './topics';
import type { Configuration, VersionRow } from './types';

const NOTICE_TIMEOUT_MS = 1000;
const STATE_TIMEOUT_MS = 1000;
/** How long a staged version may stay without a verdict before only what both allow is served. */
const DOUBT_AFTER_MS = 3000;
/** Age at which a proposal whose coordinator is gone is withdrawn. */
const STALE_PROPOSAL_MS = 10_000;
/** How often an instance that is no relay reads the platform itself, in polls of the relay. */
const POLLS_BETWEEN_READS = 10;

/** What distribution needs from its surroundings. */
export interface DistributorHost {
  clock: Clock;
  log: Log;
  self: Identity;
  network: PeerNetwork;
  store: ConfigurationStore;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
  getInstances(): Identity[];
  onChange(): void;
}

/** The configuration of one instance: what is in force here and how it got here. */
export interface Distributor {
  /** What to serve by; `undefined` until a first version is known. */
  getConfiguration(): Configuration | undefined;
  getVersion(): number;
  getText(): string;
  getDrains(): Record<string, string>;
  /** Reads the platform and the peers, and passes on what is new. */
  poll(): Promise<void>;
  /** Reads the platform now and passes on what is new. */
  refresh(): Promise<void>;
  /** Reads which endpoints are drained and tells every instance. */
  announceDrains(): Promise<void>;
  /** Sends a notice to every given instance through the relays of their data centres. */
  announce(notice: Notice, instances: Identity[]): Promise<Acknowledgement[]>;
  describe(): DistributorStatus;
}

/** The configuration as the dump shows it. */
export interface DistributorStatus {
  version: number;
  digest: string;
  staged: number;
  isInDoubt: boolean;
  isRelay: boolean;
}

interface Loaded {
  file: VersionFile;
  configuration: Configuration;
}

/** Creates the distributor and answers the notices of others. */
export function createDistributor(host: DistributorHost): Distributor {
  const { clock, log, self, network, store } = host;
  let inForce: Loaded | undefined;
  let staged: (Loaded & { at: Milliseconds }) | undefined;
  let mixed: Configuration | undefined;
  let drains: Record<string, string> = {};
  let polls = 0;

  network.handle(ConfigurationTopics.notice, async (_from, notice) => obey(notice));
  network.handle(ConfigurationTopics.relay, async (_from, request) => relay(request));
  network.handle(ConfigurationTopics.state, async () => getState());

  function obey(notice: Notice): Acknowledgement {
    const fault = applyNotice(notice);
    return { instance: self.instance, isDone: fault === undefined, reason: fault ?? '' };
  }

  function applyNotice(notice: Notice): string | undefined {
    return match(notice)
      .with({ kind: 'stage' }, ({ file }) => stage(file))
      .with({ kind: 'accept' }, ({ file }) => install(file))
      .with({ kind: 'withdraw' }, ({ version }) => dropStaged(version))
      .with({ kind: 'drains' }, (next) => setDrains(next.drains))
      .exhaustive();
  }

  function stage(file: VersionFile): string | undefined {
    const { version } = file.version;
    if (version <= getVersion()) return `serves version ${getVersion()}`;
    if (staged && staged.file.version.version > version) return 'a later version is staged';
    const loaded = load(file);
    if (!loaded) return 'the file does not pass the checks of this instance';
    staged = { ...loaded, at: clock.elapsed() };
    log(Diagnostics.configurationStaged, { version });
    return undefined;
  }

  function install(file: VersionFile): string | undefined {
    const { version } = file.version;
    if (version <= getVersion()) return undefined;
    const loaded = staged?.file.version.digest === file.version.digest ? staged : load(file);
    if (!loaded) return 'the file does not pass the checks of this instance';
    inForce = { file, configuration: loaded.configuration };
    if (staged && staged.file.version.version <= version) staged = undefined;
    mixed = undefined;
    log(Diagnostics.configurationAccepted, { version });
    host.onChange();
    return undefined;
  }

  function dropStaged(version: number): undefined {
    if (staged?.file.version.version !== version) return;
    staged = undefined;
    mixed = undefined;
    log(Diagnostics.configurationWithdrawn, { version });
    host.onChange();
  }

  function getVersion(): number {
    return inForce?.file.version.version ?? 0;
  }

  function getState(): VersionState {
    return { inForce: inForce?.file, staged: staged?.file };
  }

  function setDrains(next: Record<string, string>): undefined {
    if (JSON.stringify(next) === JSON.stringify(drains)) return;
    drains = next;
    host.onChange();
  }

  function isRelay(): boolean {
    return getRelay(host.getLocalInstances()) === self.instance;
  }

  async function relay({ notice, instances }: RelayRequest): Promise<Acknowledgement[]> {
    return Promise.all(instances.map((instance) => notify(instance, notice)));
  }

  async function notify(instance: string, notice: Notice): Promise<Acknowledgement> {
    const { notice: topic } = ConfigurationTopics;
    const reply = await network.call(instance, topic, notice, NOTICE_TIMEOUT_MS);
    return reply.ok ? reply.val : { instance, isDone: false, reason: reply.val.message };
  }

  async function announceTo(notice: Notice, instances: string[]): Promise<Acknowledgement[]> {
    const relayInstance = getRelay(instances.filter((instance) => network.isConnected(instance)));
    if (relayInstance === undefined) {
      return instances.map((instance) => ({ instance, isDone: false, reason: 'unreachable' }));
    }
    const timeout = NOTICE_TIMEOUT_MS * 2;
    const request = { notice, instances };
    const reply = await network.call(relayInstance, ConfigurationTopics.relay, request, timeout);
    if (reply.ok) return reply.val;
    const reason = reply.val.message;
    return instances.map((instance) => ({ instance, isDone: false, reason }));
  }

  async function announce(notice: Notice, instances: Identity[]): Promise<Acknowledgement[]> {
    const groups = groupByDataCentre(instances);
    const replies = await Promise.all(groups.map((group) => announceTo(notice, group)));
    return replies.flat();
  }

  async function refresh(): Promise<void> {
    const state = await store.readState();
    if (state.ok) await followPlatform(state.val);
  }

  async function poll(): Promise<void> {
    polls += 1;
    checkDoubt();
    const isDue = isRelay() || !inForce || staged || polls % POLLS_BETWEEN_READS === 0;
    if (!isDue) return;
    const state = await store.readState();
    if (state.ok) await followPlatform(state.val);
    else if (!inForce || staged) await askPeers();
  }

  function checkDoubt(): void {
    if (!staged || mixed || clock.elapsed() - staged.at < DOUBT_AFTER_MS) return;
    log(Diagnostics.configurationInDoubt, { version: staged.file.version.version });
    if (inForce) mixed = intersectConfigurations(inForce.configuration, staged.configuration);
    host.onChange();
  }

  async function followPlatform({ head, drains: stored }: StoredState): Promise<void> {
    const locals = host.getLocalInstances().filter((instance) => instance !== self.instance);
    if (JSON.stringify(stored) !== JSON.stringify(drains)) {
      setDrains(stored);
      if (isRelay()) await relay({ notice: { kind: 'drains', drains }, instances: locals });
    }
    const { accepted, proposed } = head;
    if (accepted && accepted.version > getVersion()) await followAccepted(accepted, locals);
    if (proposed) await followProposed(proposed);
    const isDecided = staged && staged.file.version.version !== proposed?.version;
    if (staged && isDecided) dropStaged(staged.file.version.version);
  }

  async function followAccepted(accepted: VersionRow, locals: string[]): Promise<void> {
    const file = await getFile(accepted);
    if (!file) return;
    install(file);
    if (isRelay()) await relay({ notice: { kind: 'accept', file }, instances: locals });
  }

  async function followProposed(proposed: VersionRow): Promise<void> {
    const age = clock.now().getTime() - Date.parse(proposed.at);
    if (age > STALE_PROPOSAL_MS) {
      await store.withdraw(proposed);
      return;
    }
    if (proposed.version <= (staged?.file.version.version ?? 0)) return;
    const file = await getFile(proposed);
    if (file) stage(file);
  }

  async function getFile(version: VersionRow): Promise<VersionFile | undefined> {
    if (staged?.file.version.digest === version.digest) return { ...staged.file, version };
    const file = await store.readFile(version);
    return file.ok ? file.val : undefined;
  }

  async function askPeers(): Promise<void> {
    const peers = host.getInstances().filter((peer) => peer.instance !== self.instance);
    const { state } = ConfigurationTopics;
    const replies = await Promise.all(
      peers.map((peer) => network.call(peer.instance, state, {}, STATE_TIMEOUT_MS)),
    );
    replies.forEach((reply) => {
      if (reply.ok && reply.val.inForce) install(reply.val.inForce);
    });
  }

  return {
    getConfiguration: () => mixed ?? inForce?.configuration,
    getVersion,
    getText: () => inForce?.file.text ?? '',
    getDrains: () => drains,
    poll,
    refresh,
    async announceDrains() {
      await refresh();
      await announce({ kind: 'drains', drains }, host.getInstances());
    },
    announce,
    describe: () => ({
      version: getVersion(),
      digest: inForce?.file.version.digest ?? '',
      staged: staged?.file.version.version ?? 0,
      isInDoubt: mixed !== undefined,
      isRelay: isRelay(),
    }),
  };
}

function load(file: VersionFile): Loaded | undefined {
  if (hashText(file.text) !== file.version.digest) return undefined;
  const parsed = parseConfiguration(file.text);
  return parsed.ok ? { file, configuration: parsed.val } : undefined;
}

function getRelay(instances: string[]): string | undefined {
  return getOwner('configuration', instances);
}

function groupByDataCentre(instances: Identity[]): string[][] {
  const groups = new Map<string, string[]>();
  instances.forEach(({ dataCentre, instance }) => {
    groups.set(dataCentre, [...(groups.get(dataCentre) ?? []), instance]);
  });
  return [...groups.values()];
}
