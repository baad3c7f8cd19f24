import http from 'node:http';
import https from 'node:https';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { Err, Ok } from 'ts-results';
import { match } from 'ts-pattern';
import { isSameText, listen, readBody, writeJson } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import { auditLedger } from '@pomeloroad/budgets';
import type { Ledger } from '@pomeloroad/budgets';
import { applyConfiguration, parseConfiguration } from '@pomeloroad/configuration';
import type { ApplyError, ApplyHost, Distributor } from '@pomeloroad/configuration';
import type { Platform } from '@pomeloroad/storage';
import type { Settings } from './settings';

const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

const TopUpBody = z.strictObject({
  budget: z.string().regex(/^[^/]+\/[^/]+$/, 'expected ACCOUNT/BUDGET'),
  id: z
    .string()
    .regex(/^[A-Za-z0-9._-]{1,100}$/, 'expected 1 to 100 of A-Z, a-z, 0-9, ".", "_", "-"'),
  tokens: z.number().int().positive(),
});
const DrainBody = z.strictObject({ endpoint: z.string(), isDraining: z.boolean() });

/** Dependencies of the operators' interface. */
export interface OperatorServerHost {
  settings: Settings;
  platform: Platform;
  ledger: Ledger;
  applyHost: ApplyHost;
  distributor: Distributor;
  /** Whether the instance accepts requests of callers. */
  isReady(): boolean;
  renderMetrics(): string;
  /** Returns the state dump. */
  dump(): unknown;
}

/** Serves the HTTP interface of operators. */
export interface OperatorServer {
  /** Starts listening; resolves to the address in use. */
  listen(): Promise<string>;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Status and JSON body of an answer to an operator. */
interface Reply {
  status: number;
  body: unknown;
}

type Route = (request: IncomingMessage, url: URL) => Promise<Reply>;

/** Creates a server that does not listen yet; uses HTTPS if `tls` is given. */
export function createOperatorServer(
  host: OperatorServerHost,
  tls?: { cert: string; key: string },
): OperatorServer {
  const { settings, platform, ledger, distributor, applyHost } = host;
  const server = tls ? https.createServer(tls, handleRequest) : http.createServer(handleRequest);
  const routes: Record<string, Route> = {
    'GET /dump': async () => createReply(200, host.dump()),
    'GET /v1/status': async () => createReply(200, host.dump()),
    'GET /v1/configuration': async () =>
      createReply(200, { version: distributor.getVersion(), text: distributor.getText() }),
    'PUT /v1/configuration': apply,
    'GET /v1/history': async () => toReply(await applyHost.store.history()),
    'POST /v1/topups': topUp,
    'POST /v1/drains': drain,
    'GET /v1/audit': audit,
    'GET /v1/usage': listUsage,
  };

  async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://operators');
    if (url.pathname === '/health/live') return writeJson(response, 200, { isLive: true });
    if (url.pathname === '/health/ready') {
      const isReady = host.isReady();
      return writeJson(response, isReady ? 200 : 503, { isReady });
    }
    if (!isOperator(request))
      return writeError(response, 401, 'unauthorized', 'wrong operator key');
    if (request.method === 'GET' && url.pathname === '/metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(host.renderMetrics());
      return undefined;
    }
    const route = routes[`${request.method} ${url.pathname}`];
    if (!route) return writeError(response, 404, 'not_found', `nothing at ${url.pathname}`);
    const { status, body } = await route(request, url);
    return writeJson(response, status, body);
  }

  function isOperator(request: IncomingMessage): boolean {
    return isSameText(request.headers.authorization ?? '', `Bearer ${settings.operatorKey}`);
  }

