import { callHttp, createSystemClock, hashText } from '@pomeloroad/core';
import { auditLedger, LedgerPrefix, parseGrant, parseTopUp } from '@pomeloroad/budgets';
import type { Audit } from '@pomeloroad/budgets';
import { createHttpPlatform } from '@pomeloroad/storage';
import type { Platform, Row } from '@pomeloroad/storage';
import type { CallRecord, StreamRecord } from '@pomeloroad/standins';
import { pause } from './pause';
import type { Testbed } from './testbed';
import type { TestbedEndpoint } from './testbedEndpoints';
import { getMessages, isRequest } from './trace';
import type { TraceEvent, TraceRequest } from './trace';

const RECORD_TIMEOUT_MS = 10_000;
const SCAN_RETRY_INTERVAL_MS = 600;

/** One execution of a request on an endpoint, taken from the endpoint's record. */
export interface EndpointRun {
  /** Identifier of the request in the trace; empty if no request of the trace matches. */
  trace: string;
  endpoint: string;
  /** Request identifier that the instance assigned; empty for plain services. */
  request: string;
  promptTokens: number;
  completionTokens: number;
  state: string;
  startedAt: Date;
  /** Whether its charge was credited back because the request was charged for another run. */
  isCredited: boolean;
}

/** Returns the prompt and completion tokens that a run used. */
export function getUsedTokens(run: EndpointRun): number {
  return run.promptTokens + run.completionTokens;
}

/** The runs that the endpoints recorded and the platform's ledger. */
export interface StandinRecord {
  runs: EndpointRun[];
  audit: Audit;
  /** Top-ups that are stored in the table. */
  topUps: { budget: string; tokens: number; at: Date }[];
}

/**
 * Reads the records of all endpoints and audits the ledger. Throws if an endpoint's record or the
 * ledger cannot be read.
 */
export async function readRecord(testbed: Testbed, events: TraceEvent[]): Promise<StandinRecord> {
  const requests = events.filter(isRequest);
  const engines = testbed.endpoints.filter((endpoint) => endpoint.kind === 'engine');
  const services = testbed.endpoints.filter((endpoint) => endpoint.kind === 'service');
  const engineRuns = await Promise.all(engines.map((engine) => readEngineRuns(engine, requests)));
  const serviceRuns = await Promise.all(
    services.map((service) => readServiceRuns(service, requests)),
  );
  const platform = createPlatform(testbed);
  const audit = (await auditLedger(platform.table, platform.objects)).unwrap();
  const credited = new Set(audit.credited.map((bill) => bill.request));
  const runs = [...engineRuns.flat(), ...serviceRuns.flat()].map((run) => ({
    ...run,
    isCredited: credited.has(run.request),
  }));
  return { runs, audit, topUps: await readTopUps(platform) };
}

function createPlatform(testbed: Testbed): Platform {
  const { table, objects, membership } = testbed.platform;
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

/** Returns the unspent tokens in open grants of the given data centres, by budget. */
export async function readHeldTokens(
  testbed: Testbed,
  sites: string[],
): Promise<Map<string, number>> {
  const held = new Map<string, number>();
  const rows = await scanRows(createPlatform(testbed), LedgerPrefix.grant);
  rows.map(parseGrant).forEach(({ budget, size, spent, holder }) => {
    if (!sites.includes(holder.dataCentre)) return;
    held.set(budget, (held.get(budget) ?? 0) + size - spent);
  });
  return held;
}

// Retries until the scan succeeds, because a fault may be dropping the table's answers.
async function scanRows(platform: Platform, prefix: string): Promise<Row[]> {
  let rows = await platform.table.scan(prefix);
  while (rows.err) {
    await pause(SCAN_RETRY_INTERVAL_MS);
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

async function readStandinRecord(endpoint: TestbedEndpoint): Promise<unknown> {
  const url = `${endpoint.url}/standin/record`;
  const answer = await callHttp({ method: 'GET', url, timeout: RECORD_TIMEOUT_MS });
  return JSON.parse(answer.unwrap().body.toString());
}

// Engines do not record the trace's identifiers, so streams are matched by the hash of the prompt.
async function readEngineRuns(
  endpoint: TestbedEndpoint,
  requests: TraceRequest[],
): Promise<EndpointRun[]> {
  const { streams } = (await readStandinRecord(endpoint)) as { streams: StreamRecord[] };
  const idsByPrompt = new Map<string, string>();
  requests.forEach((request) => {
    if (request.kind !== 'chat') return;
    idsByPrompt.set(hashText(JSON.stringify(getMessages(request))), request.id);
  });
  return streams.map((stream) => ({
    trace: idsByPrompt.get(stream.prompt) ?? '',
    endpoint: endpoint.name,
    request: stream.id.split('.')[0] ?? '',
    promptTokens: stream.promptTokens,
    completionTokens: stream.completionTokens,
    state: stream.state,
    startedAt: new Date(stream.startedAt),
    isCredited: false,
  }));
}

// Services do not record the trace's identifiers, so calls are matched by method and path.
async function readServiceRuns(
  endpoint: TestbedEndpoint,
  requests: TraceRequest[],
): Promise<EndpointRun[]> {
  const { calls } = (await readStandinRecord(endpoint)) as { calls: CallRecord[] };
  const idsByCall = new Map<string, string>();
  requests.forEach((request) => {
    if (request.kind === 'call') idsByCall.set(`${request.method} ${request.path}`, request.id);
  });
  return calls.map((call) => ({
    trace: idsByCall.get(`${call.method} ${call.path}`) ?? '',
    endpoint: endpoint.name,
    request: '',
    promptTokens: 0,
    completionTokens: 0,
    state: 'finished',
    startedAt: new Date(call.at),
    isCredited: false,
  }));
}
