import net from 'node:net';
import { createRandom, listen, createSystemClock } from '@pomeloroad/core';
import {
  createAnswerParser,
  createCallerAnswer,
  RequestForms,
  UnreadableKinds,
  WireHeader,
} from '@pomeloroad/standins';
import type { CallerAnswer, WireAnswer } from '@pomeloroad/standins';
import { checkAnswered, checkOwner } from '../src/soak/answerChecks';
import type { CheckContext } from '../src/soak/checks';
import type { FaultScope } from '../src/soak/faultLog';
import { createFaultLog } from '../src/soak/faultLog';
import { createConfigurationHistory } from '../src/soak/configurationHistory';
import type { RequestRecord } from '../src/soak/requestRecord';
import { openSocket } from '../src/soak/socketConnection';
import { drawRound, listBehaviours } from '../src/soak/socketRound';

const LENGTH = `HTTP/1.1 200 OK\r\n${WireHeader.requestId}: a\r\nContent-Length: 5\r\n\r\nhello`;
const CHUNKS =
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: 1\r\n\r\n';
const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nhello';
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const REFUSED = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';
const ROUNDS = 2000;

interface Parsed {
  answers: WireAnswer[];
  interims: number[];
  unreadable: string[];
  partial: WireAnswer | undefined;
}

function parse(text: string, step: number, ends = false): Parsed {
  const answers: WireAnswer[] = [];
  const interims: number[] = [];
  const unreadable: string[] = [];
  const parser = createAnswerParser({
    onAnswer: (answer) => answers.push(answer),
    onInterim: (status) => interims.push(status),
    onUnreadable: (rest) => unreadable.push(rest),
  });
  for (let from = 0; from < text.length; from += step) {
    parser.add(Buffer.from(text.slice(from, from + step)));
  }
  if (ends) parser.end();
  return { answers, interims, unreadable, partial: parser.getPartial() };
}

test.each([1, 2, 7, 1000])('answers are read in order in pieces of %d bytes', (step) => {
  const { answers, interims, unreadable } = parse(
    LENGTH + CONTINUE + CHUNKS + UNFRAMED,
    step,
    true,
  );
  expect(answers.map(({ framing, body, isComplete }) => [framing, body, isComplete])).toEqual([
    ['length', 'hello', true],
    ['chunked', 'hello', true],
    ['close', 'hello', true],
  ]);
  expect(interims).toEqual([100]);
  expect(unreadable).toEqual([]);
});

test.each([LENGTH, CHUNKS, UNFRAMED])('an answer that is cut off is not complete: %j', (text) => {
  const { answers, partial } = parse(text.slice(0, -1), 1);
  expect(answers).toEqual([]);
  expect(partial?.status).toBe(200);
  expect(partial?.isComplete).toBe(false);
});

test.each([
  `${LENGTH}more`,
  'HTTP/1.1 nothing\r\n\r\n',
  CHUNKS.replace('3;x=1', 'zz'),
  CHUNKS.replace('hel\r', 'hell'),
])('bytes that are no answer are reported once: %j', (text) => {
  expect(parse(text, 1).unreadable).toHaveLength(1);
  expect(parse(text, 1000).unreadable).toHaveLength(1);
});

async function serveBytes(text: string, keepsOpen = false) {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => (keepsOpen ? socket.write(text) : socket.end(text)));
  });
  return { address: await listen(server, '127.0.0.1:0'), close: () => server.close() };
}

test('answers of a connection go to its requests in order, and the rest tell that they were cut', async () => {
  const { address, close } = await serveBytes(LENGTH + REFUSED);
  const connection = openSocket(address);
  const expected = ['a', 'b', 'c'].map((id) => connection.expect(id));
  connection.write('x');
  const [first, second, third] = await Promise.all(expected);
  expect(first).toMatchObject({ status: 200, isOwn: true, looksComplete: true, body: 'hello' });
  expect(second).toMatchObject({ status: 400, isOwn: false, looksComplete: true });
  expect(third).toMatchObject({ status: 0, error: 'closed' });
  await connection.closed;
  close();
});

test('requests behind a part of an answer tell that', async () => {
  const { address, close } = await serveBytes(LENGTH.slice(0, -1));
  const connection = openSocket(address);
  const expected = ['a', 'b'].map((id) => connection.expect(id));
  connection.write('x');
  const errors = (await Promise.all(expected)).map(({ error }) => error);
  expect(errors).toEqual(['closed', 'closed behind a part of an answer']);
  close();
});

test('an answer for which no request waits is told', async () => {
  const { address, close } = await serveBytes(LENGTH + LENGTH);
  const connection = openSocket(address);
  const answer = connection.expect('a');
  connection.write('x');
  await answer;
  await connection.closed;
  expect(connection.strays).toEqual([200]);
  close();
});

