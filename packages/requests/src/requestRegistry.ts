import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import { getOwner, sleep } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import { createRequestEntries } from './requestEntries';
import type { RequestEntry } from './requestEntries';
import type { BeginReply, BeginRequest, RequestName, RunState } from './types';

const CALL_TIMEOUT_MS = 1000;
/** Longer than the views of two instances differ after the membership of the fleet changes. */
const VIEW_TRANSITION_MS = 5000;
/** How long `begin` retries a keeper that is connected but does not answer. */
const KEEPER_RETRY_WINDOW_MS = 4000;
const KEEPER_RETRY_DELAY_MS = 200;
const FINISH_ATTEMPTS = 10;
const FINISH_RETRY_DELAY_MS = 500;

/** The entry of a named request in the form that is sent to a new keeper. */
interface Handoff {
  name: RequestName;
  entry: RequestEntry;
}

/** Peer messages between the keepers of request names and the instances that run requests. */
export const RequestTopics = {
  begin: createTopic<BeginRequest, BeginReply>('request.begin'),
  find: createTopic<BeginRequest, BeginReply>('request.find'),
  run: createTopic<{ name: RequestName; request: string; state: RunState }>('request.run'),
  finish: createTopic<{ name: RequestName; request: string; isKept: boolean }>('request.finish'),
  confirm: createTopic<BeginRequest, boolean>('request.confirm'),
  handoff: createTopic<Handoff[]>('request.handoff'),
} as const;

/** Dependencies of the request registry. */
export interface RequestRegistryHost {
  clock: Clock;
  self: Identity;
  network: PeerNetwork;
  /** How long the entry of a finished request is kept. */
  retention: Milliseconds;
  getLocalInstances(): string[];
  /** Connected instances of the whole fleet, this one included unless it is leaving. */
  getInstances(): Identity[];
  /** Whether this incarnation may still act. */
  isLive(identity: Identity): boolean;
  /** Whether every instance known as live is connected. */
  isFleetComplete(): boolean;
  /**
   * Looks up a request whose runner is lost in the reservations that the budget keepers of this
   * instance hold. Returns `undefined` if there is none to resume.
   */
  findReservation(request: BeginRequest): BeginReply | undefined;
}

/**
 * Finds out which instance of the fleet runs a named request. Each name has a keeper: an instance,
 * chosen by rendezvous hashing, that records where the request runs.
 */
export interface RequestRegistry {
  /** Asks the keeper whether to run a request. Decides locally if no keeper answers in time. */
  begin(request: BeginRequest): Promise<BeginReply>;
  /** Sends the keeper the placement of a run. Resolves even if the keeper can't be reached. */
  recordRun(name: RequestName, request: string, state: RunState): Promise<void>;
  /** Tells the keepers that a run ended. If `isKept` is false, the request may be run again. */
  recordFinish(name: RequestName, request: string, isKept: boolean): void;
  /** Whether every instance known as live is connected, so that all compute the same keepers. */
  isFleetComplete(): boolean;
  /**
   * Asks the keeper whether a finished provisional run is the one that counts. Returns `undefined`
   * while the fleet is incomplete or in transition, or if the keeper does not answer.
   */
  confirm(request: BeginRequest): Promise<boolean | undefined>;
  /** Tells the keepers that another instance answers for these finished runs of this instance. */
  reassign(requests: Set<string>, runner: Identity): Promise<void>;
  /** Reads the membership of the fleet; sends names whose keeper changed to their new keeper. */
  updateView(): void;
  /** Number of names that this instance keeps. */
  count(): number;
}

