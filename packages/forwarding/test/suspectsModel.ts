import { createManualClock, createRandom, sleep } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import { createMemoryRowStore } from '@pomeloroad/storage';
import { createEndpointLosses } from '../src/store/endpointLosses';
import { startInstance } from './suspectsInstance';
import type { Instance } from './suspectsInstance';

const CONTACT_MS: Milliseconds = 3000;
/** Crashes after which bad requests are limited: of a part of prompts, and of one whole request. */
const CRASHES_FREE = { part: 5, request: 3 };
const ATTEMPTS = 2;
const STORE_CALL_MS: Milliseconds = 5;
const FIRST_EVENT_MS: Milliseconds = 20;
const CRASH_DELAY_MS: Milliseconds = 60;
const VERDICT_MS: Milliseconds = 10;
const SOUND_AFTER_MS: Milliseconds = 1000;
const STEP_MS: Milliseconds = 20;
const HARM_INTERVAL_MS: Milliseconds = 700;
const CUT_MS: Milliseconds = 3000;
const CALL_WAIT_MS: Milliseconds = 2000;
/** Time after an endpoint's death at which its entry goes. */
const LAPSE_MS: Milliseconds = 1400;
const COPY_AGE_MS: Milliseconds = 2000;

/** What happens to instances, endpoints or the store beside the bad requests. */
export type Harm =
  | 'none'
  | 'restarts'
  | 'all-restart'
  | 'cuts'
  | 'kills'
  | 'all-killed'
  | 'roll-out'
  | 'rewind'
  | 'leaving-callers';

/** One play of sound and bad requests. */
export interface Schedule {
  kind: 'part' | 'request';
  instances: number;
  endpoints: number;
  soundPerSecond: number;
  badPerSecond: number;
  /** Number of different second parts of prompts, or of different sound requests. */
  variants: number;
  /** Time of sound requests alone before the first bad one. */
  calm: Milliseconds;
  play: Milliseconds;
  answer: Milliseconds;
  harm: Harm;
  seed: number;
}

/** What is compared with the bounds. */
export interface PlayResult {
  crashes: number;
  /** Bad requests that reached endpoints too late. */
  late: number;
  /** Sound requests at instances in touch from some time after the last free crash on. */
  sound: number;
  begun: number;
  refused: number;
}

interface Work {
  instance: Instance;
  names: string[];
  end(result: 'answered' | 'broken'): void;
}

interface Endpoint {
  id: string;
  born: number;
  isAlive: boolean;
  works: Set<Work>;
}

