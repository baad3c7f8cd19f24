import { readFileSync } from 'node:fs';
import { z } from 'zod';

const Repeat = z.object({ after: z.number(), site: z.string() });

const RequestBase = {
  at: z.number(),
  id: z.string(),
  account: z.string(),
  budget: z.string(),
  site: z.string(),
  key: z.string().optional(),
  isIdempotent: z.boolean().default(true),
  priority: z.enum(['low', 'normal', 'high']).default('normal'),
  repeats: z.array(Repeat).default([]),
  expect: z.enum(['answered', 'answered-or-exhausted', 'invalid_request', 'not_found']),
};

const Chat = z.object({
  kind: z.literal('chat'),
  ...RequestBase,
  model: z.string(),
  prompt: z.string(),
  maxTokens: z.number(),
  isStreamed: z.boolean(),
});
const Call = z.object({
  kind: z.literal('call'),
  ...RequestBase,
  service: z.string(),
  method: z.string(),
  path: z.string(),
  body: z.string(),
});
const TopUp = z.object({
  kind: z.literal('topup'),
  at: z.number(),
  id: z.string(),
  budget: z.string(),
  tokens: z.number(),
});
const Apply = z.object({ kind: z.literal('apply'), at: z.number(), weight: z.number() });
const Drain = z.object({ kind: z.literal('drain'), at: z.number(), endpoint: z.string() });

const TraceEventSchema = z.discriminatedUnion('kind', [Chat, Call, TopUp, Apply, Drain]);

/** One line of a trace; times are in milliseconds from the start of the trace. */
export type TraceEvent = z.output<typeof TraceEventSchema>;

/** A request of a caller, with its expected outcome. */
export type TraceRequest = Extract<TraceEvent, { kind: 'chat' | 'call' }>;

/** A chat request of a trace. */
export type TraceChat = Extract<TraceEvent, { kind: 'chat' }>;

/** A call to a plain service in a trace. */
export type TraceCall = Extract<TraceEvent, { kind: 'call' }>;

/** Reads a trace file in JSON Lines. Throws with path and line number if a line is invalid. */
export function readTrace(path: string): TraceEvent[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.flatMap((line, index) => (line === '' ? [] : [parseLine(path, line, index + 1)]));
}

function parseLine(path: string, line: string, number: number): TraceEvent {
  try {
    return TraceEventSchema.parse(JSON.parse(line));
  } catch (error) {
    throw new Error(`${path}:${number}: ${(error as Error).message}`);
  }
}

/** Returns whether the event is a request of a caller. */
export function isRequest(event: TraceEvent): event is TraceRequest {
  return event.kind === 'chat' || event.kind === 'call';
}

/** Returns the messages of a chat request as they are sent. */
export function getMessages(chat: TraceChat) {
  return [{ role: 'user', content: chat.prompt }];
}
