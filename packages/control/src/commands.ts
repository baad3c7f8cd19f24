import { randomBytes } from 'node:crypto';
import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { hashText } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import { diffConfigurations, parseConfiguration } from '@pomeloroad/configuration';
import type {
  ConfigurationChange,
  Configuration,
  ConfigurationFault,
} from '@pomeloroad/configuration';
import { callOperatorsInterface } from './client';
import type { OperatorAnswer, OperatorTarget } from './client';
import { createFailure, createSuccess, ExitCode, formatTable } from './output';
import type { CommandResult, ExitStatus } from './output';

const SECRET_BYTES = 24;
const SECRET_PREFIX = 'pk-';

const StoredConfigurationSchema = z.object({ version: z.number(), text: z.string() });
const VersionSchema = z.object({
  version: z.number(),
  digest: z.string(),
  at: z.string(),
  author: z.string(),
});
const HistorySchema = z.object({ result: z.array(VersionSchema) });
const BudgetAccountSchema = z.object({
  budget: z.string(),
  toppedUp: z.number(),
  billed: z.number(),
  credited: z.number(),
  writtenOff: z.number(),
  held: z.number(),
  unallocated: z.number(),
});
const UsageSchema = z.object({
  accounts: z.array(BudgetAccountSchema),
  records: z.array(
    z.object({
      at: z.string(),
      account: z.string(),
      budget: z.string(),
      request: z.string(),
      key: z.string().optional(),
      model: z.string(),
      promptTokens: z.number(),
      completionTokens: z.number(),
      tokens: z.number(),
    }),
  ),
});
const AuditSchema = z.object({
  accounts: z.array(BudgetAccountSchema),
  faults: z.array(z.object({ key: z.string(), message: z.string() })),
  records: z.number(),
});
const StatusSchema = z.looseObject({
  identity: z.object({ instance: z.string(), dataCentre: z.string(), incarnation: z.string() }),
  configuration: z.object({ version: z.number(), isInDoubt: z.boolean(), isRelay: z.boolean() }),
  requests: z.object({ open: z.number(), running: z.number(), waiting: z.number() }),
  peers: z.array(z.object({ instance: z.string(), dataCentre: z.string(), state: z.string() })),
  endpoints: z.array(
    z.object({
      endpoint: z.object({
        name: z.string(),
        kind: z.string(),
        dataCentre: z.string(),
        concurrency: z.number(),
      }),
      inFlight: z.number(),
      othersInFlight: z.number(),
      isLeaving: z.boolean(),
      isFailing: z.boolean(),
    }),
  ),
});
const ApplyFailureSchema = z.object({
  error: z.looseObject({
    kind: z.string(),
    message: z.string().optional(),
    version: z.number().optional(),
    accepted: VersionSchema.optional(),
    proposed: VersionSchema.optional(),
    silent: z.array(z.object({ instance: z.string(), reason: z.string() })).optional(),
    faults: z
      .array(
        z.object({ line: z.number(), column: z.number(), path: z.string(), message: z.string() }),
      )
      .optional(),
  }),
});

/** Validates the text of a configuration file without calling an instance. */
export function checkFile(path: string, text: string): CommandResult {
  const parsed = parseConfiguration(text);
  if (parsed.err) return reportFaults(path, parsed.val);
  const { accounts, pools, services, endpoints } = parsed.val;
  const counts =
    `${accounts.length} accounts, ${pools.length} pools, ` +
    `${services.length} services, ${endpoints.length} endpoints`;
  return createSuccess(`${path} is valid: ${counts}`, { isValid: true });
}

/** Shows how a configuration file differs from the version in force. */
export async function diffFile(
  target: OperatorTarget,
  path: string,
  text: string,
): Promise<CommandResult> {
  const parsed = parseConfiguration(text);
  if (parsed.err) return reportFaults(path, parsed.val);
  const stored = await fetchParsed(target, '/v1/configuration', StoredConfigurationSchema);
  if (stored.err) return stored.val;
  const current = parseConfiguration(stored.val.text);
  const base: Configuration = current.ok ? current.val : EMPTY_CONFIGURATION;
  const changes = diffConfigurations(base, parsed.val);
  const summary = changes.length === 0 ? 'no difference' : formatChanges(changes);
  return createSuccess(`against version ${stored.val.version}\n${summary}`, {
    version: stored.val.version,
    changes,
  });
}

const EMPTY_CONFIGURATION: Configuration = { accounts: [], pools: [], services: [], endpoints: [] };

const CHANGE_MARKERS: Record<ConfigurationChange['kind'], string> = {
  added: '+',
  removed: '-',
  changed: '~',
};

function formatChanges(changes: ConfigurationChange[]): string {
  return changes.map(({ kind, path }) => `${CHANGE_MARKERS[kind]} ${path}`).join('\n');
}

/**
 * Applies a configuration file: it comes into force on all instances or nothing changes. The base
 * is the version that the file was made from, by default the one in force.
 */