/** Plays a schedule with real suspects over one store, and modelled callers and endpoints. */
export async function playBeside(schedule: Schedule): Promise<PlayResult> {
  const clock = createManualClock();
  const random = createRandom(schedule.seed);
  const memory = createMemoryRowStore();
  const losses = createEndpointLosses(clock);
  const instances = Array.from({ length: schedule.instances }, start);
  const endpoints = Array.from({ length: schedule.endpoints }, (_, index): Endpoint => ({
    id: `e-${index}`,
    born: 1,
    isAlive: true,
    works: new Set(),
  }));
  const badCrashes: Milliseconds[] = [];
  const badSent: { at: Milliseconds; isInTouch: boolean }[] = [];
  const sounds: { at: Milliseconds; isInTouch: boolean; state: 'refused' | 'begun' | 'none' }[] =
    [];
  let requests = 0;

  function start(): Instance {
    const shared = { clock, random, memory, losses, storeCall: STORE_CALL_MS };
    return startInstance(shared, 0);
  }

  const isInTouch = ({ calmFrom, stop }: Instance) =>
    !stop.signal.aborted && clock.elapsed() >= calmFrom;

  async function kill(endpoint: Endpoint): Promise<void> {
    if (!endpoint.isAlive) return;
    Object.assign(endpoint, { isAlive: false });
    const incarnation = `${endpoint.id}/${endpoint.born}`;
    const works = [...endpoint.works];
    endpoint.works.clear();
    reportLater(incarnation, works);
    works.forEach(({ end }) => end('broken'));
    clock.after(LAPSE_MS, () => losses.note(incarnation));
    await sleep(clock, random.integer(1500, 4000));
    Object.assign(endpoint, { born: endpoint.born + 1, isAlive: true });
  }

  // Each instance that lost requests at the endpoint learns of its crash.
  async function reportLater(incarnation: string, works: Work[]): Promise<void> {
    await sleep(clock, VERDICT_MS);
    new Set(works.map(({ instance }) => instance)).forEach((instance) => {
      const names = new Map<string, number>();
      works
        .filter((work) => work.instance === instance)
        .flatMap((work) => work.names)
        .forEach((name) => names.set(name, (names.get(name) ?? 0) + 1));
      if (!instance.stop.signal.aborted) instance.suspects.noteCrash({ incarnation, names });
    });
  }

  // Runs a request at the endpoint until it is answered or the endpoint dies.
  async function run(
    endpoint: Endpoint,
    instance: Instance,
    names: string[],
    begin: () => void,
  ): Promise<'answered' | 'broken'> {
    const incarnation = `${endpoint.id}/${endpoint.born}`;
    let isOver = false;
    return new Promise((resolve) => {
      const work: Work = {
        instance,
        names,
        end(result) {
          isOver = true;
          endpoint.works.delete(work);
          resolve(result);
        },
      };
      endpoint.works.add(work);
      const noteAnswer = () => instance.suspects.noteAnswer(names, incarnation);
      clock.after(FIRST_EVENT_MS, () => !isOver && begin());
      clock.after(FIRST_EVENT_MS + SOUND_AFTER_MS, () => !isOver && noteAnswer());
      clock.after(schedule.answer, () => {
        if (isOver) return;
        noteAnswer();
        work.end('answered');
      });
    });
  }

  function chooseEndpoint(excluded: Set<Endpoint>): Endpoint | undefined {
    const alive = endpoints.filter((endpoint) => endpoint.isAlive && !excluded.has(endpoint));
    return alive.length > 0 ? alive[random.integer(0, alive.length - 1)] : undefined;
  }

  async function send(
    instance: Instance,
    names: string[],
    isLeaving: boolean,
    attempt: (endpoint: Endpoint) => Promise<'answered' | 'broken'>,
  ): Promise<'refused' | 'ended'> {
    const { suspects } = instance;
    const admittance = await suspects.admit(names);
    if (admittance.kind === 'blocked' || admittance.kind === 'unknown') return 'refused';
    const probed = admittance.kind === 'probe' ? admittance.names : [];
    const tried = new Set<Endpoint>();
    for (let count = 0; count < (probed.length > 0 ? 1 : ATTEMPTS); count += 1) {
      const judged = suspects.judge(names.filter((name) => !probed.includes(name)));
      if (judged === 'blocked' || (count > 0 && judged === 'suspected')) break;
      const endpoint = chooseEndpoint(tried);
      if (!endpoint) break;
      tried.add(endpoint);
      if (isLeaving) {
        // Its caller has left before the first event.
        await sleep(clock, FIRST_EVENT_MS / 2);
        break;
      }
      if ((await attempt(endpoint)) === 'answered') break;
    }
    if (probed.length > 0 && tried.size === 0) suspects.giveBack(probed);
    return 'ended';
  }

  function getInstance(): Instance {
    return instances[random.integer(0, instances.length - 1)]!;
  }

  function createNames(): string[] {
    requests += 1;
    const variant = random.integer(0, schedule.variants - 1);
    if (schedule.kind === 'request') return [`request:sound-${variant}`];
    return ['first', `second-${variant}`, `request:${requests}`];
  }

  function drawLeaving(): boolean {
    return schedule.harm === 'leaving-callers' && random.fraction() < 0.5;
  }

  async function sendSound(): Promise<void> {
    const instance = getInstance();
    const names = createNames();
    const record: (typeof sounds)[number] = {
      at: clock.elapsed(),
      isInTouch: isInTouch(instance),
      state: 'none',
    };
    const isLeaving = drawLeaving();
    if (!isLeaving) sounds.push(record);
    const begin = () => {
      record.state = 'begun';
    };
    const result = await send(instance, names, isLeaving, (endpoint) =>
      run(endpoint, instance, names, begin),
    );
    if (result === 'refused') record.state = 'refused';
  }

  async function sendBad(): Promise<void> {
    const instance = getInstance();
    const [first, second = '', own = ''] = createNames();
    const names = schedule.kind === 'request' ? ['request:bad'] : [first!, second, 'bad', own];
    await send(instance, names, drawLeaving(), (endpoint) => {
      badSent.push({ at: clock.elapsed(), isInTouch: isInTouch(instance) });
      clock.after(CRASH_DELAY_MS, () => {
        if (endpoint.isAlive) badCrashes.push(clock.elapsed());
        kill(endpoint);
      });
      return new Promise((resolve) => {
        const work: Work = { instance, names, end: resolve };
        endpoint.works.add(work);
      });
    });
  }

  function restart(index: number): void {
    instances[index]!.stop.abort();
    instances[index] = { ...start(), calmFrom: clock.elapsed() + CONTACT_MS };
  }

  async function cut(instance: Instance): Promise<void> {
    Object.assign(instance, { isCut: true, calmFrom: Infinity });
    await sleep(clock, CUT_MS);
    Object.assign(instance, { isCut: false, calmFrom: clock.elapsed() + CONTACT_MS });
  }

  const harms: Record<Harm, (at: Milliseconds) => void> = {
    none: () => undefined,
    'leaving-callers': () => undefined,
    restarts: () => restart(random.integer(0, instances.length - 1)),
    'all-restart': (at) => {
      if (at === 0) instances.forEach((_, index) => restart(index));
    },
    cuts: () => cut(getInstance()),
    kills: () => kill(endpoints[random.integer(0, endpoints.length - 1)]!),
    'all-killed': (at) => {
      if (at <= 2 * HARM_INTERVAL_MS) endpoints.forEach(kill);
    },
    'roll-out': (at) => {
      const next = endpoints[at / HARM_INTERVAL_MS];
      if (next) kill(next);
    },
    rewind: (at) => {
      if (at !== 2 * HARM_INTERVAL_MS) return;
      const comeBack = memory.copy();
      clock.after(COPY_AGE_MS, comeBack);
    },
  };

  await clock.advance(CALL_WAIT_MS);
  for (let at = -schedule.calm; at < schedule.play; at += STEP_MS) {
    if (draws(random, schedule.soundPerSecond)) sendSound();
    if (at >= 0 && draws(random, schedule.badPerSecond)) sendBad();
    if (at >= 0 && at % HARM_INTERVAL_MS === 0) harms[schedule.harm](at);
    await clock.advance(STEP_MS);
  }
  instances.forEach(({ stop }) => stop.abort());
  const free = CRASHES_FREE[schedule.kind];
  const fifth = badCrashes[free - 1];
  const from = (fifth ?? badCrashes.at(-1) ?? Infinity) + 2 * CONTACT_MS;
  const until = clock.elapsed() - CONTACT_MS;
  const judged = sounds.filter(({ at, isInTouch: isIn }) => isIn && at >= from && at < until);
  return {
    crashes: badCrashes.length,
    late: badSent.filter(({ at, isInTouch: isIn }) => isIn && at > (fifth ?? Infinity) + CONTACT_MS)
      .length,
    sound: judged.length,
    begun: judged.filter(({ state }) => state === 'begun').length,
    refused: judged.filter(({ state }) => state === 'refused').length,
  };
}

function draws(random: Random, perSecond: number): boolean {
  return random.fraction() < (perSecond * STEP_MS) / 1000;
}
