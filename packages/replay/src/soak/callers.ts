import http from 'node:http';
import { createRandom } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import { listVersions } from '@pomeloroad/standins';
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
const LEAVING_RATIO = 6;
const PATIENCE_MAX_MS = 400;
/** How often a caller tries to take a stream up again. */
const TRIES_MAX = 4;

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

// A stream of which a caller has some events; a new one if it has none.
interface Resumption {
  work: Work;
  resumes?: string;
  resumeAfter: number;
  heldVersions: string[];
  tries: number;
}

const NOTHING_HELD = { resumeAfter: 0, heldVersions: [], tries: 0 };

/** Starts callers that each keep their connection to an instance until it closes. */
export function startCallers(host: CallersHost): Callers {
  let isStopped = false;
  const loops = Array.from({ length: host.count }, (_, index) => runCaller(index));

  async function runCaller(index: number): Promise<void> {
    const random = createRandom(host.seed * host.count + index);
    let instance: FleetInstance | undefined;
    let agent = createAgent();
    let resumption: Resumption | undefined;
    for (let number = 1; !isStopped; number += 1) {
      const drawn = drawRequest(random, host.hasFaults);
      const choice = random.fraction();
      const delay = random.integer(1, PAUSE_MAX_MS);
      const moves = resumption !== undefined && number % 2 === 0;
      if (!instance || moves || Object.keys(agent.freeSockets).length === 0) {
        agent.destroy();
        agent = createAgent();
        instance = chooseInstance(host.fleet, choice);
      }
      const id = `c${index + 1}-${number}`;
      const held = resumption ?? { ...NOTHING_HELD, work: drawn.work };
      const patience = resumption ? undefined : drawn.patience;
      const answer = await host.sender.send({ ...drawn, ...held, patience, id, instance, agent });
      resumption = findResumption(id, held, answer);
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

// A caller takes a stream that broke off up again, with a request of its own.
function findResumption(
  id: string,
  held: Resumption,
  { status, body }: CallerAnswer,
): Resumption | undefined {
  const { work, tries, heldVersions, resumes = id } = held;
  const brought = status === 200 ? body : '';
  const resumeAfter = held.resumeAfter + countEvents(brought);
  const isPartial = resumeAfter > 0 && resumeAfter < work.events;
  if (work.route !== 'stream' || !isPartial || tries === TRIES_MAX) return undefined;
  const versions = [...heldVersions, ...listVersions(brought)];
  return { work, resumes, resumeAfter, heldVersions: versions, tries: tries + 1 };
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
  const account = draw(random, ['rich', 'rich', 'rich', 'poor']);
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
