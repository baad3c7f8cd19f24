import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import { getOwner, sleep } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import { createEntries } from './entries';
import type { Entry } from './entries';
import type { BeginReply, BeginRequest, RequestName, RunState } from './types';

const CALL_TIMEOUT_MS = 1000;
/** Longer than two instances' views of the fleet differ after a change of it. */
const TRANSITION_MS = 5000;
/** How long a keeper that is connected but does not answer is asked again. */
const KEEPER_PATIENCE_MS = 4000;
const KEEPER_RETRY_MS = 200;
const FINISH_ATTEMPTS = 10;
const FINISH_RETRY_MS = 500;

/** A named request as it is passed to another keeper. */
interface Handoff {
  name: RequestName;
  entry: Entry;
}

/** Messages between request keepers and the instances that run requests. */
export const RegistryTopics = {
  begin: createTopic<BeginRequest, BeginReply>('request.begin'),
  find: createTopic<BeginRequest, BeginReply>('request.find'),
  run: createTopic<{ name: RequestName; request: string; state: RunState }>('request.run'),
  finish: createTopic<{ name: RequestName; request: string; isKept: boolean }>('request.finish'),
  confirm: createTopic<BeginRequest, boolean>('request.confirm'),
  handoff: createTopic<Handoff[]>('request.handoff'),
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
  /** Whether every listed instance answers. */
  isComplete(): boolean;
  /** What the budget keepers of this instance know of a request whose runner is lost. */
  findReservation(request: BeginRequest): BeginReply | undefined;
}

/** Finds out who runs a named request, through the instance that keeps its name. */
export interface Registry {
  begin(request: BeginRequest): Promise<BeginReply>;
  /** Notes where the request runs. Resolves once it is noted or can't be. */
  noteRun(name: RequestName, request: string, state: RunState): Promise<void>;
  /** Notes the end; a request that is not kept may be run again. */
  noteFinish(name: RequestName, request: string, isKept: boolean): void;
  /** Whether every listed instance answers, so that all find the same keepers. */
  isComplete(): boolean;
  /** Whether a finished provisional run counts; `undefined` if that can't be told now. */
  confirm(request: BeginRequest): Promise<boolean | undefined>;
  /** Makes another instance the one that answers for finished requests of this one. */
  reassign(requests: Set<string>, runner: Identity): Promise<void>;
  /** Takes a new view of the fleet; names whose keeper changed are passed on. */
  updateView(): void;
  count(): number;
}

