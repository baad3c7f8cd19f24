import http from 'node:http';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import { createRandom } from '@pomeloroad/core';
import { encodeWork, sendCallerCall } from '@pomeloroad/standins';
import type { AnswerFault, AnswerFraming, Work } from '@pomeloroad/standins';
import { pause } from '../pause';
import { ACCOUNTS, HOST, ROUTES, TOKENS_PER_EVENT } from './configuration';
import type { Evidence } from './evidence';
import type { Fleet, FleetInstance } from './fleet';
import type { RequestRecord } from './requestRecord';

const TIME_LIMIT_MS: Milliseconds = 4000;
const PAUSE_MAX_MS = 120;
const EVENTS_MAX = 12;
const EVENT_PAUSE_MAX_MS = 60;
const INPUT_TOKENS_MAX = 60;
const FRAMINGS: AnswerFraming[] = ['length', 'chunked', 'close'];
const FAULTS: AnswerFault[] = ['short', 'extra', 'other', 'length', 'late'];
/** One answer in this many has a fault. */
const FAULT_RATIO = 12;

/** Callers that send one request after another. */
export interface Callers {
  /** Stops sending; resolves when the last answer has ended. */
  stop(): Promise<void>;
}

/** Dependencies of the callers. */
export interface CallersHost {
  clock: Clock;
  fleet: Fleet;
  evidence: Evidence;
  seed: number;
  count: number;
}

/** Starts callers that each keep their connection to an instance until it closes. */
export function startCallers(host: CallersHost): Callers {
  let isStopped = false;
  const loops = Array.from({ length: host.count }, (_, index) => runCaller(index));

  async function runCaller(index: number): Promise<void> {
    const random = createRandom(host.seed * host.count + index);
    let instance: FleetInstance | undefined;
    let agent = createAgent();
    for (let number = 1; !isStopped; number += 1) {
      const work = drawWork(random);
      const drawn = drawAccount(random);
      const choice = random.fraction();
      const inputTokens = random.integer(1, INPUT_TOKENS_MAX);
      const delay = random.integer(0, PAUSE_MAX_MS);
      if (!instance) {
        instance = chooseInstance(host.fleet, choice);
        agent.destroy();
        agent = createAgent();
      }
      const id = `c${index + 1}-${number}`;
      const answer = await send({ id, work, ...drawn, instance, inputTokens, agent });
      // A caller stays at its instance for as long as its connection does.
      if (answer.status === 0 || Object.keys(agent.freeSockets).length === 0) instance = undefined;
      await pause(delay);
    }
    agent.destroy();
  }

  async function send(request: {
    id: string;
    work: Work;
    account: string;
    key: string;
    instance: FleetInstance;
    inputTokens: number;
    agent: http.Agent;
  }) {
    const { id, work, account, key, instance, inputTokens, agent } = request;
    const now = () => host.clock.now().getTime();
    const base = { id, account, work, instance: instance.name, inputTokens, resumeAfter: 0 };
    const record: RequestRecord = { ...base, sentAt: now(), runs: [], lines: [] };
    const path = encodeWork(work);
    record.lines.push({ at: now(), source: 'caller', text: `sends ${path} to ${instance.name}` });
    host.evidence.open(record);
    const answer = await sendCallerCall({
      ...{ id, host: HOST, path, key, inputTokens, agent, resumeAfter: 0 },
      address: instance.callersLink.address,
      timeLeft: TIME_LIMIT_MS,
      outputTokens: work.events * TOKENS_PER_EVENT,
    });
    record.answer = answer;
    record.endedAt = now();
    const { body, ...head } = answer;
    const text = JSON.stringify({ ...head, bytes: body.length });
    record.lines.push({ at: now(), source: 'caller', text });
    return answer;
  }

  return {
    async stop() {
      isStopped = true;
      await Promise.all(loops);
    },
  };
}

function createAgent(): http.Agent {
  return new http.Agent({ keepAlive: true, maxSockets: 1 });
}

// As the platform does: all instances count if fewer than half of them are in rotation.
function chooseInstance({ instances }: Fleet, choice: number): FleetInstance {
  const ready = instances.filter((instance) => instance.isReady);
  const candidates = ready.length * 2 < instances.length ? instances : ready;
  return candidates[Math.floor(choice * candidates.length)] as FleetInstance;
}

function drawAccount(random: Random): { account: string; key: string } {
  const account = draw(random, ACCOUNTS);
  return { account: account.name, key: account.keys[0] ?? '' };
}

function drawWork(random: Random): Work {
  return {
    route: draw(random, ROUTES).name,
    framing: draw(random, FRAMINGS),
    events: random.integer(1, EVENTS_MAX),
    pause: random.integer(0, EVENT_PAUSE_MAX_MS),
    fault: random.integer(1, FAULT_RATIO) === 1 ? draw(random, FAULTS) : 'none',
  };
}

/** Returns one of the items at random. */
export function draw<T>(random: Random, items: readonly T[]): T {
  return items[random.integer(0, items.length - 1)] as T;
}