/** Creates the registry and handles the peer messages for the names that this instance keeps. */
export function createRequestRegistry(host: RequestRegistryHost): RequestRegistry {
  const { clock, self, network } = host;
  /** Requests whose keeper this instance is. */
  const keptEntries = createRequestEntries(host);
  /** Requests that this instance runs or has run. */
  const ownEntries = createRequestEntries(host);
  let view = readView();
  /** Earlier views that other instances may still use, the oldest first. */
  let recentViews: { view: Identity[]; until: Milliseconds }[] = [];

  network.handle(RequestTopics.begin, async (_from, request) => keptEntries.begin(request));
  network.handle(RequestTopics.find, async (_from, request) => findLocally(request));
  network.handle(RequestTopics.run, async (_from, { name, request, state }) =>
    keptEntries.setState(name, request, state),
  );
  network.handle(RequestTopics.finish, async (_from, { name, request, isKept }) =>
    keptEntries.finish(name, request, isKept),
  );
  network.handle(RequestTopics.confirm, async (_from, request) => keptEntries.confirm(request));
  network.handle(RequestTopics.handoff, async (_from, handoffs) =>
    handoffs.forEach(({ name, entry }) => keptEntries.insert(name, entry)),
  );

  function readView(): Identity[] {
    return host.getInstances();
  }

  function findLocally(request: BeginRequest): BeginReply {
    const found =
      keptEntries.find(request) ?? ownEntries.find(request) ?? host.findReservation(request);
    return found ?? { kind: 'run' };
  }

  function isInTransition(): boolean {
    recentViews = recentViews.filter((recent) => clock.elapsed() < recent.until);
    return recentViews.length > 0;
  }

  function isStable(): boolean {
    return host.isFleetComplete() && !isInTransition();
  }

  // After a membership change, other instances may still use an old keeper. Each caller registers
  // with the old keepers first and then with the new one, so that any two share a keeper.
  async function beginInTransition(request: BeginRequest): Promise<BeginReply | undefined> {
    const next = getKeeper(view, request.name);
    const old = getRecentKeepers(request.name).filter((keeper) => keeper !== next);
    const reachable = old.filter((keeper) => network.isConnected(keeper));
    const registered: string[] = [];
    for (const keeper of reachable) {
      const reply = await callBegin(keeper, request);
      if (reply?.kind === 'resume') return registerResume(next, request, reply);
      if (reply && reply.kind !== 'run') {
        withdrawFrom(registered, request);
        return reply;
      }
      registered.push(keeper);
    }
    const found = reachable.length < old.length ? await findOnAllInstances(request) : undefined;
    if (found?.kind === 'resume') return registerResume(next, request, found);
    const last = found ?? (await callBegin(next, request));
    if (last && last.kind !== 'run') withdrawFrom(registered, request);
    return last;
  }

  function withdrawFrom(keepers: string[], { name, request }: BeginRequest): void {
    keepers.forEach((keeper) => sendFinish(keeper, name, request, false));
  }

  function getRecentKeepers(name: RequestName): string[] {
    const keepers = recentViews.map((recent) => getKeeper(recent.view, name));
    return [...new Set(keepers)];
  }

  // Registers with the new keeper, so that only one retry resumes the stream.
  async function registerResume(
    keeper: string,
    request: BeginRequest,
    found: Extract<BeginReply, { kind: 'resume' }>,
  ): Promise<BeginReply | undefined> {
    const begun = await callBegin(keeper, request);
    if (begun?.kind !== 'run') return begun;
    const body = { name: request.name, request: request.request, state: found.state };
    await network.call(keeper, RequestTopics.run, body, CALL_TIMEOUT_MS);
    return found;
  }

  async function findOnAllInstances(request: BeginRequest): Promise<BeginReply | undefined> {
    const others = view.map((identity) => identity.instance);
    const replies = await Promise.all(
      others.map((other) => network.call(other, RequestTopics.find, request, CALL_TIMEOUT_MS)),
    );
    const found = replies.map((reply) => (reply.ok ? reply.val : undefined));
    return found.find((reply) => reply !== undefined && reply.kind !== 'run');
  }

  async function callBegin(keeper: string, request: BeginRequest): Promise<BeginReply | undefined> {
    const reply = await network.call(keeper, RequestTopics.begin, request, CALL_TIMEOUT_MS);
    return reply.ok ? reply.val : undefined;
  }

  async function beginWithRetry(request: BeginRequest): Promise<BeginReply> {
    const deadline = clock.elapsed() + KEEPER_RETRY_WINDOW_MS;
    while (clock.elapsed() < deadline) {
      const isMoving = isInTransition();
      const reply = isMoving
        ? await beginInTransition(request)
        : await callBegin(getKeeper(view, request.name), request);
      if (reply) return isMoving ? toProvisional(reply) : reply;
      await sleep(clock, KEEPER_RETRY_DELAY_MS);
    }
    return toProvisional(keptEntries.begin(request));
  }

  function sendFinish(keeper: string, name: RequestName, request: string, isKept: boolean): void {
    const body = { name, request, isKept };
    network.call(keeper, RequestTopics.finish, body, CALL_TIMEOUT_MS);
  }

  // Retries the call, because a keeper that misses the end of a run directs the caller's retries to
  // an instance that has no answer.
  async function sendFinishWithRetry(
    name: RequestName,
    request: string,
    isKept: boolean,
  ): Promise<void> {
    const body = { name, request, isKept };
    const { finish } = RequestTopics;
    for (let attempt = 0; attempt < FINISH_ATTEMPTS; attempt += 1) {
      const keepers = [...new Set([getKeeper(view, name), ...getRecentKeepers(name)])];
      const replies = await Promise.all(
        keepers.map((keeper) => network.call(keeper, finish, body, CALL_TIMEOUT_MS)),
      );
      if (replies.every((reply) => reply.ok)) return;
      await sleep(clock, FINISH_RETRY_DELAY_MS);
    }
  }

  function sendHandoffs(entries: Handoff[]): Promise<unknown> {
    const byKeeper = new Map<string, Handoff[]>();
    entries.forEach((handoff) => {
      const keeper = getKeeper(view, handoff.name);
      byKeeper.set(keeper, [...(byKeeper.get(keeper) ?? []), handoff]);
    });
    const calls = [...byKeeper].map(([keeper, handoffs]) =>
      network.call(keeper, RequestTopics.handoff, handoffs, CALL_TIMEOUT_MS),
    );
    return Promise.all(calls);
  }

  function hasKeeperChanged(before: Identity[], name: RequestName): boolean {
    return getKeeper(before, name) !== getKeeper(view, name);
  }

  return {
    async begin(request) {
      const wasStable = isStable();
      const reply = await beginWithRetry(request);
      if (reply.kind === 'run' || reply.kind === 'resume') ownEntries.begin(request);
      if (reply.kind !== 'run') return reply;
      const isCertain = wasStable && isStable() && !reply.isProvisional;
      return { ...reply, isProvisional: !isCertain };
    },
    async recordRun(name, request, state) {
      ownEntries.setState(name, request, state);
      const body = { name, request, state };
      await network.call(getKeeper(view, name), RequestTopics.run, body, CALL_TIMEOUT_MS);
    },
    recordFinish(name, request, isKept) {
      ownEntries.finish(name, request, isKept);
      sendFinishWithRetry(name, request, isKept);
    },
    isFleetComplete: host.isFleetComplete,
    async confirm(request) {
      if (!isStable()) return undefined;
      const keeper = getKeeper(view, request.name);
      const { confirm } = RequestTopics;
      const reply = await network.call(keeper, confirm, request, CALL_TIMEOUT_MS);
      return reply.ok ? reply.val : undefined;
    },
    async reassign(requests, runner) {
      const moved = ownEntries.list().filter(({ entry }) => requests.has(entry.request));
      await sendHandoffs(moved.map(({ name, entry }) => ({ name, entry: { ...entry, runner } })));
    },
    updateView() {
      const next = readView();
      if (isSameView(view, next)) return;
      const before = view;
      recentViews.push({ view: before, until: clock.elapsed() + VIEW_TRANSITION_MS });
      view = next;
      const entries = [...keptEntries.list(), ...ownEntries.list()];
      sendHandoffs(entries.filter(({ name }) => hasKeeperChanged(before, name)));
    },
    count: () => keptEntries.list().length,
  };

  function getKeeper(instances: Identity[], name: RequestName): string {
    return findKeeper(instances, name) ?? self.instance;
  }
}

// Selects the data centre first and then the instance in it. In a large fleet, a name's keeper then
// depends only on how the home data centre sees its own members.
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

// Another keeper, which did not answer or was not asked, may know of an earlier run.
function toProvisional(reply: BeginReply): BeginReply {
  return reply.kind === 'run' ? { ...reply, isProvisional: true } : reply;
}

function isSameView(left: Identity[], right: Identity[]): boolean {
  const toIncarnations = (view: Identity[]) =>
    view.map(({ instance, incarnation }) => `${instance}/${incarnation}`).sort();
  return JSON.stringify(toIncarnations(left)) === JSON.stringify(toIncarnations(right));
}