export async function applyFile(
  target: OperatorTarget,
  path: string,
  text: string,
  base: number | undefined,
  author: string,
): Promise<CommandResult> {
  const parsed = parseConfiguration(text);
  if (parsed.err) return reportFaults(path, parsed.val);
  const query = base === undefined ? '' : `?base=${base}`;
  const headers = { 'x-author': author };
  const answer = await callOperatorsInterface(
    target,
    'PUT',
    `/v1/configuration${query}`,
    text,
    headers,
  );
  if (answer.err) return createFailure(ExitCode.unavailable, answer.val);
  if (answer.val.status === 200) {
    const { version } = VersionSchema.parse(answer.val.body);
    return createSuccess(`version ${version} is in force everywhere`, answer.val.body);
  }
  return reportApplyFailure(path, answer.val);
}

function reportApplyFailure(path: string, answer: OperatorAnswer): CommandResult {
  const parsed = ApplyFailureSchema.safeParse(answer.body);
  if (!parsed.success) return reportError(answer);
  const { error } = parsed.data;
  if (error.kind === 'invalid') return reportFaults(path, error.faults ?? []);
  if (error.kind === 'conflict') {
    const winner = error.proposed ?? error.accepted;
    const state = error.proposed ? 'is being applied' : 'is in force';
    const text = `not applied: version ${winner?.version} of ${winner?.author} ${state}`;
    return createFailure(ExitCode.conflict, text, answer.body);
  }
  if (error.kind === 'unanswered') {
    const lines = (error.silent ?? []).map((member) => `  ${member.instance}: ${member.reason}`);
    const text = `not applied: some instances did not stage it\n${lines.join('\n')}`;
    return createFailure(ExitCode.unavailable, text, answer.body);
  }
  if (error.kind === 'undecided') {
    const text = `version ${error.version} is undecided: ask again with "pomeloctl history"`;
    return createFailure(ExitCode.unavailable, text, answer.body);
  }
  return reportError(answer);
}

/** Shows the configuration file in force. */
export async function showConfiguration(target: OperatorTarget): Promise<CommandResult> {
  const stored = await fetchParsed(target, '/v1/configuration', StoredConfigurationSchema);
  if (stored.err) return stored.val;
  return createSuccess(stored.val.text.trimEnd(), stored.val);
}

/** Lists the accepted configuration versions. */
export async function listHistory(target: OperatorTarget): Promise<CommandResult> {
  const history = await fetchParsed(target, '/v1/history', HistorySchema);
  if (history.err) return history.val;
  const rows = history.val.result.map((row) => [
    row.version,
    row.at,
    row.author,
    row.digest.slice(0, 12),
  ]);
  return createSuccess(
    formatTable(['version', 'at', 'author', 'digest'], rows),
    history.val.result,
  );
}

/** Adds tokens to a prepaid budget. Idempotent: a repeated identifier changes nothing. */
export async function topUp(
  target: OperatorTarget,
  budget: string,
  tokens: number,
  id: string,
): Promise<CommandResult> {
  const body = JSON.stringify({ budget, tokens, id });
  const answer = await callOperatorsInterface(target, 'POST', '/v1/topups', body);
  if (answer.err) return createFailure(ExitCode.unavailable, answer.val);
  if (answer.val.status !== 200) return reportError(answer.val);
  const { result } = z.object({ result: z.string() }).parse(answer.val.body);
  const text =
    result === 'added' ? `added ${tokens} tokens to ${budget}` : `${id} was added before`;
  return createSuccess(text, answer.val.body);
}

/** Shows budgets and billed requests, either of one client account or of all. */
export async function showUsage(target: OperatorTarget, account?: string): Promise<CommandResult> {
  const query = account ? `?account=${encodeURIComponent(account)}` : '';
  const usage = await fetchParsed(target, `/v1/usage${query}`, UsageSchema);
  if (usage.err) return usage.val;
  const { accounts, records } = usage.val;
  const matching = accounts.filter((entry) => !account || entry.budget.startsWith(`${account}/`));
  const budgets = formatAccounts(matching);
  const rows = records.map((record) => [
    record.at,
    record.budget,
    record.request,
    record.key ?? '',
    record.model,
    record.promptTokens,
    record.completionTokens,
    record.tokens,
  ]);
  const head = ['at', 'budget', 'request', 'key', 'model', 'prompt', 'completion', 'tokens'];
  const text = `${budgets}\n\n${formatTable(head, rows)}`;
  return createSuccess(text, { accounts: matching, records });
}

function formatAccounts(accounts: z.output<typeof BudgetAccountSchema>[]): string {
  const rows = accounts.map((entry) => [
    entry.budget,
    entry.toppedUp,
    entry.billed,
    entry.credited,
    entry.writtenOff,
    entry.held,
    entry.unallocated,
  ]);
  return formatTable(
    ['budget', 'topped up', 'billed', 'given back', 'written off', 'held', 'free'],
    rows,
  );
}

