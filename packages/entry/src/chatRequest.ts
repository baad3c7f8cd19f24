import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import type { Outcome, Tokens } from '@pomeloroad/core';
import type { Configuration, Pool } from '@pomeloroad/configuration';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';

const TextPart = z.object({ type: z.literal('text'), text: z.string() });
const Message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(TextPart)]).nullish(),
});
const ChatBody = z.looseObject({
  model: z.string(),
  messages: z.array(Message).min(1),
  stream: z.boolean().optional(),
  n: z.literal(1).optional(),
  max_tokens: z.number().int().min(1).optional(),
  max_completion_tokens: z.number().int().min(1).optional(),
});

/** Fields of a request that add no tokens to its prompt. */
const NON_PROMPT_FIELDS = new Set([
  'model',
  'stream',
  'stream_options',
  'n',
  'max_tokens',
  'max_completion_tokens',
  'temperature',
  'top_p',
  'seed',
  'user',
  'presence_penalty',
  'frequency_penalty',
]);

/** A validated request for a chat completion. */
export interface ChatRequest {
  model: string;
  isStreamed: boolean;
  /** Upper bound of the prompt's tokens. */
  promptBound: Tokens;
  /** Upper bound of the answer's tokens, requested or by default of the pool. */
  outputBound: Tokens;
  /** The body that is sent to the endpoint. */
  body: Record<string, unknown>;
}

/**
 * Parses the body of a chat completion request. Refuses a body that is not valid, a model that is
 * not configured and more output tokens than the model's pool allows.
 */
export function parseChatRequest(
  configuration: Configuration,
  text: string,
): Outcome<ChatRequest, Refusal> {
  const json = parseJson(text);
  if (json.err) return json;
  const parsed = ChatBody.safeParse(json.val);
  if (!parsed.success) return refuse(formatIssues(parsed.error));
  const body = parsed.data;
  const pool = configuration.pools.find((candidate) => candidate.model === body.model);
  if (!pool) return Err(createRefusal('not_found', 'no', `There is no model "${body.model}".`));
  const outputBound = body.max_completion_tokens ?? body.max_tokens ?? pool.defaultOutputTokens;
  if (outputBound > pool.maxOutputTokens) {
    return refuse(`max_tokens is ${outputBound}, the model allows ${pool.maxOutputTokens}.`);
  }
  const { max_completion_tokens: unused, ...rest } = body;
  return Ok({
    model: body.model,
    isStreamed: body.stream ?? false,
    promptBound: getPromptBound(pool, body),
    outputBound,
    body: { ...rest, max_tokens: outputBound, stream: true, stream_options: USAGE_OPTION },
  });
}

const USAGE_OPTION = { include_usage: true };

// Each token of a byte-level vocabulary has at least one byte, so the byte count is an upper bound.
function getPromptBound(pool: Pool, body: z.output<typeof ChatBody>): Tokens {
  const messages = body.messages.map(({ role, content, ...rest }) => {
    const texts =
      typeof content === 'string' ? [content] : (content ?? []).map((part) => part.text);
    const extra = Object.keys(rest).length > 0 ? JSON.stringify(rest) : '';
    return countBytes(role + texts.join('') + extra) + pool.templateTokens;
  });
  const otherFields = Object.entries(body)
    .filter(([field]) => field !== 'messages' && !NON_PROMPT_FIELDS.has(field))
    .map(([field, value]) => countBytes(field + JSON.stringify(value)));
  return [...messages, ...otherFields].reduce((sum, bound) => sum + bound, pool.templateTokens);
}

function countBytes(text: string): number {
  return Buffer.byteLength(text);
}

function parseJson(text: string): Outcome<unknown, Refusal> {
  try {
    return Ok(JSON.parse(text));
  } catch (error) {
    return refuse(`The body is not JSON: ${(error as Error).message}.`);
  }
}

function refuse(message: string): Err<Refusal> {
  return Err(createRefusal('invalid_request', 'no', message));
}

function formatIssues(error: z.ZodError): string {
  const texts = error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`);
  return `The body is not a chat request: ${texts.join('; ')}.`;
}