/** Creates the registry and answers for the names that this instance keeps. */
export function createRegistry(host: RegistryHost): Registry {
  const { clock, self, network } = host;
  /** Names that this instance keeps for the fleet. */
  const kept = createEntries(host);
  /** Named requests that this instance runs or has run. */
  const own = createEntries(host);
  let view = readView();
  /** Views of the last seconds, the oldest first. */
  let recentViews: { view: Identity[]; until: Milliseconds }[] = [];

  network.handle(RegistryTopics.begin, async (_from, request) => kept.begin(request));
  network.handle(RegistryTopics.find, async (_from, request) => findHere(request));
  network.handle(RegistryTopics.run, async (_from, { name, request, state }) =>
    kept.setState(name, request, state),
  );
  network.handle(RegistryTopics.finish, async (_from, { name, request, isKept }) =>
    kept.finish(name, request, isKept),
  );
  network.handle(RegistryTopics.confirm, async (_from, request) => kept.confirm(request));
  network.handle(RegistryTopics.handoff, async (_from, handoffs) =>
    handoffs.forEach(({ name, entry }) => kept.insert(name, entry)),
  );

  function readView(): Identity[] {
    return host.getInstances();
  }

  function findHere(request: BeginRequest): BeginReply {
    const found = kept.find(request) ?? own.find(request) ?? host.findReservation(request);
    return found ?? { kind: 'run' };
  }

  function isInTransition(): boolean {
    recentViews = recentViews.filter((recent) => clock.elapsed() < recent.until);
    return recentViews.length > 0;
  }

  // After a change of the fleet other instances may still use an old keeper. Registering with the
  // old ones first, and then with the new one, makes sure that any two of them meet at one keeper.
  async function beginInTransition(request: BeginRequest): Promise<BeginReply | undefined> {
    const next = getKeeper(view, request.name);
    const old = getRecentKeepers(request.name).filter((keeper) => keeper !== next);
    const reached = old.filter((keeper) => network.isConnected(keeper));
    const entered: string[] = [];
    for (const keeper of reached) {
      const reply = await beginAt(keeper, request);
      if (reply?.kind === 'resume') return takeOver(next, request, reply);
      if (reply && reply.kind !== 'run') {
        withdraw(entered, request);
        return reply;
      }
      entered.push(keeper);
    }
    const found = reached.length < old.length ? await findAnywhere(request) : undefined;
    if (found?.kind === 'resume') return takeOver(next, request, found);
    const last = found ?? (await beginAt(next, request));
    if (last && last.kind !== 'run') withdraw(entered, request);
    return last;
  }

  function withdraw(keepers: string[], { name, request }: BeginRequest): void {
    keepers.forEach((keeper) => sendFinish(keeper, name, request, false));
  }

  function getRecentKeepers(name: RequestName): string[] {
    const keepers = recentViews.map((recent) => getKeeper(recent.view, name));
    return [...new Set(keepers)];
  }

  // Entered at the new keeper, so that only one retry follows the stream.
  async function takeOver(
    keeper: string,
    request: BeginRequest,
    found: Extract<BeginReply, { kind: 'resume' }>,
  ): Promise<BeginReply | undefined> {
    const begun = await beginAt(keeper, request);
    if (begun?.kind !== 'run') return begun;
    const body = { name: request.name, request: request.request, state: found.state };
    await network.call(keeper, RegistryTopics.run, body, CALL_TIMEOUT_MS);
    return found;
  }

  async function findAnywhere(request: BeginRequest): Promise<BeginReply | undefined> {
    const others = view.map((identity) => identity.instance);
    const replies = await Promise.all(
      others.map((other) => network.call(other, RegistryTopics.find, request, CALL_TIMEOUT_MS)),
    );
    const found = replies.map((reply) => (reply.ok ? reply.val : undefined));
    return found.find((reply) => reply !== undefined && reply.kind !== 'run');
  }

  async function beginAt(keeper: string, request: BeginRequest): Promise<BeginReply | undefined> {
    const reply = await network.call(keeper, RegistryTopics.begin, request, CALL_TIMEOUT_MS);
    return reply.ok ? reply.val : undefined;
  }

  async function beginSomewhere(request: BeginRequest): Promise<BeginReply> {
    const deadline = clock.elapsed() + KEEPER_PATIENCE_MS;
    while (clock.elapsed() < deadline) {
      const reply = isInTransition()
        ? await beginInTransition(request)
        : await beginAt(getKeeper(view, request.name), request);
      if (reply) return reply;
      await sleep(clock, KEEPER_RETRY_MS);
    }
    return kept.begin(request);
  }

  function sendFinish(keeper: string, name: RequestName, request: string, isKept: boolean): void {
    const body = { name, request, isKept };
    network.call(keeper, RegistryTopics.finish, body, CALL_TIMEOUT_MS);
  }

  // Repeated, since a keeper that does not learn of it sends retries to where there is no answer.
  async function tellFinish(name: RequestName, request: string, isKept: boolean): Promise<void> {
    const body = { name, request, isKept };
    const { finish } = RegistryTopics;
    for (let attempt = 0; attempt < FINISH_ATTEMPTS; attempt += 1) {
      const keepers = [...new Set([getKeeper(view, name), ...getRecentKeepers(name)])];
      const replies = await Promise.all(
        keepers.map((keeper) => network.call(keeper, finish, body, CALL_TIMEOUT_MS)),
      );
      if (replies.every((reply) => reply.ok)) return;
      await sleep(clock, FINISH_RETRY_MS);
    }
  }

  function handOff(entries: Handoff[]): Promise<unknown> {
    const byKeeper = new Map<string, Handoff[]>();
    entries.forEach((handoff) => {
      const keeper = getKeeper(view, handoff.name);
      byKeeper.set(keeper, [...(byKeeper.get(keeper) ?? []), handoff]);
    });
    const calls = [...byKeeper].map(([keeper, handoffs]) =>
      network.call(keeper, RegistryTopics.handoff, handoffs, CALL_TIMEOUT_MS),
    );
    return Promise.all(calls);
  }

  function hasMoved(before: Identity[], name: RequestName): boolean {
    return getKeeper(before, name) !== getKeeper(view, name);
  }

  return {
    async begin(request) {
      const wasCertain = host.isComplete() && !isInTransition();
      const reply = await beginSomewhere(request);
      if (reply.kind === 'run' || reply.kind === 'resume') own.begin(request);
      if (reply.kind !== 'run') return reply;
      return { ...reply, isProvisional: !wasCertain || !host.isComplete() };
    },
    async noteRun(name, request, state) {
      own.setState(name, request, state);
      const body = { name, request, state };
      await network.call(getKeeper(view, name), RegistryTopics.run, body, CALL_TIMEOUT_MS);
    },
    noteFinish(name, request, isKept) {
      own.finish(name, request, isKept);
      tellFinish(name, request, isKept);
    },
    isComplete: host.isComplete,
    async confirm(request) {
      if (!host.isComplete() || isInTransition()) return undefined;
      const keeper = getKeeper(view, request.name);
      const { confirm } = RegistryTopics;
      const reply = await network.call(keeper, confirm, request, CALL_TIMEOUT_MS);
      return reply.ok ? reply.val : undefined;
    },
    async reassign(requests, runner) {
      const moved = own.list().filter(({ entry }) => requests.has(entry.request));
      await handOff(moved.map(({ name, entry }) => ({ name, entry: { ...entry, runner } })));
    },
    updateView() {
      const next = readView();
      if (isSameView(view, next)) return;
      const before = view;
      recentViews.push({ view: before, until: clock.elapsed() + TRANSITION_MS });
      view = next;
      const entries = [...kept.list(), ...own.list()];
      handOff(entries.filter(({ name }) => hasMoved(before, name)));
    },
    count: () => kept.list().length,
  };

  function getKeeper(instances: Identity[], name: RequestName): string {
    return findKeeper(instances, name) ?? self.instance;
  }
}

// First the data centre, then the instance: at a large size only the home data centre's view of
// itself matters.
function findKeeper(instances: Identity[], { account, key }: RequestName): string | undefined {
  const id = JSON.stringify([account, key]);
  const dataCentres = [...new Set(instances.map((identity) => identity.dataCentre))];
  const home = getOwner(id, dataCentres);
  const members = instances.filter((identity) => identity.dataCentre === home);
  return getOwner(
    id,
    members.map((identity) => identity.instance),
  );
}

function isSameView(left: Identity[], right: Identity[]): boolean {
  const toLives = (view: Identity[]) =>
    view.map(({ instance, incarnation }) => `${instance}/${incarnation}`).sort();
  return JSON.stringify(toLives(left)) === JSON.stringify(toLives(right));
}
