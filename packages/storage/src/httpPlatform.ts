import http from 'node:http';
import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { callHttp } from '@pomeloroad/core';
import type { Clock, HttpAnswer, HttpFailure, Milliseconds, Outcome } from '@pomeloroad/core';
import { createBreaker } from './breaker';
import type { Breaker } from './breaker';
import { MemberSchema } from './memberSchema';
import type { CommitError, Membership, ObjectStore, Platform, Table } from './types';

const BREAKER_COOLDOWN_MS = 500;
const MAX_SOCKETS_PER_SERVICE = 8;
/** Shorter than the idle time after which middleboxes drop a connection. */
const IDLE_SOCKET_TIMEOUT_MS = 4000;

const STATUS_OK = 200;
const STATUS_MULTIPLE_CHOICES = 300;
const STATUS_NOT_FOUND = 404;

/** Base URLs of the platform's services, and settings of the connections to them. */
export interface PlatformOptions {
  tableUrl: string;
  objectsUrl: string;
  membershipUrl: string;
  /** Limit for each call. */
  timeout: Milliseconds;
  /** Local IP address of connections; empty if the system is to choose it. */
  sourceAddress: string;
}

/** Dependencies of the platform client. */
export interface PlatformHost {
  clock: Clock;
  /** Called when a service's breaker opens or closes. */
  onAvailability(service: string, isAvailable: boolean): void;
}

/** Sends a request to one service. */
type Send = (
  method: string,
  path: string,
  body?: string,
) => Promise<Outcome<HttpAnswer, HttpFailure>>;

const RowList = z.object({
  rows: z.array(z.object({ key: z.string(), version: z.number(), value: z.unknown() })),
});
const CommitReply = z.object({ committed: z.boolean(), conflicts: z.array(z.string()) });
const NameList = z.object({ names: z.array(z.string()) });
const MemberList = z.object({ members: z.array(MemberSchema) });

/** Creates a client of the platform's services over HTTP. Each service has its own breaker. */
export function createHttpPlatform(host: PlatformHost, options: PlatformOptions): Platform {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_SERVICE,
    timeout: IDLE_SOCKET_TIMEOUT_MS,
    localAddress: options.sourceAddress || undefined,
  });

  function createSend(service: string, base: string): Send {
    const breaker = createBreaker(host.clock, BREAKER_COOLDOWN_MS, (isOpen) =>
      host.onAvailability(service, !isOpen),
    );
    return (method, path, body) =>
      sendWithBreaker(breaker, { agent, options, base }, method, path, body);
  }

  return {
    table: createHttpTable(createSend('table', options.tableUrl)),
    objects: createHttpObjects(createSend('objects', options.objectsUrl)),
    membership: createHttpMembership(createSend('membership', options.membershipUrl)),
  };
}

/** Connection settings and base URL for one service. */
interface Target {
  agent: http.Agent;
  options: PlatformOptions;
  base: string;
}

async function sendWithBreaker(
  breaker: Breaker,
  target: Target,
  method: string,
  path: string,
  body?: string,
): Promise<Outcome<HttpAnswer, HttpFailure>> {
  if (!breaker.allowCall())
    return Err({ kind: 'unavailable', ran: 'no', message: 'breaker is open' });
  const answer = await callHttp({
    method,
    url: `${target.base}${path}`,
    headers: { 'content-type': 'application/json' },
    body,
    timeout: target.options.timeout,
    agent: target.agent,
  });
  if (answer.err) {
    breaker.recordFailure();
    // After one connection died without notice, other idle ones may be dead too.
    Object.values(target.agent.freeSockets).forEach((sockets) =>
      sockets?.forEach((socket) => socket.destroy()),
    );
    return answer;
  }
  if (answer.val.status >= 500) {
    breaker.recordFailure();
    return Err({
      kind: 'unavailable',
      ran: inferRan(answer.val),
      message: `status ${answer.val.status}`,
    });
  }
  breaker.recordSuccess();
  return answer;
}

// The services answer 503 before they process a request. After any other 5xx it may have run.
function inferRan(answer: HttpAnswer): 'no' | 'unknown' {
  return answer.status === 503 ? 'no' : 'unknown';
}

function createHttpTable(send: Send): Table {
  return {
    async commit(transaction) {
      const answer = await send('POST', '/v1/commit', JSON.stringify(transaction));
      if (answer.err) return Err(toCommitError(answer.val));
      const reply = parse(CommitReply, answer.val);
      if (reply.err) return Err({ kind: 'unknown', message: reply.val.message });
      if (reply.val.committed) return Ok.EMPTY;
      return Err({ kind: 'conflict', keys: reply.val.conflicts });
    },
    async read(keys) {
      const answer = await send('POST', '/v1/read', JSON.stringify({ keys }));
      return answer.andThen((value) => parse(RowList, value)).map((reply) => reply.rows);
    },
    async scan(prefix) {
      const answer = await send('GET', `/v1/scan?prefix=${encodeURIComponent(prefix)}`);
      return answer.andThen((value) => parse(RowList, value)).map((reply) => reply.rows);
    },
  };
}

function toCommitError(failure: HttpFailure): CommitError {
  const kind = failure.ran === 'no' ? 'unavailable' : 'unknown';
  return { kind, message: failure.message };
}

function createHttpObjects(send: Send): ObjectStore {
  return {
    async put(name, body) {
      const answer = await send('PUT', `/v1/objects/${encodeURIComponent(name)}`, body);
      return answer.andThen(requireSuccess).map(() => undefined);
    },
    async get(name) {
      const answer = await send('GET', `/v1/objects/${encodeURIComponent(name)}`);
      if (answer.ok && answer.val.status === STATUS_NOT_FOUND) return Ok(undefined);
      return answer.andThen(requireSuccess).map((value) => value.body.toString());
    },
    async list(prefix) {
      const answer = await send('GET', `/v1/objects?prefix=${encodeURIComponent(prefix)}`);
      return answer.andThen((value) => parse(NameList, value)).map((reply) => reply.names);
    },
  };
}

function createHttpMembership(send: Send): Membership {
  return {
    async list() {
      const answer = await send('GET', '/v1/members');
      return answer.andThen((value) => parse(MemberList, value)).map((reply) => reply.members);
    },
    async announce(member) {
      const path = `/v1/members/${encodeURIComponent(member.name)}`;
      const answer = await send('PUT', path, JSON.stringify(member));
      return answer.andThen(requireSuccess).map(() => undefined);
    },
    async withdraw(member) {
      const path = `/v1/members/${encodeURIComponent(member.name)}?incarnation=${member.incarnation}`;
      const answer = await send('DELETE', path);
      return answer.map(() => undefined);
    },
  };
}

function requireSuccess(answer: HttpAnswer): Outcome<HttpAnswer, HttpFailure> {
  const { status } = answer;
  if (status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES) return Ok(answer);
  return Err({ kind: 'unavailable', ran: 'unknown', message: `status ${status}` });
}

function parse<T>(schema: z.ZodType<T>, answer: HttpAnswer): Outcome<T, HttpFailure> {
  try {
    return Ok(schema.parse(JSON.parse(answer.body.toString())));
  } catch {
    const message = `unexpected answer of the platform (status ${answer.status})`;
    return Err({ kind: 'unavailable', ran: 'unknown', message });
  }
}
