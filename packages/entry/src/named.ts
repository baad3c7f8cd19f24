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
import type { RunRequest } from './runRequest';
import type { Runner } from './runner';
import { createLostRefusal } from './writer';

const FORWARD_TIMEOUT_MS = 2000;
const BEGINS = 20;
const BEGIN_RETRY_MS = 100;

/** Asks the issuer of a key to run the request that the key names. */
const startTopic = createTopic<RunRequest, StartReply>('request.start');

type StartReply = { kind: 'started'; request: string } | { kind: 'refused'; refusal: Refusal };

/** What opening answers needs from its surroundings. */
export interface OpenHost {
  clock: Clock;
  self: Identity;
  network: PeerNetwork;
  answers: AnswerStore;
  registry: RequestRegistry;
  runner: Runner;
}

/** Starts requests, or finds the answer of one that was started before under the same name. */
export interface Opener {
  open(request: RunRequest, issued: IssuedKey | undefined): Promise<AnswerSource | Refusal>;
}

/** Creates an opener and answers for the keys that this instance issued. */
export function createOpener(host: OpenHost): Opener {
  const { clock, self, network, answers, registry, runner } = host;
  /** Requests run under keys that this incarnation issued. */
  const issuedRuns = new Map<string, { request: string; digest: string }>();

  network.handle(startTopic, async (_from, request) => startIssued(request));

  function startIssued(request: RunRequest): StartReply {
    const id = getId(request.name);
    const known = issuedRuns.get(id);
    if (known && known.digest !== request.digest) return { kind: 'refused', refusal: REUSED };
    if (known) return { kind: 'started', request: known.request };
    issuedRuns.set(id, { request: request.id, digest: request.digest });
    runner.start(request);
    return { kind: 'started', request: request.id };
  }

  async function openIssued(
    request: RunRequest,
    { issuer }: IssuedKey,
  ): Promise<AnswerSource | Refusal> {
    if (issuer.instance === self.instance && issuer.incarnation === self.incarnation) {
      const started = startIssued(request);
      return started.kind === 'refused' ? started.refusal : openLocal(started.request);
    }
    const present = network.getIdentity(issuer.instance);
    if (present?.incarnation !== issuer.incarnation) return present ? GONE : UNREACHABLE;
    const { instance } = issuer;
    const reply = await network.call(instance, startTopic, request, FORWARD_TIMEOUT_MS);
    if (reply.err) return reply.val.ran === 'no' ? UNREACHABLE : createLostRefusal();
    if (reply.val.kind === 'refused') return reply.val.refusal;
    return createRemoteSource(network, instance, reply.val.request);
  }

  function openLocal(request: string): AnswerSource | Refusal {
    const answer = answers.get(request);
    return answer ? createLocalSource(answer) : EXPIRED;
  }

  async function openNamed(
    request: RunRequest,
    name: RequestName,
  ): Promise<AnswerSource | Refusal> {
    const { digest, isIdempotent } = request;
    const begin = { name, digest, isIdempotent, runner: self, request: request.id };
    let reply = await registry.begin(begin);
    for (let count = 0; count < BEGINS && isForgotten(reply); count += 1) {
      await sleep(clock, BEGIN_RETRY_MS);
      reply = await registry.begin(begin);
    }
    return match(reply)
      .with({ kind: 'mismatch' }, () => REUSED)
      .with({ kind: 'lost' }, () => createLostRefusal())
      .with({ kind: 'run' }, ({ isProvisional = false }) =>
        createLocalSource(runner.start({ ...request, isProvisional })),
      )
      .with({ kind: 'resume' }, ({ state }) => createLocalSource(runner.resume(request, state)))
      .with({ kind: 'attach' }, (held) => attach(held.runner, held.request))
      .exhaustive();
  }

  // A request that did not run is forgotten here a moment before its keeper learns of it.
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
      return createLocalSource(runner.start(request));
    },
  };
}

const REUSED = createRefusal('key_reused', 'no', 'The key was used for another request.');
const EXPIRED = createRefusal('key_expired', 'unknown', 'The answer is not kept any more.');
const UNREACHABLE = createRefusal(
  'outcome_unknown',
  'unknown',
  'The instance that issued this key can not be reached now.',
  5000,
);
const GONE = createRefusal(
  'outcome_unknown',
  'unknown',
  'The instance that issued this key is gone; whether the request ran is not known.',
);

function getId(name: RequestName | undefined): string {
  return JSON.stringify([name?.account, name?.key]);
}
