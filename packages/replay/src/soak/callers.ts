import http from 'node:http';
import { match } from 'ts-pattern';
import { createRandom } from '@pomeloroad/core';
import type { Random } from '@pomeloroad/core';
import { listVersions } from '@pomeloroad/standins';
import type { AnswerFraming, CallerAnswer, Work } from '@pomeloroad/standins';
import { pause } from '../pause';
import { ROUTES } from './configuration';
import { draw } from './draw';
import { chooseInstance, drawRequest, EVENT_PAUSE_MAX_MS, EVENTS_MAX } from './drawnRequest';
import type { DrawnRequest } from './drawnRequest';
import type { Fleet, FleetInstance } from './fleet';
import { countEvents } from './requestRecord';
import type { Sender } from './sender';

const PAUSE_MAX_MS = 120;
/** One caller that asks for answers that end early to this many others. */
const EARLY_END_RATIO = 6;
/** Time in which all answers end as they should, for comparison. */
const EARLY_END_START_MS = 2500;
const EARLY_END_EVENTS_MIN = 3;
const EARLY_END_PAUSE_MIN_MS = 10;
/** Streams of engines that work in steps. */
const STEPPED_EVENTS_MIN = 2;
const STEPPED_EVENTS_MAX = 6;
const STEPPED_FRAMINGS: AnswerFraming[] = ['chunked', 'chunked', 'close'];
const STEPPED_LIMIT_MIN_MS = 1000;
const STEPPED_LIMIT_MAX_MS = 2500;
/** Streams that last for some time, in any case less than callers wait. */
const LONG_EVENTS_MIN = 24;
const LONG_EVENTS_MAX = 40;
const LONG_PAUSE_MIN_MS = 30;
const LONG_PAUSE_MAX_MS = 70;
/** Least part of an answer's length that is its time limit. */
const TIME_LIMIT_PART_MIN = 0.3;
const STREAM_ROUTES = ROUTES.filter(({ kind }) => kind === 'streaming').map(({ name }) => name);
/** How often a caller tries to take a stream up again. */
const TRIES_MAX = 4;

/** The same each time, so that all of them are one request that comes again. */
const CRASHING_REQUEST: Work = {
  route: 'often',
  framing: 'length',
  events: 3,
  pause: 10,
  fault: 'crash-request',
};
/** Ends of answers that are not whole, which some callers ask for: in order, or by a crash. */
export const EarlyEnds = ['short-limits', 'empty-ends', 'crashing-parts'] as const;
/** Those that are only asked for by name. */
// Callers of `take-ups` leave by themselves, and take the stream up at the same or another instance. Those of
// `long-streams` have a stream open most of the time, so that faults of endpoints meet them.
export const RareEarlyEnds = [
  'crashing-requests',
  'forgotten-ends',
  'engine-steps',
  'take-ups',
  'long-streams',
] as const;
export type EarlyEnd = (typeof EarlyEnds | typeof RareEarlyEnds)[number];

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
  /** Ends that callers beyond the count ask for. */
  earlyEnds: EarlyEnd[];
}

// A stream of which a caller has some events; a new one if it has none.
interface Resumption {
  work: Work;
  resumes?: string;
  resumeAfter: number;
  heldVersions: string[];
  tries: number;
}

const NO_LIMITS: Pick<DrawnRequest, 'patience' | 'timeLimit'> = {};
const NOTHING_HELD = { resumeAfter: 0, heldVersions: [], tries: 0 };

/** Starts callers that each keep their connection to an instance until it closes. */
export function startCallers(host: CallersHost): Callers {
  let isStopped = false;
  const length = host.count + countFurther(host);
  const loops = Array.from({ length }, (_, index) => runCaller(index));

  async function runCaller(index: number): Promise<void> {
    const random = createRandom(host.seed * host.count + index);
    let instance: FleetInstance | undefined;
    let agent = createAgent();
    let resumption: Resumption | undefined;
    if (index >= host.count) await pause(EARLY_END_START_MS);
    for (let number = 1; !isStopped; number += 1) {
      const drawn =
        index < host.count
          ? drawRequest(random, host.hasFaults)
          : drawEarlyEnd(random, host.earlyEnds);
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
      const { patience, timeLimit } = resumption ? NO_LIMITS : drawn;
      const hasPrompt = host.earlyEnds.includes('crashing-parts');
      const request = { ...drawn, ...held, patience, timeLimit, id, instance, agent, hasPrompt };
      const answer = await host.sender.send(request);
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

// Engines that work in steps are asked for more than they can make, and long streams for each kill to break off some.
function countFurther({ earlyEnds, count }: CallersHost): number {
  if (earlyEnds.includes('engine-steps') || earlyEnds.includes('long-streams')) return count;
  return earlyEnds.length > 0 ? Math.ceil(count / EARLY_END_RATIO) : 0;
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

// The time limit of an answer falls between two of its events; an empty end needs a stream.
function drawEarlyEnd(random: Random, earlyEnds: EarlyEnd[]): DrawnRequest {
  const base = { account: 'rich', key: 'key-of-rich', inputTokens: 1 };
  const events = random.integer(EARLY_END_EVENTS_MIN, EVENTS_MAX);
  const pauseLength = random.integer(EARLY_END_PAUSE_MIN_MS, EVENT_PAUSE_MAX_MS);
  const part = TIME_LIMIT_PART_MIN + random.fraction() * (1 - TIME_LIMIT_PART_MIN);
  const route = draw(random, ROUTES).name;
  const work = { framing: 'chunked' as const, events, pause: pauseLength };
  const stream = { ...work, route: 'stream' };
  return match(draw(random, earlyEnds))
    .with('short-limits', () => ({
      ...base,
      work: { ...work, route, fault: 'none' as const },
      timeLimit: Math.ceil(events * pauseLength * part),
    }))
    .with('empty-ends', () => ({ ...base, work: { ...stream, fault: 'empty' as const } }))
    .with('forgotten-ends', () => ({ ...base, work: { ...stream, fault: 'forgotten' as const } }))
    .with('crashing-parts', () => ({
      ...base,
      work: { ...work, route: draw(random, STREAM_ROUTES), fault: 'crash' as const },
    }))
    .with('take-ups', () => ({
      ...base,
      work: { ...stream, fault: 'none' as const },
      patience: Math.ceil(events * pauseLength * part),
    }))
    .with('long-streams', () => ({ ...base, work: drawLongStream(random) }))
    .with('crashing-requests', () => ({ ...base, work: CRASHING_REQUEST }))
    .with('engine-steps', () => ({ ...base, ...drawStepped(random) }))
    .exhaustive();
}

function drawLongStream(random: Random): Work {
  const events = random.integer(LONG_EVENTS_MIN, LONG_EVENTS_MAX);
  const pauseLength = random.integer(LONG_PAUSE_MIN_MS, LONG_PAUSE_MAX_MS);
  return { route: 'stream', framing: 'chunked', events, pause: pauseLength, fault: 'none' };
}

// The engine decides when the events come.
function drawStepped(random: Random): Pick<DrawnRequest, 'work' | 'timeLimit'> {
  const route = draw(random, STREAM_ROUTES);
  const events = random.integer(STEPPED_EVENTS_MIN, STEPPED_EVENTS_MAX);
  const timeLimit = random.integer(STEPPED_LIMIT_MIN_MS, STEPPED_LIMIT_MAX_MS);
  const framing = draw(random, STEPPED_FRAMINGS);
  return { work: { route, framing, events, pause: 0, fault: 'steps' }, timeLimit };
}
