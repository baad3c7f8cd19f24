import { createRandom } from '@pomeloroad/core';
import type { Milliseconds, Random } from '@pomeloroad/core';
import { encodeWork, renderRequest, renderUnreadable } from '@pomeloroad/standins';
import type { CallerFields } from '@pomeloroad/standins';
import { pause } from '../pause';
import type { Callers, CallersHost } from './callers';
import { HOST, IDLE_TIMEOUT_MS, TOKENS_PER_EVENT } from './configuration';
import { chooseInstance } from './drawnRequest';
import { count } from './evidence';
import type { Evidence } from './evidence';
import type { FleetInstance } from './fleet';
import { TIME_LIMIT_MS } from './sender';
import type { SoakRequest } from './sender';
import { openSocket } from './socketConnection';
import type { SocketConnection } from './socketConnection';
import { drawRound, endsConnection, listBehaviours } from './socketRound';
import type { RoundOptions, RoundRequest, SocketRound } from './socketRound';

const SEED_STEP = 1009;
const PAUSE_MAX_MS: Milliseconds = 120;
/** Callers use connections again that have been idle for this part of the timeout. */
const IDLE_PART = 0.8;
const PIECE_MAX_BYTES = 50;
const PIECE_PAUSE_MAX_MS: Milliseconds = 4;
const WRITE_PAUSE_MAX_MS: Milliseconds = 60;
/** Time for which a caller waits to be told to go on with a body. */
const INTERIM_TIMEOUT_MS: Milliseconds = 300;
const SLOW_READ_INTERVAL_MS: Milliseconds = 40;
const STALL_MIN_MS: Milliseconds = 300;
const STALL_MAX_MS: Milliseconds = 2000;
/** Time beyond their limit for which a caller waits for its answers. */
const EXTRA_PATIENCE_MS: Milliseconds = 500;
const CLOSE_TIMEOUT_MS: Milliseconds = 1000;
const STATUS_REFUSED_MIN = 400;

/** Dependencies of callers on plain sockets. */
export interface SocketCallersHost extends Omit<CallersHost, 'earlyEnds'>, RoundOptions {
  evidence: Evidence;
}

// A connection and the instance behind it.
interface Held {
  connection: SocketConnection;
  instance: FleetInstance;
}

/**
 * Starts callers that write their requests to plain sockets and read the answers with a parser of their
 * own. Each draws what it does at random, round after round.
 */
export function startSocketCallers(host: SocketCallersHost): Callers {
  let isStopped = false;
  const loops = Array.from({ length: host.count }, (_, index) => runCaller(index));

  async function runCaller(index: number): Promise<void> {
    const random = createRandom(host.seed * SEED_STEP + index);
    let held: Held | undefined;
    for (let number = 1; !isStopped; number += 1) {
      const round = drawRound(random, host);
      const choice = random.fraction();
      const isDirect = random.integer(0, 1) === 0;
      if (!held?.connection.isOpen()) held = open(choice, isDirect);
      else await waitForStart(random, round);
      await playRound(host, random, held, round, `s${index + 1}-${number}`);
      // Nothing to be seen at the connection keeps the loop from spinning.
      if (!held.connection.isOpen()) await pause(random.integer(1, PAUSE_MAX_MS));
    }
    held?.connection.leave('fin');
  }

  function open(choice: number, isDirect: boolean): Held {
    const instance = chooseInstance(host.fleet, choice);
    const address = isDirect ? instance.callersAddress : instance.callersLink.address;
    return { connection: openSocket(address), instance };
  }

  return {
    async stop() {
      isStopped = true;
      await Promise.all(loops);
    },
  };
}

async function waitForStart(random: Random, { start }: SocketRound): Promise<void> {
  if (start === 'paused') await pause(random.integer(1, PAUSE_MAX_MS));
  if (start === 'nearly-idle') await pause(IDLE_TIMEOUT_MS * IDLE_PART);
}

async function playRound(
  host: SocketCallersHost,
  random: Random,
  held: Held,
  round: SocketRound,
  name: string,
): Promise<void> {
  const { connection } = held;
  const { requests, unreadable, leaving } = round;
  const behaviours = listBehaviours(round);
  behaviours.forEach((behaviour) => count(host.evidence.behaviours, behaviour));
  const opened = requests.map((request, index) =>
    openRequest(host, held, request, {
      id: `${name}-${index + 1}`,
      behaviour: behaviours.join(', '),
      ...(leaving ? { patience: leaving.after } : {}),
    }),
  );
  const parts = opened.flatMap((request) => request.parts);
  const answers = opened.map(({ answer }) => answer);
  if (leaving) pause(leaving.after).then(() => connection.leave(leaving.kind));
  read(random, connection, round, Promise.all(answers));
  const unread = unreadable
    ? renderUnreadable(unreadable.kind, createUnreadFields(`${name}-unread`))
    : '';
  const isAtOnce = unreadable?.after === 0;
  await deliver(
    random,
    connection,
    round,
    isAtOnce ? [...parts, { text: unread, waits: false }] : parts,
  );
  if (unreadable && !isAtOnce) {
    await pause(unreadable.after);
    connection.write(unread);
  }
  const limit = setTimeout(() => connection.leave('reset'), TIME_LIMIT_MS + EXTRA_PATIENCE_MS);
  await Promise.all(answers);
  clearTimeout(limit);
  if (endsConnection(round) || leaving || !connection.isOpen()) {
    await Promise.race([connection.closed, pause(CLOSE_TIMEOUT_MS)]);
    connection.leave('fin');
  }
  checkConnection(host.evidence, connection, round, `${name} at ${held.instance.name}`);
}

