import { hashText } from '@pomeloroad/core';

const BYTES_PER_TOKEN = 4;
const TEMPLATE_TOKENS = 8;
const SHORTEST_ANSWER = 4;
const HASH_DIGITS = 8;

const WORDS = (
  'the truck tank route gauge rack pass depot valve pump order slot water roof drain filter ' +
  'survey grant visit gutter north south early late full empty check sign load return with and'
).split(' ');

/** A message of a chat request. */
export interface ChatMessage {
  role: string;
  content?: unknown;
}

/** What the model engine stand-in answers to a prompt. */
export interface GeneratedAnswer {
  tokens: string[];
  promptTokens: number;
  finish: 'stop' | 'length';
}

/** Generates the answer to a prompt; the same prompt and limit give the same answer. */
export function generateAnswer(messages: ChatMessage[], limit: number): GeneratedAnswer {
  const prompt = JSON.stringify(messages);
  const seed = hashText(prompt);
  const spread = Math.max(1, Math.floor(limit * 1.25) - SHORTEST_ANSWER);
  const natural = SHORTEST_ANSWER + (readNumber(seed, 0) % spread);
  const count = Math.min(natural, limit);
  const tokens = Array.from({ length: count }, (_, index) => pickWord(seed, index));
  return {
    tokens,
    promptTokens: countPromptTokens(messages),
    finish: natural > limit ? 'length' : 'stop',
  };
}

/** Tokens of a prompt as the stand-in counts them; never more than its bytes. */
export function countPromptTokens(messages: ChatMessage[]): number {
  return messages.reduce((sum, message) => {
    const content = typeof message.content === 'string' ? message.content : '';
    const bytes = Buffer.byteLength(message.role + content);
    return sum + Math.ceil(bytes / BYTES_PER_TOKEN) + TEMPLATE_TOKENS;
  }, 0);
}

function pickWord(seed: string, index: number): string {
  const hash = readNumber(hashText(`${seed}${index}`), 0);
  return `${WORDS[hash % WORDS.length]} `;
}

function readNumber(hash: string, from: number): number {
  return Number.parseInt(hash.slice(from, from + HASH_DIGITS), 16);
}
