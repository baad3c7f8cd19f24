import http from 'node:http';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { encodePrompt, encodeWork, sendCallerCall } from '@pomeloroad/standins';
import type { CallerAnswer, Work } from '@pomeloroad/standins';
import { HOST, TOKENS_PER_EVENT } from './configuration';
import type { Evidence } from './evidence';
import type { FleetInstance } from './fleet';
import type { RequestRecord } from './requestRecord';

/** Time that callers usually give a request. */
export const TIME_LIMIT_MS: Milliseconds = 4000;

/** A request that a caller sends. */
export interface SoakRequest {
  id: string;
  work: Work;
  account: string;
  key: string;
  inputTokens: number;
  /** Whether the request tells the parts of its prompt. */
  hasPrompt?: boolean;
  resumeAfter: number;
  resumes?: string;
  heldVersions: string[];
  instance: FleetInstance;
  /** Connections to use; `undefined` opens a new one. */
  agent?: http.Agent;
  /** Time after which the caller leaves; `undefined` for its time limit. */
  patience?: Milliseconds;
  /** Time that it gives the request; `undefined` for the usual one. It waits as long all the same. */
  timeLimit?: Milliseconds;
}

/** Sends requests of callers and records what they see. */
export interface Sender {
  send(request: SoakRequest): Promise<CallerAnswer>;
}

/** Creates a sender. */
export function createSender(clock: Clock, evidence: Evidence): Sender {
  const now = () => clock.now().getTime();
  return {
    async send({ work, key, instance, agent, patience, timeLimit, hasPrompt, ...fields }) {
      const path = encodeWork(work);
      const text = `sends ${path} to ${instance.name} after event ${fields.resumeAfter}`;
      const lines = [{ at: now(), source: 'caller', text }];
      const patiences = { patience, timeLimit };
      const base = { ...fields, ...patiences, work, instance: instance.name, life: instance.life };
      const record: RequestRecord = { ...base, sentAt: now(), runs: [], arrivals: [], lines };
      evidence.open(record);
      const answer = await sendCallerCall({
        ...fields,
        ...{ host: HOST, path, key, agent: agent ?? false },
        address: instance.callersLink.address,
        timeLeft: timeLimit ?? TIME_LIMIT_MS,
        patience: patience ?? TIME_LIMIT_MS,
        outputTokens: work.events * TOKENS_PER_EVENT,
        prompt: hasPrompt ? encodePrompt(work, fields.id) : undefined,
      });
      record.answer = answer;
      record.endedAt = now();
      const { body, ...head } = answer;
      const seen = JSON.stringify({ ...head, bytes: body.length });
      lines.push({ at: now(), source: 'caller', text: seen });
      return answer;
    },
  };
}
