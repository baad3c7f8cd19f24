import net from 'node:net';
import {
  CALLER_LEFT,
  createAnswerParser,
  createCallerAnswer,
  readCallerHead,
} from '@pomeloroad/standins';
import type { CallerAnswer, WireAnswer } from '@pomeloroad/standins';

/** A connection of a caller that writes its requests itself. */
export interface SocketConnection {
  /** Whether it takes a further request: it is open, and no answer has announced its close. */
  isOpen(): boolean;
  /** Resolves to the answer that comes next once those expected before have come. */
  expect(id: string): Promise<CallerAnswer>;
  write(text: string): void;
  /** Resolves at the next interim answer. */
  waitForInterim(): Promise<void>;
  /** Reads nothing until `readOn` is called. */
  stopReading(): void;
  readOn(): void;
  /** Closes or resets the connection; all answers that have not ended are given up. */
  leave(kind: 'fin' | 'reset'): void;
  /** Resolves when the connection has closed. */
  closed: Promise<void>;
  /** Statuses of answers for which no request waited. */
  strays: number[];
  /** Bytes that were no answer, if any. */
  getUnreadable(): string | undefined;
}

/** An answer that has not ended. */
interface Expected {
  id: string;
  resolve(answer: CallerAnswer): void;
}

/** Opens a connection to `ip:port`. */
export function openSocket(address: string): SocketConnection {
  const [host = '', port = ''] = address.split(':');
  const socket = net.connect({ host, port: Number(port), noDelay: true });
  const expected: Expected[] = [];
  const strays: number[] = [];
  let unreadable: string | undefined;
  let interims: (() => void)[] = [];
  let error: string | undefined;
  let isClosed = false;
  let hasLeft = false;
  let isEnding = false;

  const parser = createAnswerParser({
    onAnswer(answer) {
      isEnding ||= answer.headers.connection === 'close';
      const next = expected.shift();
      if (next) next.resolve(toCallerAnswer(next.id, answer));
      else if (!hasLeft) strays.push(answer.status);
    },
    onInterim() {
      interims.forEach((resolve) => resolve());
      interims = [];
    },
    onUnreadable(text) {
      unreadable = text;
      socket.destroy();
    },
  });

  function giveUp(reason: string): void {
    const partial = parser.getPartial();
    expected.splice(0).forEach(({ id, resolve }, index) => {
      const behind = partial && index > 0 && !hasLeft ? ' behind a part of an answer' : '';
      const answer = toCallerAnswer(id, index === 0 ? partial : undefined);
      resolve({ ...answer, error: `${reason}${behind}` });
    });
  }

  const closed = new Promise<void>((resolve) => {
    socket.on('close', () => {
      isClosed = true;
      giveUp(error ?? 'closed');
      resolve();
    });
  });
  socket.on('data', parser.add);
  socket.on('end', parser.end);
  socket.on('error', ({ message }) => {
    error ??= message;
  });
  return {
    isOpen: () => !isClosed && !isEnding && socket.writable,
    expect: (id) =>
      new Promise((resolve) => {
        expected.push({ id, resolve });
        if (isClosed) giveUp(error ?? 'closed');
      }),
    write(text) {
      if (socket.writable) socket.write(text, 'latin1');
    },
    waitForInterim: () =>
      new Promise((resolve) => {
        interims.push(resolve);
      }),
    stopReading: () => socket.pause(),
    readOn: () => socket.resume(),
    leave(kind) {
      hasLeft = true;
      giveUp(CALLER_LEFT);
      if (kind === 'reset') socket.resetAndDestroy();
      else socket.end();
      // What the instance still sends does not matter, but its own end has to be seen.
      socket.resume();
    },
    closed,
    strays,
    getUnreadable: () => unreadable,
  };
}

function toCallerAnswer(id: string, answer: WireAnswer | undefined): CallerAnswer {
  const seen = createCallerAnswer();
  if (!answer) return seen;
  readCallerHead(seen, id, answer.status, answer.headers);
  return { ...seen, body: answer.body, looksComplete: answer.isComplete };
}
