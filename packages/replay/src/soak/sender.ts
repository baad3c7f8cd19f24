import http from 'node:http';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { encodePrompt, encodeWork, sendCallerCall } from '@pomeloroad/standins';
import type { CallerAnswer, CallerFields, Work } from '@pomeloroad/standins';
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
  /** How its caller writes it and reads its answer, if it does so itself. */
  behaviour?: string;
  /** Its body, which its caller writes itself; `undefined` for none. */
  body?: string;
  /** Whether the instance may refuse it as malformed. */
  mayBeRefused?: boolean;
  /** Whether it is of a version of HTTP without chunks. */
  isOldVersion?: boolean;
}

/** A request that is under way. */
export interface OpenRequest {
  /** What its head tells. */
  fields: CallerFields;
  /** Records what its caller has seen, once it sees no more of it. */
  end(answer: CallerAnswer): void;
}

/** Sends requests of callers and records what they see. */
export interface Sender {
  /** Sends a request through the HTTP client of Node. */
  send(request: SoakRequest): Promise<CallerAnswer>;
  /** Records a request that its caller writes itself. */
  open(request: SoakRequest): OpenRequest;
}

/** Creates a sender. */
export function createSender(clock: Clock, evidence: Evidence): Sender {
  const now = () => clock.now().getTime();

  function open(request: SoakRequest): OpenRequest {
    const { work, key, instance, agent, patience, timeLimit, hasPrompt, ...fields } = request;
    const path = encodeWork(work);
    const how = fields.behaviour === undefined ? '' : ` (${fields.behaviour})`;
    const text = `sends ${path} to ${instance.name} after event ${fields.resumeAfter}${how}`;
    const lines = [{ at: now(), source: 'caller', text }];
    const patiences = { patience, timeLimit };
    const base = { ...fields, ...patiences, work, instance: instance.name, life: instance.life };
    const record: RequestRecord = { ...base, sentAt: now(), runs: [], arrivals: [], lines };
    evidence.open(record);
    return {
      fields: {
        ...fields,
        ...{ host: HOST, path, key },
        timeLeft: timeLimit ?? TIME_LIMIT_MS,
        outputTokens: work.events * TOKENS_PER_EVENT,
        prompt: hasPrompt ? encodePrompt(work, fields.id) : undefined,
      },
      end(answer) {
        record.answer = answer;
        record.endedAt = now();
        const { body, ...head } = answer;
        const seen = JSON.stringify({ ...head, bytes: body.length });
        lines.push({ at: now(), source: 'caller', text: seen });
      },
    };
  }

  return {
    open,
    async send(request) {
      const { fields, end } = open(request);
      const { agent = false, instance, patience = TIME_LIMIT_MS } = request;
      const { address } = instance.callersLink;
      const answer = await sendCallerCall({ ...fields, agent, address, patience });
      end(answer);
      return answer;
    },
  };
}
