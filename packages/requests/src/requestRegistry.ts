import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import { groupBy, sleep } from '@pomeloroad/core';
import type { Identity, Milliseconds } from '@pomeloroad/core';
import { createRequestEntries } from './requestEntries';
import type { RequestEntry } from './requestEntries';
import { createRequestKeepers } from './requestKeepers';
import type { RequestKeepersHost } from './requestKeepers';
import type { BeginReply, BeginRequest, RequestName, RunState } from './types';

const CALL_TIMEOUT_MS = 1000;
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
export interface RequestRegistryHost extends RequestKeepersHost {
  network: PeerNetwork;
  /** How long the entry of a finished request is kept. */
  retention: Milliseconds;
  getLocalInstances(): string[];
  /** Whether this incarnation may still act. */
  isLive(identity: Identity): boolean;
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
  const { clock, network } = host;
  const keepers = createRequestKeepers(host);
  /** Requests whose keeper this instance is. */
  const keptEntries = createRequestEntries(host);
  /** Requests that this instance runs or has run. */
  const ownEntries = createRequestEntries(host);

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

  function findLocally(request: BeginRequest): BeginReply {
    const found =
      keptEntries.find(request) ?? ownEntries.find(request) ?? host.findReservation(request);
    return found ?? { kind: 'run' };
  }

  // After a membership change, other instances may still use an old keeper. Each caller registers
  // with the old keepers first and then with the new one, so that any two share a keeper.
  async function beginInTransition(request: BeginRequest): Promise<BeginReply | undefined> {
    const next = keepers.get(request.name);
    const old = keepers.listRecent(request.name).filter((keeper) => keeper !== next);
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

  function withdrawFrom(registered: string[], { name, request }: BeginRequest): void {
    registered.forEach((keeper) => sendFinish(keeper, name, request, false));
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
    const others = keepers.listInstances();
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
      const isMoving = keepers.isInTransition();
      const reply = isMoving
        ? await beginInTransition(request)
        : await callBegin(keepers.get(request.name), request);
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
      const informed = [...new Set([keepers.get(name), ...keepers.listRecent(name)])];
      const replies = await Promise.all(
        informed.map((keeper) => network.call(keeper, finish, body, CALL_TIMEOUT_MS)),
      );
      if (replies.every((reply) => reply.ok)) return;
      await sleep(clock, FINISH_RETRY_DELAY_MS);
    }
  }

  function sendHandoffs(entries: Handoff[]): Promise<unknown> {
    const byKeeper = groupBy(entries, ({ name }) => keepers.get(name));
    const calls = [...byKeeper].map(([keeper, handoffs]) =>
      network.call(keeper, RequestTopics.handoff, handoffs, CALL_TIMEOUT_MS),
    );
    return Promise.all(calls);
  }

  return {
    async begin(request) {
      const wasStable = keepers.isStable();
      const reply = await beginWithRetry(request);
      if (reply.kind === 'run' || reply.kind === 'resume') ownEntries.begin(request);
      if (reply.kind !== 'run') return reply;
      const isCertain = wasStable && keepers.isStable() && !reply.isProvisional;
      return { ...reply, isProvisional: !isCertain };
    },
    async recordRun(name, request, state) {
      ownEntries.setState(name, request, state);
      const body = { name, request, state };
      await network.call(keepers.get(name), RequestTopics.run, body, CALL_TIMEOUT_MS);
    },
    recordFinish(name, request, isKept) {
      ownEntries.finish(name, request, isKept);
      sendFinishWithRetry(name, request, isKept);
    },
    isFleetComplete: host.isFleetComplete,
    async confirm(request) {
      if (!keepers.isStable()) return undefined;
      const keeper = keepers.get(request.name);
      const { confirm } = RequestTopics;
      const reply = await network.call(keeper, confirm, request, CALL_TIMEOUT_MS);
      return reply.ok ? reply.val : undefined;
    },
    async reassign(requests, runner) {
      const moved = ownEntries.list().filter(({ entry }) => requests.has(entry.request));
      await sendHandoffs(moved.map(({ name, entry }) => ({ name, entry: { ...entry, runner } })));
    },
    updateView() {
      const hasMoved = keepers.update();
      if (!hasMoved) return;
      const entries = [...keptEntries.list(), ...ownEntries.list()];
      sendHandoffs(entries.filter(({ name }) => hasMoved(name)));
    },
    count: () => keptEntries.list().length,
  };
}

// Another keeper, which did not answer or was not asked, may know of an earlier run.
function toProvisional(reply: BeginReply): BeginReply {
  return reply.kind === 'run' ? { ...reply, isProvisional: true } : reply;
}