// Text that is written at once; what waits is only written after an interim answer, or a time.
interface Part {
  text: string;
  waits: boolean;
}

function openRequest(
  { sender }: SocketCallersHost,
  { connection, instance }: Held,
  { drawn, form, body, mayBeRefused }: RoundRequest,
  own: Pick<SoakRequest, 'id' | 'behaviour' | 'patience'>,
): { parts: Part[]; answer: Promise<void> } {
  const { work, account, key, inputTokens } = drawn;
  const asked = { work, account, key, inputTokens, resumeAfter: 0, heldVersions: [] };
  const isOldVersion = form === 'http-1.0';
  const sent = form === 'no-body' ? '' : body;
  const flags = { mayBeRefused, isOldVersion };
  const request = sender.open({ ...asked, ...own, ...flags, body: sent, instance });
  const text = renderRequest(request.fields, form, body);
  const answer = connection.expect(own.id).then(request.end);
  if (form !== 'expect') return { parts: [{ text: text.head + text.body, waits: false }], answer };
  const parts = [
    { text: text.head, waits: false },
    { text: text.body, waits: true },
  ];
  return { parts, answer };
}

async function deliver(
  random: Random,
  connection: SocketConnection,
  { delivery }: SocketRound,
  parts: Part[],
): Promise<void> {
  for (const { text, waits } of groupParts(parts, delivery)) {
    if (waits) await Promise.race([connection.waitForInterim(), pause(INTERIM_TIMEOUT_MS)]);
    if (delivery === 'pieces') await writePieces(random, connection, text);
    else connection.write(text);
    if (delivery === 'apart') await pause(random.integer(0, WRITE_PAUSE_MAX_MS));
  }
}

// Joins what goes out in one write.
function groupParts(parts: Part[], delivery: SocketRound['delivery']): Part[] {
  if (delivery === 'apart') return parts;
  return parts.reduce<Part[]>((groups, { text, waits }) => {
    const last = groups.at(-1);
    if (!last || waits) return [...groups, { text, waits }];
    return [...groups.slice(0, -1), { ...last, text: last.text + text }];
  }, []);
}

async function writePieces(
  random: Random,
  connection: SocketConnection,
  text: string,
): Promise<void> {
  for (let from = 0; from < text.length;) {
    const to = from + random.integer(1, PIECE_MAX_BYTES);
    connection.write(text.slice(from, to));
    from = to;
    await pause(random.integer(0, PIECE_PAUSE_MAX_MS));
  }
}

async function read(
  random: Random,
  connection: SocketConnection,
  { reading }: SocketRound,
  ended: Promise<unknown>,
): Promise<void> {
  if (reading === 'steady') return;
  connection.stopReading();
  if (reading === 'stopped') return;
  if (reading === 'stalled') {
    await pause(random.integer(STALL_MIN_MS, STALL_MAX_MS));
    connection.readOn();
    return;
  }
  const timer = setInterval(() => {
    connection.readOn();
    setImmediate(connection.stopReading);
  }, SLOW_READ_INTERVAL_MS);
  await ended;
  clearInterval(timer);
  setImmediate(connection.readOn);
}

// A request that has to be refused, whatever the instance reads of it.
function createUnreadFields(id: string): CallerFields {
  const path = encodeWork({ route: 'once', framing: 'length', events: 1, pause: 0, fault: 'none' });
  const limits = { timeLeft: TIME_LIMIT_MS, inputTokens: 1, outputTokens: TOKENS_PER_EVENT };
  return { id, host: HOST, path, key: 'key-of-rich', ...limits, resumeAfter: 0 };
}

// What can't be read, or comes behind the last request that is read, is refused once.
function checkConnection(
  evidence: Evidence,
  { strays, getUnreadable }: SocketConnection,
  round: SocketRound,
  name: string,
): void {
  const unreadable = getUnreadable();
  const readable = unreadable === undefined ? undefined : `${name}: no answer: ${unreadable}`;
  evidence.check('readable', readable);
  const isDue = strays.length <= (endsConnection(round) ? 1 : 0);
  const isRefusal = strays.every((status) => status >= STATUS_REFUSED_MIN);
  const text = `${name}: ${strays.join()} without a request (${listBehaviours(round).join(', ')})`;
  evidence.check('strays', isDue && isRefusal ? undefined : text);
}
