import { hashText } from '@pomeloroad/core';

const BYTES_PER_TOKEN = 4;
const TEMPLATE_TOKENS_PER_MESSAGE = 8;
const MIN_ANSWER_TOKENS = 4;
const HEX_DIGITS_PER_NUMBER = 8;

// The vocabulary of generated answers; one word is one token.
const WORDS = (
  'the truck tank route gauge rack pass depot valve pump order slot water roof drain filter ' +
  'survey grant visit gutter north south early late full empty check sign load return with and'
).split(' ');

/** A message of a chat request. */
export interface ChatMessage {
  role: string;
  content?: unknown;
}

/** The answer of the model engine stand-in to a prompt. */
export interface GeneratedAnswer {
  /** Text of each token. */
  tokens: string[];
  promptTokens: number;
  /** `length` if the token limit cut the answer, otherwise `stop`. */
  finish: 'stop' | 'length';
}

/**
 * Generates an answer of at most `limit` tokens. The result depends only on the messages and the
 * limit.
 */
export function generateAnswer(messages: ChatMessage[], limit: number): GeneratedAnswer {
  const prompt = JSON.stringify(messages);
  const seed = hashText(prompt);
  // Natural lengths reach up to 1.25 times the limit, so that the limit cuts some of the answers.
  const lengthRange = Math.max(1, Math.floor(limit * 1.25) - MIN_ANSWER_TOKENS);
  const naturalLength = MIN_ANSWER_TOKENS + (parseHashDigits(seed, 0) % lengthRange);
  const count = Math.min(naturalLength, limit);
  const tokens = Array.from({ length: count }, (_, index) => pickWord(seed, index));
  return {
    tokens,
    promptTokens: countPromptTokens(messages),
    finish: naturalLength > limit ? 'length' : 'stop',
  };
}

/**
 * Returns the number of prompt tokens that the stand-in bills. It never exceeds the size in bytes
 * of the messages as JSON.
 */
export function countPromptTokens(messages: ChatMessage[]): number {
  return messages.reduce((sum, message) => {
    const content = typeof message.content === 'string' ? message.content : '';
    const bytes = Buffer.byteLength(message.role + content);
    return sum + Math.ceil(bytes / BYTES_PER_TOKEN) + TEMPLATE_TOKENS_PER_MESSAGE;
  }, 0);
}

function pickWord(seed: string, index: number): string {
  const hash = parseHashDigits(hashText(`${seed}${index}`), 0);
  return `${WORDS[hash % WORDS.length]} `;
}

function parseHashDigits(hash: string, from: number): number {
  return Number.parseInt(hash.slice(from, from + HEX_DIGITS_PER_NUMBER), 16);
}
