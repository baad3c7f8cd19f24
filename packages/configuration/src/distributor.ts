import { match } from 'ts-pattern';
import type { Clock, Identity, Log } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { createDrains } from './drains';
import { createNoticeSender, getRelay } from './noticeSender';
import type { ConfigurationStore, StoredState } from './store';
import { ConfigurationTopics } from './topics';
import type { Acknowledgement, DrainList, Notice, VersionFile, VersionState } from './topics';
import type { Configuration, VersionRow } from './types';
import { createVersionStages } from './versionStages';

const STATE_TIMEOUT_MS = 1000;
/** Age from which a proposal's coordinator counts as gone: any instance withdraws the proposal. */
const PROPOSAL_MAX_AGE_MS = 10_000;
/** The relay reads the platform on each poll, other instances only on every n-th. */
const POLLS_PER_PLATFORM_READ = 10;
/**
 * Reads of the drained endpoints before they are announced. The first may be lost on a connection
 * that went silent.
 */
const ANNOUNCEMENT_READS_MAX = 3;

/** Dependencies of the distributor. */
export interface DistributorHost {
  clock: Clock;
  log: Log;
  self: Identity;
  network: PeerNetwork;
  store: ConfigurationStore;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
  /** Connected instances of the whole fleet. */
  getInstances(): Identity[];
  /** Called after the served configuration or the set of drained endpoints may have changed. */
  onChange(): void;
}

/** Keeps the configuration of one instance up to date and distributes it to other instances. */
export interface Distributor {
  /** Returns the configuration to serve; `undefined` until a first version is known. */
  getConfiguration(): Configuration | undefined;
  /** Number of the version in force; 0 if there is none. */
  getVersion(): number;
  /** Text of the file in force; empty if there is none. */
  getText(): string;
  /** Endpoints that operators drain, with the time of the order. */
  getDrains(): Record<string, string>;
  /**
   * Step of the polling loop. Reads the platform if a read is due, and the peers if the platform
   * does not answer; installs what is new and, on the relay, sends it to the local instances.
   */
  poll(): Promise<void>;
  /** Reads the platform at once and handles what is new like `poll`. */
  refresh(): Promise<void>;
  /** Reads the drained endpoints from the platform and sends them to every instance. */
  announceDrains(): Promise<void>;
  /**
   * Sends a notice to the given instances, through one relay in each data centre. Returns one
   * acknowledgement for each instance.
   */
  announce(notice: Notice, instances: Identity[]): Promise<Acknowledgement[]>;
  describe(): DistributorStatus;
}

/** State of the distributor in the state dump. */
export interface DistributorStatus {
  version: number;
  digest: string;
  staged: number;
  isInDoubt: boolean;
  isRelay: boolean;
}

