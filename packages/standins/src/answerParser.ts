/** An answer as its bytes tell it. */
export interface WireAnswer {
  status: number;
  /** Fields of the head, by their names in lower case. */
  headers: Record<string, string>;
  framing: 'length' | 'chunked' | 'close';
  body: string;
  /** Whether its own framing has ended it. */
  isComplete: boolean;
}

/** Reads the answers of one connection, in order. */
export interface AnswerParser {
  add(data: Buffer): void;
  /** The other side has closed the connection in order, which ends an answer without other framing. */
  end(): void;
  /** The answer that has begun, if any. */
  getPartial(): WireAnswer | undefined;
}

/** What a parser reports. */
export interface AnswerListener {
  onAnswer(answer: WireAnswer): void;
  /** Called for an interim answer, such as 100. */
  onInterim(status: number): void;
  /** Called once if bytes are no answer; all later bytes are ignored. */
  onUnreadable(text: string): void;
}

type State =
  'head' | 'body' | 'chunk-size' | 'chunk-end' | 'trailers' | 'until-close' | 'unreadable';

const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';
const NOTHING_LEFT = 0;
const HEX = 16;
const SUCCESS_MIN = 200;
const UNREADABLE_SHOWN = 40;
/** Statuses of answers without a body. */
const BODILESS = [204, 304];

/** Creates a parser for a connection on which no answer has begun. */
export function createAnswerParser(listener: AnswerListener): AnswerParser {
  let rest = '';
  let state: State = 'head';
  let left = NOTHING_LEFT;
  let answer: WireAnswer | undefined;

  // Returns whether the bytes at hand took it any further.
  const steps: Record<State, () => boolean> = {
    head: readHead,
    body: readBody,
    'chunk-size': readChunkSize,
    'chunk-end': readChunkEnd,
    trailers: readTrailer,
    'until-close': readUntilClose,
    unreadable: () => false,
  };

  function readHead(): boolean {
    const end = rest.indexOf(HEAD_END);
    if (end < 0) return /^(H|HT|HTT|HTTP.*)?$/s.test(rest) ? false : giveUp();
    const parsed = parseHead(rest.slice(0, end));
    if (!parsed) return giveUp();
    rest = rest.slice(end + HEAD_END.length);
    if (parsed.status < SUCCESS_MIN) {
      listener.onInterim(parsed.status);
      return true;
    }
    answer = parsed;
    const length = BODILESS.includes(parsed.status) ? '0' : parsed.headers['content-length'];
    left = Number(length ?? NOTHING_LEFT);
    if (parsed.framing === 'chunked') state = 'chunk-size';
    else if (length === undefined) state = 'until-close';
    else if (left > 0) state = 'body';
    else finish();
    return true;
  }

  function readBody(): boolean {
    if (rest === '' || !answer) return false;
    const part = rest.slice(0, left);
    answer.body += part;
    rest = rest.slice(part.length);
    left -= part.length;
    if (left > 0) return false;
    if (answer.framing === 'chunked') state = 'chunk-end';
    else finish();
    return true;
  }

  function readChunkSize(): boolean {
    const line = takeLine();
    if (line === undefined) return false;
    if (!/^[0-9a-f]+(;.*)?$/i.test(line)) return giveUp();
    left = parseInt(line, HEX);
    state = left === 0 ? 'trailers' : 'body';
    return true;
  }

  function readChunkEnd(): boolean {
    const line = takeLine();
    if (line === undefined) return false;
    if (line !== '') return giveUp();
    state = 'chunk-size';
    return true;
  }

  function readTrailer(): boolean {
    const line = takeLine();
    if (line === '') finish();
    return line !== undefined;
  }

  function readUntilClose(): boolean {
    if (answer) answer.body += rest;
    rest = '';
    return false;
  }

  function takeLine(): string | undefined {
    const end = rest.indexOf(LINE_END);
    if (end < 0) return undefined;
    const line = rest.slice(0, end);
    rest = rest.slice(end + LINE_END.length);
    return line;
  }

  function finish(): void {
    const finished = answer;
    answer = undefined;
    state = 'head';
    if (finished) listener.onAnswer({ ...finished, isComplete: true });
  }

  function giveUp(): false {
    state = 'unreadable';
    listener.onUnreadable(rest.slice(0, UNREADABLE_SHOWN));
    return false;
  }

  return {
    add(data) {
      rest += data.toString('latin1');
      while (steps[state]());
    },
    end() {
      if (state === 'until-close') finish();
    },
    getPartial: () => answer,
  };
}

function parseHead(text: string): WireAnswer | undefined {
  const [statusLine = '', ...lines] = text.split(LINE_END);
  const status = /^HTTP\/1\.[01] (\d{3})( |$)/.exec(statusLine)?.[1];
  if (status === undefined || !lines.every((line) => /^[^\s:]+:/.test(line))) return undefined;
  const headers: Record<string, string> = {};
  lines.forEach((line) => {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  });
  const framing = findFraming(headers);
  return { status: Number(status), headers, framing, body: '', isComplete: false };
}

function findFraming(headers: Record<string, string>): WireAnswer['framing'] {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'close' : 'length';
}
