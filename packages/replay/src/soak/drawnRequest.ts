import type { Random } from '@pomeloroad/core';
import type { AnswerFault, AnswerFraming, Work } from '@pomeloroad/standins';
import { ROUTES } from './configuration';
import { draw } from './draw';
import type { Fleet, FleetInstance } from './fleet';

/** Most events of an answer. */
export const EVENTS_MAX = 12;
/** Longest pause between two events. */
export const EVENT_PAUSE_MAX_MS = 60;
const INPUT_TOKENS_MAX = 60;
const FRAMINGS: AnswerFraming[] = ['length', 'chunked', 'close'];
const FAULTS: AnswerFault[] = ['short', 'extra', 'other', 'length', 'late', 'silent'];
/** One answer in this many has a fault. */
const FAULT_RATIO = 12;
/** One caller in this many leaves before its answer has ended. */
const LEAVING_RATIO = 6;
const PATIENCE_MAX_MS = 400;

/** What a caller asks for next, but for the instance. */
export interface DrawnRequest {
  work: Work;
  account: string;
  key: string;
  inputTokens: number;
  /** Time in milliseconds after which it leaves. */
  patience?: number;
  /** Time in milliseconds that it gives the request. */
  timeLimit?: number;
}

/** Returns an instance as the platform does: all instances count if fewer than half of them are in rotation. */
export function chooseInstance({ instances }: Fleet, choice: number): FleetInstance {
  const ready = instances.filter((instance) => instance.isReady);
  const candidates = ready.length * 2 < instances.length ? instances : ready;
  return candidates[Math.floor(choice * candidates.length)] as FleetInstance;
}

/** Returns a request of any route; one in some has an endpoint's fault, one in some its caller leaves. */
export function drawRequest(random: Random, hasFaults: boolean): DrawnRequest {
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
