import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import { getOwner } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { BeginReply, BeginRequest, RequestName, RunState } from './types';

const CALL_TIMEOUT_MS = 1000;
const ENTRIES_LIMIT = 100_000;

/** Messages between request keepers and the instances that run requests. */
export const RegistryTopics = {
  begin: createTopic<BeginRequest, BeginReply>('request.begin'),
  run: createTopic<{ name: RequestName; request: string; state: RunState }>('request.run'),
  finish: createTopic<{ name: RequestName; request: string; isKept: boolean }>('request.finish'),
} as const;

/** What the registry needs from its surroundings. */
export interface RegistryHost {
  clock: Clock;
  self: Identity;
  network: PeerNetwork;
  /** How long a finished request is remembered. */
  retention: Milliseconds;
  getLocalInstances(): string[];
  /** Connected instances of the whole fleet. */
  getInstances(): Identity[];
  /** Whether this incarnation may still act. */
  isLive(identity: Identity): boolean;
}

/** Finds out who runs a named request, through the instance that keeps its name. */
export interface Registry {
  begin(request: BeginRequest): Promise<BeginReply>;
  /** Notes where the request runs. Resolves once it is noted or can't be. */
  noteRun(name: RequestName, request: string, state: RunState): Promise<void>;
  /** Notes the end; a request that is not kept may be run again. */
  noteFinish(name: RequestName, request: string, isKept: boolean): void;
  count(): number;
}

interface Entry {
  digest: string;
  runner: Identity;
  request: string;
  isIdempotent: boolean;
  isFinished: boolean;
  state?: RunState;
}

/** Creates the registry and answers for the names that this instance keeps. */
export function createRegistry(host: RegistryHost): Registry {
  const { clock, self, network } = host;
  const entries = new Map<string, Entry>();

  network.handle(RegistryTopics.begin, async (_from, request) => beginHere(request));
  network.handle(RegistryTopics.run, async (_from, { name, request, state }) => {
    const entry = entries.get(getId(name));
    if (entry?.request === request) entry.state = state;
  });
  network.handle(RegistryTopics.finish, async (_from, { name, request, isKept }) =>
    finishHere(name, request, isKept),
  );

  function beginHere(request: BeginRequest): BeginReply {
    const id = getId(request.name);
    const entry = entries.get(id);
    if (!entry) return enter(id, request);
    if (entry.digest !== request.digest) return { kind: 'mismatch' };
    const { runner } = entry;
    if (host.isLive(runner)) return { kind: 'attach', runner, request: entry.request };
    const { state, request: previous } = entry;
    if (!state) return entry.isIdempotent ? enter(id, request) : { kind: 'lost' };
    // Following a stream sends nothing again, so it is allowed for any request.
    enter(id, request, state);
    return { kind: 'resume', request: previous, state };
  }

  function enter(id: string, begun: BeginRequest, state?: RunState): BeginReply {
    if (entries.size >= ENTRIES_LIMIT) dropOldestFinished();
    const { digest, runner, request, isIdempotent } = begun;
    entries.set(id, { digest, runner, request, isIdempotent, isFinished: false, state });
    return { kind: 'run' };
  }

  function dropOldestFinished(): void {
    const oldest = [...entries].find(([, entry]) => entry.isFinished);
    if (oldest) entries.delete(oldest[0]);
  }

  function finishHere(name: RequestName, request: string, isKept: boolean): void {
    const id = getId(name);
    const entry = entries.get(id);
    if (entry?.request !== request) return;
    if (!isKept) {
      entries.delete(id);
      return;
    }
    entry.isFinished = true;
    clock.after(host.retention, () => {
      if (entries.get(id) === entry) entries.delete(id);
    });
  }

  // Every instance that sees the same fleet finds the same keeper: first its data centre, then
  // the instance. Cut off from that data centre, names are kept in this one.
  function getKeeper(name: RequestName): string {
    const id = getId(name);
    const instances = host.getInstances();
    const dataCentres = [...new Set(instances.map((identity) => identity.dataCentre))];
    const home = getOwner(id, dataCentres) ?? self.dataCentre;
    const members = instances.filter((identity) => identity.dataCentre === home);
    return (
      getOwner(
        id,
        members.map((identity) => identity.instance),
      ) ?? self.instance
    );
  }

  async function beginAt(keeper: string, request: BeginRequest): Promise<BeginReply | undefined> {
    const reply = await network.call(keeper, RegistryTopics.begin, request, CALL_TIMEOUT_MS);
    return reply.ok ? reply.val : undefined;
  }

  return {
    async begin(request) {
      const home = await beginAt(getKeeper(request.name), request);
      if (home) return home;
      const local = getOwner(getId(request.name), host.getLocalInstances()) ?? self.instance;
      return (await beginAt(local, request)) ?? beginHere(request);
    },
    async noteRun(name, request, state) {
      const body = { name, request, state };
      await network.call(getKeeper(name), RegistryTopics.run, body, CALL_TIMEOUT_MS);
    },
    noteFinish(name, request, isKept) {
      const body = { name, request, isKept };
      network.call(getKeeper(name), RegistryTopics.finish, body, CALL_TIMEOUT_MS);
    },
    count: () => entries.size,
  };
}

function getId({ account, key }: RequestName): string {
  return JSON.stringify([account, key]);
}
