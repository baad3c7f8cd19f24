import { hashText } from '@pomeloroad/core';

/** How an answer tells its end: a length, chunks, or neither, so that it ends with its connection. */
export type AnswerFraming = 'length' | 'chunked' | 'close';

/** What an endpoint does to an answer; `none` sends it as it should be. */
export type AnswerFault =
  | 'none'
  /** Ends too early: the connection is closed in order. */
  | 'short'
  /** Sends bytes after the end of the answer. */
  | 'extra'
  /** Names another request. */
  | 'other'
  /** Tells a length that is larger than the answer. */
  | 'length'
  /** Begins only after a second. */
  | 'late'
  /** Falls silent halfway for over a second and goes on. */
  | 'silent'
  /** Ends too early, and states the end at once, with no event, if asked to go on. */
  | 'empty'
  /** As `empty`, but at all endpoints that are asked to go on. */
  | 'forgotten'
  /** The prompt holds a part under which the endpoint dies soon after the head. */
  | 'crash'
  /** The endpoint dies soon after the head, whatever the prompt holds. */
  | 'crash-request'
  /** Comes from an engine that works in steps and stops short of its time limit, at all endpoints. */
  | 'steps';

/** What a request asks an endpoint to send. It stands in the request's path. */
export interface Work {
  /** First segment of the path, which selects the route. */
  route: string;
  framing: AnswerFraming;
  /** Number of events of a stream, or of lines of a whole answer. */
  events: number;
  /** Time between two events in milliseconds. */
  pause: number;
  fault: AnswerFault;
}

const CRASHING_PART = 'bad';
const PART_TOKENS = 10;
/** Number of second parts of prompts that requests of one route share. */
const SECOND_PARTS = 5;

/** Returns the prompt of a request: parts that others of its route share, and one of its own. */
export function encodePrompt({ route, events, fault }: Work, id: string): string {
  const bad = fault === 'crash' ? [CRASHING_PART] : [];
  const parts = [route, `${route}-${events % SECOND_PARTS}`, ...bad, id];
  return parts.map((part) => `${part}:${PART_TOKENS}`).join(',');
}

/** Whether endpoints crash under the prompt. */
export function isCrashing(prompt: string): boolean {
  return prompt.split(',').includes(`${CRASHING_PART}:${PART_TOKENS}`);
}

/** Returns the path of a request for the work. */
export function encodeWork({ route, framing, events, pause, fault }: Work): string {
  return `/${route}/${framing}/${events}/${pause}/${fault}`;
}

/** Returns the work that the path asks for. */
export function decodeWork(path: string): Work {
  const [, route = '', framing = '', events = '', pause = '', fault = ''] = path.split('/');
  return {
    route,
    framing: framing as AnswerFraming,
    events: Number(events),
    pause: Number(pause),
    fault: fault as AnswerFault,
  };
}

/** Returns the event with the number, from 1, of the answer to a request; it names its version. */
export function renderEvent(request: string, number: number, version: string): string {
  return `id: ${number}\ndata: ${hashText(`${request}.${number}`)} ${version}\n\n`;
}

/** Returns the versions that the events of a body name, each once. */
export function listVersions(body: string): string[] {
  const versions = [...body.matchAll(/^data: \S+ (\S+)$/gm)].map(([, version = '']) => version);
  return [...new Set(versions)];
}

/** Returns the body without the versions that its events name. */
export function stripVersions(body: string): string {
  return body.replace(/^(data: \S+) \S*$/gm, '$1 ');
}

/** Returns the events after the given one up to the last one. */
export function renderEvents(
  request: string,
  after: number,
  last: number,
  version: string,
): string {
  const numbers = Array.from(
    { length: Math.max(0, last - after) },
    (_, index) => after + index + 1,
  );
  return numbers.map((number) => renderEvent(request, number, version)).join('');
}

/** Returns the signature of an endpoint's answer to a request. */
export function signAnswer(endpoint: string, request: string): string {
  return `${endpoint}.${hashText(`${endpoint} ${request}`).slice(0, 16)}`;
}