test.each([
  ['announces the close', LENGTH.replace('Content', 'Connection: close\r\nContent'), false],
  ['does not', LENGTH, true],
])('a connection whose answer %s is used again or not', async (_, text, isOpen) => {
  const { address, close } = await serveBytes(text, true);
  const connection = openSocket(address);
  const answer = connection.expect('a');
  connection.write('x');
  await answer;
  const isUsed = connection.isOpen();
  connection.leave('reset');
  await connection.closed;
  close();
  expect(isUsed).toBe(isOpen);
});

test('a caller that leaves sees no more of its answers', async () => {
  const { address, close } = await serveBytes(LENGTH);
  const connection = openSocket(address);
  const answer = connection.expect('a');
  connection.leave('fin');
  expect(await answer).toMatchObject({ status: 0, error: 'caller left' });
  await connection.closed;
  expect(connection.strays).toEqual([]);
  close();
});

function createRecord(answer: Partial<CallerAnswer>, hasRun = true): RequestRecord {
  const work = { route: 'once', framing: 'length', events: 1, pause: 0, fault: 'none' } as const;
  const run = {
    endpoint: 'endpoint-1',
    arrivedAt: 1100,
    at: 1100,
    lastAt: 1150,
    account: 'rich',
    path: '',
    sent: 1,
  };
  const ends = { body: '', isStated: true, isEnded: true, goesOn: false };
  return {
    ...{ id: 'a', account: 'rich', work, instance: 'instance-1', life: 1, inputTokens: 1 },
    ...{ resumeAfter: 0, heldVersions: [], sentAt: 1000, endedAt: 1200, arrivals: [], lines: [] },
    answer: { ...createCallerAnswer(), ...answer },
    runs: hasRun ? [{ ...run, ...ends }] : [],
  };
}

function createContext(scope?: FaultScope): CheckContext {
  const clock = { ...createSystemClock(), now: () => new Date(1100) };
  const faults = createFaultLog(clock);
  if (scope) faults.begin(scope);
  const history = createConfigurationHistory(clock);
  return { faults, history, departures: [], hasOlderBuild: false };
}

const LOST = { status: 0, error: 'closed' };

test.each([
  ['no answer', LOST, 'lost'],
  ['the refusal of what came behind it', { status: 431 }, 'misplaced'],
  ['part of its answer', { status: 200, body: 'id: 1', error: 'closed' }, 'cut'],
])('a request that has run and gets %s is a failure', (_, answer, message) => {
  const outcome = checkAnswered(createRecord(answer), createContext());
  expect(outcome).toEqual({ message: expect.stringContaining(message) });
});

test.each([
  ['its whole answer', { status: 200, body: 'id: 1\n\n' }, 'held'],
  ['a failure that may be true', { status: 502 }, 'held'],
  ['nothing after it has left', { status: 0, error: 'caller left' }, 'skipped'],
])('a request that has run and gets %s is no failure', (_, answer, outcome) => {
  expect(checkAnswered(createRecord(answer), createContext())).toBe(outcome);
});

test('a request whose endpoint broke off may end without an answer, but not with a refusal', () => {
  const work = { ...createRecord({}).work, fault: 'short' as const };
  expect(checkAnswered({ ...createRecord(LOST), work }, createContext())).toBe('skipped');
  const refused = checkAnswered({ ...createRecord({ status: 400 }), work }, createContext());
  expect(refused).toEqual({ message: expect.stringContaining('misplaced') });
});

test.each([
  [['instance-1'], 'harm', 'skipped'],
  [['instance-1 link'], 'harm', 'skipped'],
  [['instance-1 store'], 'harm', 'failure'],
  [['instance-1'], 'planned', 'failure'],
  [['instance-2'], 'harm', 'failure'],
] as const)('a fault of %j, %s: %s', (names, nature, expected) => {
  const context = createContext({ names: [...names], text: 'SIGHUP', nature });
  const outcome = checkAnswered(createRecord(LOST), context);
  expect(typeof outcome === 'string' ? outcome : 'failure').toBe(expected);
});

test('a refusal that does not name a sound request is not its own', () => {
  const refused = createRecord({ status: 400, isOwn: false }, false);
  expect(checkOwner(refused)).not.toBe('held');
  expect(checkOwner({ ...refused, mayBeRefused: true })).toBe('skipped');
  expect(checkOwner(createRecord({ status: 503 }, false))).toBe('held');
});

test('rounds of one seed are the same and hold every behaviour', () => {
  const draw = () => {
    const random = createRandom(1);
    return Array.from({ length: ROUNDS }, () =>
      drawRound(random, { hasFaults: true, hasUnreadable: true }),
    );
  };
  const rounds = draw();
  expect(draw()).toEqual(rounds);
  const seen = new Set(rounds.flatMap(listBehaviours));
  RequestForms.forEach((form) => expect(seen).toContain(`form ${form}`));
  UnreadableKinds.forEach((kind) => expect(seen).toContain(`behind ${kind}`));
});
