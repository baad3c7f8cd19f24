import { callHttp, createSystemClock, hashText } from '@pomeloroad/core';
import { auditLedger, LedgerPrefix, parseGrant, parseTopUp } from '@pomeloroad/budgets';
import type { Audit } from '@pomeloroad/budgets';
import { createHttpPlatform } from '@pomeloroad/storage';
import type { Platform, Row } from '@pomeloroad/storage';
import type { CallRecord, StreamRecord } from '@pomeloroad/standins';
import { pause } from './pause';
import type { Stage, StageEndpoint } from './stage';
import { getMessages, isRequest } from './trace';
import type { TraceEvent, TraceRequest } from './trace';

const RECORD_TIMEOUT_MS = 10_000;
const RETRY_MS = 600;

/** A run of a request on an endpoint, by the endpoint's own record. */
export interface Run {
  /** The request's identifier in the trace. */
  trace: string;
  endpoint: string;
  /** The instance's name for the request, from the stream; empty for plain services. */
  request: string;
  promptTokens: number;
  completionTokens: number;
  state: string;
  startedAt: Date;
  /** Whether its charge was given back, since the request was charged for another run. */
  isCredited: boolean;
}

/** Tokens that a run used. */
export function getCost(run: Run): number {
  return run.promptTokens + run.completionTokens;
}

/** What the stand-ins recorded. */
export interface StandinRecord {
  runs: Run[];
  audit: Audit;
  /** Top-ups by the table's rows. */
  topUps: { budget: string; tokens: number; at: Date }[];
}

/** Reads the records of all endpoints and the ledger. */
export async function readRecord(stage: Stage, events: TraceEvent[]): Promise<StandinRecord> {
  const requests = events.filter(isRequest);
  const engines = stage.endpoints.filter((endpoint) => endpoint.kind === 'engine');
  const services = stage.endpoints.filter((endpoint) => endpoint.kind === 'service');
  const engineRuns = await Promise.all(engines.map((engine) => readEngine(engine, requests)));
  const serviceRuns = await Promise.all(services.map((service) => readService(service, requests)));
  const platform = createPlatform(stage);
  const audit = (await auditLedger(platform.table, platform.objects)).unwrap();
  const credited = new Set(audit.credited.map((bill) => bill.request));
  const runs = [...engineRuns.flat(), ...serviceRuns.flat()].map((run) => ({
    ...run,
    isCredited: credited.has(run.request),
  }));
  return { runs, audit, topUps: await readTopUps(platform) };
}

function createPlatform(stage: Stage): Platform {
  const { table, objects, membership } = stage.platform;
  return createHttpPlatform(
    { clock: createSystemClock(), onAvailability: () => undefined },
    {
      tableUrl: table,
      objectsUrl: objects,
      membershipUrl: membership,
      timeout: RECORD_TIMEOUT_MS,
      sourceAddress: '',
    },
  );
}

/** Unspent tokens in open grants of some data centres, by budget. */
export async function readHeld(stage: Stage, sites: string[]): Promise<Map<string, number>> {
  const held = new Map<string, number>();
  const rows = await scanRows(createPlatform(stage), LedgerPrefix.grant);
  rows.map(parseGrant).forEach(({ budget, size, spent, holder }) => {
    if (!sites.includes(holder.dataCentre)) return;
    held.set(budget, (held.get(budget) ?? 0) + size - spent);
  });
  return held;
}

// The stand-ins may be losing answers just now.
async function scanRows(platform: Platform, prefix: string): Promise<Row[]> {
  let rows = await platform.table.scan(prefix);
  while (rows.err) {
    await pause(RETRY_MS);
    rows = await platform.table.scan(prefix);
  }
  return rows.val;
}

async function readTopUps(platform: Platform): Promise<StandinRecord['topUps']> {
  const rows = await scanRows(platform, LedgerPrefix.topUp);
  return rows.map((row) => {
    const name = row.key.slice(LedgerPrefix.topUp.length);
    const { tokens, at } = parseTopUp(row);
    return { budget: name.slice(0, name.lastIndexOf('/')), tokens, at: new Date(at) };
  });
}

async function readStandin(endpoint: StageEndpoint): Promise<unknown> {
  const url = `${endpoint.url}/standin/record`;
  const answer = await callHttp({ method: 'GET', url, timeout: RECORD_TIMEOUT_MS });
  return JSON.parse(answer.unwrap().body.toString());
}

async function readEngine(endpoint: StageEndpoint, requests: TraceRequest[]): Promise<Run[]> {
  const { streams } = (await readStandin(endpoint)) as { streams: StreamRecord[] };
  const byPrompt = new Map<string, string>();
  requests.forEach((request) => {
    if (request.kind !== 'chat') return;
    byPrompt.set(hashText(JSON.stringify(getMessages(request))), request.id);
  });
  return streams.map((stream) => ({
    trace: byPrompt.get(stream.prompt) ?? '',
    endpoint: endpoint.name,
    request: stream.id.split('.')[0] ?? '',
    promptTokens: stream.promptTokens,
    completionTokens: stream.completionTokens,
    state: stream.state,
    startedAt: new Date(stream.startedAt),
    isCredited: false,
  }));
}

async function readService(endpoint: StageEndpoint, requests: TraceRequest[]): Promise<Run[]> {
  const { calls } = (await readStandin(endpoint)) as { calls: CallRecord[] };
  const byPath = new Map<string, string>();
  requests.forEach((request) => {
    if (request.kind === 'call') byPath.set(`${request.method} ${request.path}`, request.id);
  });
  return calls.map((call) => ({
    trace: byPath.get(`${call.method} ${call.path}`) ?? '',
    endpoint: endpoint.name,
    request: '',
    promptTokens: 0,
    completionTokens: 0,
    state: 'finished',
    startedAt: new Date(call.at),
    isCredited: false,
  }));
}