/** Creates the distributor and handles the notices of other instances. */
export function createDistributor(host: DistributorHost): Distributor {
  const { clock, log, self, network, store } = host;
  const versions = createVersionStages({ clock, log, onChange: host.onChange });
  const { getVersion, getInForce, getStaged } = versions;
  let pollCount = 0;
  const drains = createDrains({ network, isRelay, onChange: host.onChange });
  const sender = createNoticeSender(network);

  network.handle(ConfigurationTopics.notice, async (_from, notice) => handleNotice(notice));
  network.handle(ConfigurationTopics.relay, async (_from, request) => sender.relay(request));
  network.handle(ConfigurationTopics.state, async () => getState());

  function handleNotice(notice: Notice): Acknowledgement {
    const fault = applyNotice(notice);
    return { instance: self.instance, isDone: fault === undefined, reason: fault ?? '' };
  }

  function applyNotice(notice: Notice): string | undefined {
    return match(notice)
      .with({ kind: 'stage' }, ({ file }) => versions.stage(file))
      .with({ kind: 'accept' }, ({ file }) => versions.install(file))
      .with({ kind: 'withdraw' }, ({ version }) => versions.dropStaged(version))
      .with({ kind: 'drains' }, (list) => replaceDrains(list))
      .exhaustive();
  }

  function getState(): VersionState {
    return { inForce: getInForce(), staged: getStaged() };
  }

  function replaceDrains({ version, drains: endpoints }: DrainList): undefined {
    drains.replace({ version, drains: endpoints });
  }

  function isRelay(): boolean {
    return getRelay(host.getLocalInstances()) === self.instance;
  }

  // Returns whether the platform answered.
  async function readPlatform(): Promise<boolean> {
    const state = await store.readState();
    if (state.ok) await applyStoredState(state.val);
    return state.ok;
  }

  async function poll(): Promise<void> {
    pollCount += 1;
    versions.checkDecisionTimeout();
    const isDue =
      isRelay() || !getInForce() || getStaged() || pollCount % POLLS_PER_PLATFORM_READ === 0;
    if (!isDue && (await pullDrains())) return;
    const isAnswered = await readPlatform();
    if (!isAnswered && (!getInForce() || getStaged())) await installFromPeers();
  }

  // A notice may be lost on a connection that went silent, so drains are also asked for.
  async function pullDrains(): Promise<boolean> {
    const relay = getRelay(host.getLocalInstances());
    return relay !== undefined && drains.pull(relay);
  }

  async function applyStoredState({ head, drainList }: StoredState): Promise<void> {
    const others = host.getLocalInstances().filter((instance) => instance !== self.instance);
    if (drains.replace(drainList) && isRelay()) {
      await sender.relay({ notice: { kind: 'drains', ...drainList }, instances: others });
    }
    const { accepted, proposed } = head;
    if (accepted && accepted.version > getVersion()) await installAccepted(accepted, others);
    if (proposed) await handleProposed(proposed);
    const staged = getStaged()?.version.version;
    if (staged !== undefined && staged !== proposed?.version) versions.dropStaged(staged);
  }

  async function installAccepted(accepted: VersionRow, others: string[]): Promise<void> {
    const file = await fetchFile(accepted);
    if (!file) return;
    versions.install(file);
    if (isRelay()) await sender.relay({ notice: { kind: 'accept', file }, instances: others });
  }

  async function handleProposed(proposed: VersionRow): Promise<void> {
    const age = clock.now().getTime() - Date.parse(proposed.at);
    if (age > PROPOSAL_MAX_AGE_MS) {
      await store.withdraw(proposed);
      return;
    }
    if (proposed.version <= (getStaged()?.version.version ?? 0)) return;
    const file = await fetchFile(proposed);
    if (file) versions.stage(file);
  }

  async function fetchFile(version: VersionRow): Promise<VersionFile | undefined> {
    const staged = getStaged();
    if (staged?.version.digest === version.digest) return { ...staged, version };
    const file = await store.readFile(version);
    return file.ok ? file.val : undefined;
  }

  async function installFromPeers(): Promise<void> {
    const peers = host.getInstances().filter((peer) => peer.instance !== self.instance);
    const { state } = ConfigurationTopics;
    const replies = await Promise.all(
      peers.map((peer) => network.call(peer.instance, state, {}, STATE_TIMEOUT_MS)),
    );
    replies.forEach((reply) => {
      if (reply.ok && reply.val.inForce) versions.install(reply.val.inForce);
    });
  }

  return {
    getConfiguration: versions.getConfiguration,
    getVersion,
    getText: () => getInForce()?.text ?? '',
    getDrains: () => drains.getList().drains,
    poll,
    async refresh() {
      await readPlatform();
    },
    async announceDrains() {
      for (let read = 0; read < ANNOUNCEMENT_READS_MAX; read += 1) {
        if (await readPlatform()) break;
      }
      await sender.announce({ kind: 'drains', ...drains.getList() }, host.getInstances());
    },
    announce: sender.announce,
    describe: () => ({
      version: getVersion(),
      digest: getInForce()?.version.digest ?? '',
      staged: getStaged()?.version.version ?? 0,
      isInDoubt: versions.isInDoubt(),
      isRelay: isRelay(),
    }),
  };
}
