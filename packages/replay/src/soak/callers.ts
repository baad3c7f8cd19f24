import http from 'node:http';
import { createRandom } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import type { AnswerFault, AnswerFraming, CallerAnswer, Work } from '@pomeloroad/standins';
import { pause } from '../pause';
import { ROUTES } from './configuration';
import { draw } from './draw';
import type { Fleet, FleetInstance } from './fleet';
import { countEvents } from './requestRecord';
import type { Sender } from './sender';

const PAUSE_MAX_MS = 120;
const EVENTS_MAX = 12;
const EVENT_PAUSE_MAX_MS = 60;
const INPUT_TOKENS_MAX = 60;
const FRAMINGS: AnswerFraming[] = ['length', 'chunked', 'close'];
const FAULTS: AnswerFault[] = ['short', 'extra', 'other', 'length', 'late', 'silent'];
/** One answer in this many has a fault. */
const FAULT_RATIO = 12;
/** One caller in this many leaves before its answer has ended. */
const LEAVING_RATIO = 15;
const PATIENCE_MAX_MS = 400;

/** Callers that send one request after another. */
export interface Callers {
  /** Stops sending; resolves when the last answer has ended. */
  stop(): Promise<void>;
}

/** Dependencies of the callers. */
export interface CallersHost {
  fleet: Fleet;
  sender: Sender;
  seed: number;
  count: number;
  /** Whether answers are to have faults. */
  hasFaults: boolean;
}

// What a caller asks for next, but for the instance.
interface Drawn {
  work: Work;
  account: string;
  key: string;
  inputTokens: number;
  patience?: number;
}

/** Starts callers that each keep their connection to an instance until it closes. */
export function startCallers(host: CallersHost): Callers {
  let isStopped = false;
  const loops = Array.from({ length: host.count }, (_, index) => runCaller(index));

  async function runCaller(index: number): Promise<void> {
    const random = createRandom(host.seed * host.count + index);
    let instance: FleetInstance | undefined;
    let agent = createAgent();
    let resumption: { work: Work; resumeAfter: number } | undefined;
    for (let number = 1; !isStopped; number += 1) {
      const drawn = drawRequest(random, host.hasFaults);
      const choice = random.fraction();
      const delay = random.integer(1, PAUSE_MAX_MS);
      if (!instance || Object.keys(agent.freeSockets).length === 0) {
        agent.destroy();
        agent = createAgent();
        instance = chooseInstance(host.fleet, choice);
      }
      const { work, resumeAfter } = resumption ?? { work: drawn.work, resumeAfter: 0 };
      const id = `c${index + 1}-${number}`;
      const request = { ...drawn, id, work, resumeAfter, instance, agent };
      const answer = await host.sender.send(request);
      resumption = findResumption(work, resumeAfter, answer);
      await pause(delay);
    }
    agent.destroy();
  }

  return {
    async stop() {
      isStopped = true;
      await Promise.all(loops);
    },
  };
}

// A caller goes on with a stream that broke off, with a request of its own.
function findResumption(work: Work, resumeAfter: number, answer: CallerAnswer) {
  if (work.route !== 'stream' || answer.status !== 200) return undefined;
  const received = resumeAfter + countEvents(answer.body);
  if (received === resumeAfter || received >= work.events) return undefined;
  return { work, resumeAfter: received };
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

function drawRequest(random: Random, hasFaults: boolean): Drawn {
  const account = draw(random, ['rich', 'poor']);
  const work: Work = {
    route: draw(random, ROUTES).name,
    framing: draw(random, FRAMINGS),
    events: random.integer(1, EVENTS_MAX),
    pause: random.integer(0, EVENT_PAUSE_MAX_MS),
    fault: random.integer(1, FAULT_RATIO) === 1 && hasFaults ? draw(random, FAULTS) : 'none',
  };
  const inputTokens = random.integer(1, INPUT_TOKENS_MAX);
  const leaves = random.integer(1, LEAVING_RATIO) === 1;
  const patience = leaves ? random.integer(1, PATIENCE_MAX_MS) : undefined;
  return { work, account, key: `key-of-${account}`, inputTokens, patience };
}