  async function apply(request: IncomingMessage, url: URL): Promise<Reply> {
    const text = await readText(request);
    if (text.err) return text.val;
    const base = Number(url.searchParams.get('base') ?? distributor.getVersion());
    const author = String(request.headers['x-author'] ?? 'operator').slice(0, 100);
    const applied = await applyConfiguration(applyHost, base, text.val, author);
    if (applied.ok) return createReply(200, applied.val);
    return createReply(getApplyStatus(applied.val), { error: applied.val });
  }

  async function topUp(request: IncomingMessage): Promise<Reply> {
    const body = await readJson(request, TopUpBody);
    if (body.err) return body.val;
    const { budget, id, tokens } = body.val;
    return toReply(await ledger.topUp(budget, id, tokens));
  }

  async function drain(request: IncomingMessage): Promise<Reply> {
    const body = await readJson(request, DrainBody);
    if (body.err) return body.val;
    const { endpoint, isDraining } = body.val;
    const configuration = parseConfiguration(distributor.getText());
    const isKnown =
      configuration.ok && configuration.val.endpoints.some((e) => e.name === endpoint);
    if (!isKnown) return createErrorReply(404, 'not_found', `there is no endpoint "${endpoint}"`);
    const outcome = await applyHost.store.setDrain(endpoint, isDraining);
    if (outcome.err)
      return createErrorReply(503, 'unavailable', 'the table service does not answer');
    await distributor.announceDrains();
    return createReply(200, { endpoint, isDraining });
  }

  async function audit(): Promise<Reply> {
    const result = await auditLedger(platform.table, platform.objects);
    if (result.err) return createErrorReply(503, 'unavailable', result.val.message);
    const { accounts, faults, records } = result.val;
    return createReply(200, { accounts, faults, records: records.length });
  }

  async function listUsage(_request: IncomingMessage, url: URL): Promise<Reply> {
    const result = await auditLedger(platform.table, platform.objects);
    if (result.err) return createErrorReply(503, 'unavailable', result.val.message);
    const account = url.searchParams.get('account');
    const records = result.val.records.filter((r) => account === null || r.account === account);
    const { accounts } = result.val;
    const faults = result.val.faults.filter(({ subject }) => subject === 'records');
    return createReply(200, { records, accounts, faults });
  }

  return {
    listen: () => listen(server, settings.operatorsAddress),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

function createReply(status: number, body: unknown): Reply {
  return { status, body };
}

function createErrorReply(status: number, kind: string, message: string): Reply {
  return createReply(status, { error: { kind, message } });
}

function toReply<T>(outcome: Outcome<T, { kind: string; message?: string }>): Reply {
  if (outcome.ok) return createReply(200, { result: outcome.val });
  const { kind, message } = outcome.val;
  return createErrorReply(kind === 'unavailable' ? 503 : 409, kind, message ?? kind);
}

function writeError(response: ServerResponse, status: number, kind: string, message: string): void {
  writeJson(response, status, { error: { kind, message } });
}

function getApplyStatus(error: ApplyError): number {
  return match(error)
    .with({ kind: 'invalid' }, () => 400)
    .with({ kind: 'conflict' }, () => 409)
    .with({ kind: 'unanswered' }, () => 424)
    .with({ kind: 'unavailable' }, () => 503)
    .with({ kind: 'undecided' }, () => 504)
    .exhaustive();
}

async function readText(request: IncomingMessage): Promise<Outcome<string, Reply>> {
  try {
    return Ok((await readBody(request, BODY_LIMIT_BYTES)).toString('utf8'));
  } catch (error) {
    return Err(createErrorReply(400, 'invalid', (error as Error).message));
  }
}

async function readJson<T>(
  request: IncomingMessage,
  schema: z.ZodType<T>,
): Promise<Outcome<T, Reply>> {
  const text = await readText(request);
  if (text.err) return text;
  try {
    return Ok(schema.parse(JSON.parse(text.val)));
  } catch (error) {
    const issues = error instanceof z.ZodError ? z.prettifyError(error) : (error as Error).message;
    return Err(createErrorReply(400, 'invalid', issues));
  }
}
