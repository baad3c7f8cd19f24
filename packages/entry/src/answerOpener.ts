import { match } from 'ts-pattern';
import { sleep } from '@pomeloroad/core';
import type { Clock, Identity } from '@pomeloroad/core';
import { createTopic } from '@pomeloroad/peers';
import type { PeerNetwork } from '@pomeloroad/peers';
import { createRefusal } from '@pomeloroad/requests';
import type {
  AnswerStore,
  BeginReply,
  IssuedKey,
  Refusal,
  RequestRegistry,
  RequestName,
} from '@pomeloroad/requests';
import { createLocalSource, createRemoteSource } from './answerSource';
import type { AnswerSource } from './answerSource';
import { createLostRefusal } from './deliverAnswer';
import type { RunRequest } from './runRequest';
import type { Runner } from './runner';

const FORWARD_TIMEOUT_MS = 2000;
const FORWARD_RETRY_DELAY_MS = 200;
const BEGIN_RETRIES_MAX = 20;
const BEGIN_RETRY_DELAY_MS = 100;

/** Asks the issuer of an idempotency key to run the request that carries the key. */
const startTopic = createTopic<RunRequest, StartReply>('request.start');

type StartReply = { kind: 'started'; request: string } | { kind: 'refused'; refusal: Refusal };

/** Dependencies of opening answers. */
export interface AnswerOpenerHost {
  clock: Clock;
  self: Identity;
  network: PeerNetwork;
  answers: AnswerStore;
  registry: RequestRegistry;
  runner: Runner;
}

/** Starts requests, or finds the answers of those started before under the same name. */
export interface AnswerOpener {
  open(request: RunRequest, issued: IssuedKey | undefined): Promise<AnswerSource | Refusal>;
}

/** Creates an opener, and runs requests of other instances under the keys that this one issued. */
export function createAnswerOpener(host: AnswerOpenerHost): AnswerOpener {
  const { clock, self, network, answers, registry, runner } = host;
  /** Requests started under keys that this incarnation issued, by name. */
  const issuedRuns = new Map<string, { request: string; digest: string }>();

  network.handle(startTopic, async (_from, request) => startIssued(request));

  function startIssued(request: RunRequest): StartReply {
    const id = getNameId(request.name);
    const known = issuedRuns.get(id);
    if (known && known.digest !== request.digest) return { kind: 'refused', refusal: KEY_REUSED };
    if (known) return { kind: 'started', request: known.request };
    if (request.isContinuation) return { kind: 'refused', refusal: createLostRefusal() };
    issuedRuns.set(id, { request: request.id, digest: request.digest });
    runner.start(request);
    return { kind: 'started', request: request.id };
  }

  // Repeats the start while the issuer falls silent, because it starts a request only once.
  async function openIssued(
    request: RunRequest,
    { issuer }: IssuedKey,
  ): Promise<AnswerSource | Refusal> {
    if (issuer.instance === self.instance && issuer.incarnation === self.incarnation) {
      const started = startIssued(request);
      return started.kind === 'refused' ? started.refusal : openLocal(started.request);
    }
    if (!network.getIdentity(issuer.instance)) return ISSUER_UNREACHABLE;
    const deadline = clock.elapsed() + request.patience;
    let opened = await forwardIssued(request, issuer);
    while (!opened && clock.elapsed() < deadline) {
      await sleep(clock, FORWARD_RETRY_DELAY_MS);
      const patience = Math.max(0, deadline - clock.elapsed());
      opened = await forwardIssued({ ...request, patience }, issuer);
    }
    return opened ?? createLostRefusal();
  }

  // Returns `undefined` if it is not known whether the issuer has started the request.
  async function forwardIssued(
    request: RunRequest,
    { instance, incarnation }: Identity,
  ): Promise<AnswerSource | Refusal | undefined> {
    const current = network.getIdentity(instance);
    if (current && current.incarnation !== incarnation) return ISSUER_GONE;
    const reply = await network.call(instance, startTopic, request, FORWARD_TIMEOUT_MS);
    if (reply.err) return undefined;
    if (reply.val.kind === 'refused') return reply.val.refusal;
    return createRemoteSource(network, instance, reply.val.request);
  }

  function openLocal(request: string): AnswerSource | Refusal {
    const answer = answers.get(request);
    return answer ? createLocalSource(request, answer) : ANSWER_EXPIRED;
  }

  async function openNamed(
    request: RunRequest,
    name: RequestName,
  ): Promise<AnswerSource | Refusal> {
    const { digest, isIdempotent } = request;
    const begin = { name, digest, isIdempotent, runner: self, request: request.id };
    let reply = await registry.begin(begin);
    for (let count = 0; count < BEGIN_RETRIES_MAX && isForgotten(reply); count += 1) {
      await sleep(clock, BEGIN_RETRY_DELAY_MS);
      reply = await registry.begin(begin);
    }
    return match(reply)
      .with({ kind: 'mismatch' }, () => KEY_REUSED)
      .with({ kind: 'lost' }, () => createLostRefusal())
      .with({ kind: 'run' }, ({ isProvisional = false }) =>
        startNamed({ ...request, isProvisional }, name),
      )
      .with({ kind: 'resume' }, ({ state }) =>
        createLocalSource(request.id, runner.resume(request, state)),
      )
      .with({ kind: 'attach' }, (held) => attach(held.runner, held.request))
      .exhaustive();
  }

  function startNamed(request: RunRequest, name: RequestName): AnswerSource | Refusal {
    if (!request.isContinuation) return createLocalSource(request.id, runner.start(request));
    // Nobody has the answer any more whose part the caller received.
    registry.recordFinish(name, request.id, false);
    return createLostRefusal();
  }

  // The answer of a request that did not run is dropped here shortly before its keeper is notified.
  function isForgotten(reply: BeginReply): boolean {
    if (reply.kind !== 'attach' || reply.runner.instance !== self.instance) return false;
    return answers.get(reply.request) === undefined;
  }

  function attach(holder: Identity, request: string): AnswerSource | Refusal {
    if (holder.instance === self.instance) return openLocal(request);
    return createRemoteSource(network, holder.instance, request);
  }

  return {
    async open(request, issued) {
      if (issued) return openIssued(request, issued);
      if (request.name) return openNamed(request, request.name);
      if (request.isContinuation) return CONTINUATION_WITHOUT_KEY;
      return createLocalSource(request.id, runner.start(request));
    },
  };
}

const CONTINUATION_WITHOUT_KEY = createRefusal(
  'key_required',
  'no',
  'Only a request with an idempotency key can be resumed after an event.',
);
const KEY_REUSED = createRefusal('key_reused', 'no', 'The key was used for another request.');
const ANSWER_EXPIRED = createRefusal('key_expired', 'unknown', 'The answer is not kept any more.');
const ISSUER_UNREACHABLE = createRefusal(
  'outcome_unknown',
  'unknown',
  'The instance that issued this key can not be reached now.',
  5000,
);
const ISSUER_GONE = createRefusal(
  'outcome_unknown',
  'unknown',
  'The instance that issued this key is gone; whether the request ran is not known.',
);

function getNameId(name: RequestName | undefined): string {
  return JSON.stringify([name?.account, name?.key]);
}