/** Checks that the ledger accounts for every token; if not, the text names the first fault. */
export async function auditBudgets(target: OperatorTarget): Promise<CommandResult> {
  const audit = await fetchParsed(target, '/v1/audit', AuditSchema);
  if (audit.err) return audit.val;
  const { accounts, faults, records } = audit.val;
  const [first] = faults;
  const table = formatAccounts(accounts);
  if (!first) return createSuccess(`${table}\n${records} records add up`, audit.val);
  const text = `${table}\n${first.key}: ${first.message}`;
  return createFailure(ExitCode.auditFault, text, audit.val);
}

/** Starts or ends the draining of an endpoint; a draining endpoint gets no new requests. */
export async function drainEndpoint(
  target: OperatorTarget,
  endpoint: string,
  isDraining: boolean,
): Promise<CommandResult> {
  const body = JSON.stringify({ endpoint, isDraining });
  const answer = await callOperatorsInterface(target, 'POST', '/v1/drains', body);
  if (answer.err) return createFailure(ExitCode.unavailable, answer.val);
  if (answer.val.status !== 200) return reportError(answer.val);
  const text = isDraining ? `${endpoint} gets no new work` : `${endpoint} works again`;
  return createSuccess(text, answer.val.body);
}

/** Shows the state of an instance and its view of its peers and the endpoints. */
export async function showStatus(target: OperatorTarget): Promise<CommandResult> {
  const status = await fetchParsed(target, '/v1/status', StatusSchema);
  if (status.err) return status.val;
  const { identity, configuration, requests, peers, endpoints } = status.val;
  const doubt = configuration.isInDoubt ? ', in doubt' : '';
  const head =
    `instance ${identity.instance} in ${identity.dataCentre}, ` +
    `configuration ${configuration.version}${doubt}, ` +
    `${requests.running} running, ${requests.waiting} waiting`;
  const peerRows = peers.map((peer) => [peer.instance, peer.dataCentre, peer.state]);
  const endpointRows = endpoints.map(({ endpoint, ...view }) => [
    endpoint.name,
    endpoint.kind,
    endpoint.dataCentre,
    `${view.inFlight + view.othersInFlight}/${endpoint.concurrency}`,
    describeEndpointState(view.isLeaving, view.isFailing),
  ]);
  const text = [
    head,
    formatTable(['peer', 'data centre', 'state'], peerRows),
    formatTable(['endpoint', 'kind', 'data centre', 'load', 'state'], endpointRows),
  ].join('\n\n');
  return createSuccess(text, status.val);
}

function describeEndpointState(isLeaving: boolean, isFailing: boolean): string {
  if (isLeaving) return 'leaving';
  return isFailing ? 'failing' : 'live';
}

/** Shows the complete state of an instance as JSON. */
export async function dumpState(target: OperatorTarget): Promise<CommandResult> {
  const dump = await fetchParsed(target, '/dump', z.unknown());
  if (dump.err) return dump.val;
  return createSuccess(JSON.stringify(dump.val, undefined, 2), dump.val);
}

/**
 * Creates a random caller's key. The caller gets the secret; the configuration file holds only its
 * hash.
 */
export function createKey(): CommandResult {
  const secret = SECRET_PREFIX + randomBytes(SECRET_BYTES).toString('base64url');
  const hash = hashText(secret);
  return createSuccess(`secret: ${secret}\nhash:   ${hash}`, { secret, hash });
}

/** Returns the hash of an existing secret, for the configuration file. */
export function hashKey(secret: string): CommandResult {
  const hash = hashText(secret);
  return createSuccess(hash, { hash });
}

async function fetchParsed<T>(
  target: OperatorTarget,
  path: string,
  schema: z.ZodType<T>,
): Promise<Outcome<T, CommandResult>> {
  const answer = await callOperatorsInterface(target, 'GET', path);
  if (answer.err) return Err(createFailure(ExitCode.unavailable, answer.val));
  if (answer.val.status !== 200) return Err(reportError(answer.val));
  const parsed = schema.safeParse(answer.val.body);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    createFailure(ExitCode.failure, `unexpected answer: ${z.prettifyError(parsed.error)}`),
  );
}

function reportFaults(path: string, faults: ConfigurationFault[]): CommandResult {
  const lines = faults.map(({ line, column, path: place, message }) => {
    const where = place === '' ? '' : `${place}: `;
    return `${path}:${line}:${column}: ${where}${message}`;
  });
  return createFailure(ExitCode.invalid, lines.join('\n'), { faults });
}

function reportError({ status, body }: OperatorAnswer): CommandResult {
  const parsed = z.object({ error: z.object({ message: z.string() }) }).safeParse(body);
  const message = parsed.success ? parsed.data.error.message : `status ${status}`;
  return createFailure(getExitStatus(status), message, body);
}

function getExitStatus(status: number): ExitStatus {
  if (status === 409) return ExitCode.conflict;
  if (status >= 500) return ExitCode.unavailable;
  return ExitCode.failure;
}
