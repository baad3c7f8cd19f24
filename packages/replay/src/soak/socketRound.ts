import type { Milliseconds, Random } from '@pomeloroad/core';
import { RequestForms, UnreadableKinds } from '@pomeloroad/standins';
import type { RequestForm, UnreadableKind } from '@pomeloroad/standins';
import { draw } from './draw';
import { drawRequest } from './drawnRequest';
import type { DrawnRequest } from './drawnRequest';

const STARTS = ['at-once', 'at-once', 'at-once', 'paused', 'paused', 'nearly-idle'] as const;
const DELIVERIES = ['one-write', 'one-write', 'pieces', 'apart'] as const;
const READINGS = ['steady', 'steady', 'steady', 'slow', 'stalled', 'stopped'] as const;
const LEAVES = ['fin', 'reset'] as const;
const REQUESTS_MAX = 4;
const BODY_MAX_BYTES = 600;
/** One round in this many has something behind its requests that no server may run. */
const UNREADABLE_RATIO = 3;
const UNREADABLE_DELAY_MAX_MS: Milliseconds = 300;
/** One in this many comes in the same write as the last request. */
const AT_ONCE_RATIO = 3;
/** One such round in this many has no request before it. */
const EMPTY_RATIO = 8;
const LEAVING_RATIO = 6;
const LEAVING_DELAY_MAX_MS: Milliseconds = 400;
/** One request in this many is written in a form of its own; the others have a length or no body. */
const FORM_RATIO = 3;
/** Forms after which the instance reads nothing more of the connection. */
const ENDING_FORMS: RequestForm[] = ['http-1.0', 'close'];
/** Forms that an instance may refuse as malformed. */
const REFUSABLE_FORMS: RequestForm[] = ['http-1.0'];

/** A request of a round. */
export interface RoundRequest {
  drawn: DrawnRequest;
  form: RequestForm;
  body: string;
  /** Whether the instance may refuse it, or may not read it any more. */
  mayBeRefused: boolean;
}

/** Something behind the requests of a round, and the time from the last of them. */
export interface Unreadable {
  kind: UnreadableKind;
  after: Milliseconds;
}

/** What a caller on a plain socket does with its connection until it has its answers. */
export interface SocketRound {
  /** When it begins: with the last byte of the answer before, after a pause, or just before the idle timeout. */
  start: (typeof STARTS)[number];
  requests: RoundRequest[];
  delivery: (typeof DELIVERIES)[number];
  /** `stalled` reads nothing for a time, `stopped` nothing at all. */
  reading: (typeof READINGS)[number];
  unreadable?: Unreadable;
  /** How the caller leaves before its answers have ended, and when. */
  leaving?: { kind: (typeof LEAVES)[number]; after: Milliseconds };
}

/** What rounds may hold. */
export interface RoundOptions {
  /** Whether answers are to have faults. */
  hasFaults: boolean;
  /** Whether something that no server may run is to come behind requests. */
  hasUnreadable: boolean;
}

/** Returns a round at random. */
export function drawRound(random: Random, { hasFaults, hasUnreadable }: RoundOptions): SocketRound {
  const drawn = drawUnreadable(random);
  const unreadable = hasUnreadable ? drawn : undefined;
  const isEmpty = random.integer(1, EMPTY_RATIO) === 1 && unreadable !== undefined;
  const count = random.integer(1, REQUESTS_MAX);
  const requests = Array.from({ length: count }, () => drawRoundRequest(random, hasFaults));
  const reading = draw(random, READINGS);
  const leaves = random.integer(1, LEAVING_RATIO) === 1 || reading === 'stopped';
  const leaving = {
    kind: draw(random, LEAVES),
    after: random.integer(0, LEAVING_DELAY_MAX_MS),
  };
  return {
    start: draw(random, STARTS),
    requests: isEmpty ? [] : markUnread(requests),
    delivery: draw(random, DELIVERIES),
    reading,
    ...(unreadable ? { unreadable } : {}),
    ...(leaves ? { leaving } : {}),
  };
}

/** Whether the instance closes the connection after the round. */
export function endsConnection({ requests, unreadable }: SocketRound): boolean {
  return unreadable !== undefined || requests.some(({ form }) => ENDING_FORMS.includes(form));
}

/** Returns the name of each behaviour of the round. */
export function listBehaviours(round: SocketRound): string[] {
  const { start, requests, delivery, reading, unreadable, leaving } = round;
  return [
    `start ${start}`,
    `delivery ${delivery}`,
    `reading ${reading}`,
    `requests ${requests.length}`,
    ...requests.map(({ form }) => `form ${form}`),
    ...(unreadable ? [`behind ${unreadable.kind}`] : []),
    ...(leaving ? [`leaving ${leaving.kind}`] : []),
  ];
}

function drawUnreadable(random: Random): Unreadable | undefined {
  const isDrawn = random.integer(1, UNREADABLE_RATIO) === 1;
  const kind = draw(random, UnreadableKinds);
  const isAtOnce = random.integer(1, AT_ONCE_RATIO) === 1;
  const after = isAtOnce ? 0 : random.integer(1, UNREADABLE_DELAY_MAX_MS);
  return isDrawn ? { kind, after } : undefined;
}

function drawRoundRequest(random: Random, hasFaults: boolean): RoundRequest {
  const drawn = drawRequest(random, hasFaults);
  const isSpecial = random.integer(1, FORM_RATIO) === 1;
  const form = draw<RequestForm>(random, isSpecial ? RequestForms : ['no-body', 'length']);
  const body = 'b'.repeat(random.integer(1, BODY_MAX_BYTES));
  return { drawn, form, body, mayBeRefused: REFUSABLE_FORMS.includes(form) };
}

function markUnread(requests: RoundRequest[]): RoundRequest[] {
  const last = requests.findIndex(({ form }) => ENDING_FORMS.includes(form));
  if (last < 0) return requests;
  return requests.map((request, index) =>
    index > last ? { ...request, mayBeRefused: true } : request,
  );
}
