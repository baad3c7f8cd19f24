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
import { callOperator } from './client';
import type { OperatorAnswer, Target } from './client';
import { ExitCode, fail, formatTable, succeed } from './output';
import type { CommandResult, ExitStatus } from './output';

const SECRET_BYTES = 24;
const SECRET_PREFIX = 'pk-';

const Stored = z.object({ version: z.number(), text: z.string() });
const VersionRow = z.object({
  version: z.number(),
  digest: z.string(),
  at: z.string(),
  author: z.string(),
});
const History = z.object({ result: z.array(VersionRow) });
const Account = z.object({
  budget: z.string(),
  toppedUp: z.number(),
  billed: z.number(),
  credited: z.number(),
  writtenOff: z.number(),
  held: z.number(),
  unallocated: z.number(),
});
const UsageReply = z.object({
  accounts: z.array(Account),
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
const AuditReply = z.object({
  accounts: z.array(Account),
  faults: z.array(z.object({ key: z.string(), message: z.string() })),
  records: z.number(),
});
const StatusReply = z.looseObject({
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
const ApplyFailure = z.object({
  error: z.looseObject({
    kind: z.string(),
    message: z.string().optional(),
    version: z.number().optional(),
    accepted: VersionRow.optional(),
    proposed: VersionRow.optional(),
    silent: z.array(z.object({ instance: z.string(), reason: z.string() })).optional(),
    faults: z
      .array(
        z.object({ line: z.number(), column: z.number(), path: z.string(), message: z.string() }),
      )
      .optional(),
  }),
});

/** Checks a file without an instance. */
export function checkFile(path: string, text: string): CommandResult {
  const parsed = parseConfiguration(text);
  if (parsed.err) return reportFaults(path, parsed.val);
  const { accounts, pools, services, endpoints } = parsed.val;
  const counts =
    `${accounts.length} accounts, ${pools.length} pools, ` +
    `${services.length} services, ${endpoints.length} endpoints`;
  return succeed(`${path} is valid: ${counts}`, { isValid: true });
}

/** Shows what applying a file would change. */
export async function diffFile(target: Target, path: string, text: string): Promise<CommandResult> {
  const parsed = parseConfiguration(text);
  if (parsed.err) return reportFaults(path, parsed.val);
  const stored = await read(target, '/v1/configuration', Stored);
  if (stored.err) return stored.val;
  const current = parseConfiguration(stored.val.text);
  const base: Configuration = current.ok ? current.val : EMPTY;
  const changes = diffConfigurations(base, parsed.val);
  const head = changes.length === 0 ? 'no difference' : formatChanges(changes);
  return succeed(`against version ${stored.val.version}\n${head}`, {
    version: stored.val.version,
    changes,
  });
}

const EMPTY: Configuration = { accounts: [], pools: [], services: [], endpoints: [] };

const ChangeMark: Record<ConfigurationChange['kind'], string> = {
  added: '+',
  removed: '-',
  changed: '~',
};

function formatChanges(changes: ConfigurationChange[]): string {
  return changes.map(({ kind, path }) => `${ChangeMark[kind]} ${path}`).join('\n');
}

/** Brings a file into force everywhere, or changes nothing. */
export async function applyFile(
  target: Target,
  path: string,
  text: string,
  base: number | undefined,
  author: string,
): Promise<CommandResult> {
  const parsed = parseConfiguration(text);
  if (parsed.err) return reportFaults(path, parsed.val);
  const query = base === undefined ? '' : `?base=${base}`;
  const headers = { 'x-author': author };
  const answer = await callOperator(target, 'PUT', `/v1/configuration${query}`, text, headers);
  if (answer.err) return fail(ExitCode.unavailable, answer.val);
  if (answer.val.status === 200) {
    const { version } = VersionRow.parse(answer.val.body);
    return succeed(`version ${version} is in force everywhere`, answer.val.body);
  }
  return reportApplyFailure(path, answer.val);
}

function reportApplyFailure(path: string, answer: OperatorAnswer): CommandResult {
  const parsed = ApplyFailure.safeParse(answer.body);
  if (!parsed.success) return reportError(answer);
  const { error } = parsed.data;
  if (error.kind === 'invalid') return reportFaults(path, error.faults ?? []);
  if (error.kind === 'conflict') {
    const winner = error.proposed ?? error.accepted;
    const what = error.proposed ? 'is being applied' : 'is in force';
    const text = `not applied: version ${winner?.version} of ${winner?.author} ${what}`;
    return fail(ExitCode.conflict, text, answer.body);
  }
  if (error.kind === 'unanswered') {
    const lines = (error.silent ?? []).map((one) => `  ${one.instance}: ${one.reason}`);
    const text = `not applied: some instances did not stage it\n${lines.join('\n')}`;
    return fail(ExitCode.unavailable, text, answer.body);
  }
  if (error.kind === 'undecided') {
    const text = `version ${error.version} is undecided: ask again with "pomeloctl history"`;
    return fail(ExitCode.unavailable, text, answer.body);
  }
  return reportError(answer);
}

/** Prints the file in force. */
export async function getFile(target: Target): Promise<CommandResult> {
  const stored = await read(target, '/v1/configuration', Stored);
  if (stored.err) return stored.val;
  return succeed(stored.val.text.trimEnd(), stored.val);
}

/** Lists accepted versions. */
export async function listHistory(target: Target): Promise<CommandResult> {
  const history = await read(target, '/v1/history', History);
  if (history.err) return history.val;
  const rows = history.val.result.map((row) => [
    row.version,
    row.at,
    row.author,
    row.digest.slice(0, 12),
  ]);
  return succeed(formatTable(['version', 'at', 'author', 'digest'], rows), history.val.result);
}

/** Adds tokens to a budget; the same identifier again changes nothing. */
export async function topUp(
  target: Target,
  budget: string,
  tokens: number,
  id: string,
): Promise<CommandResult> {
  const body = JSON.stringify({ budget, tokens, id });
  const answer = await callOperator(target, 'POST', '/v1/topups', body);
  if (answer.err) return fail(ExitCode.unavailable, answer.val);
  if (answer.val.status !== 200) return reportError(answer.val);
  const { result } = z.object({ result: z.string() }).parse(answer.val.body);
  const text =
    result === 'added' ? `added ${tokens} tokens to ${budget}` : `${id} was added before`;
  return succeed(text, answer.val.body);
}

/** Shows budgets and the bill. */
export async function showUsage(target: Target, account?: string): Promise<CommandResult> {
  const query = account ? `?account=${encodeURIComponent(account)}` : '';
  const usage = await read(target, `/v1/usage${query}`, UsageReply);
  if (usage.err) return usage.val;
  const { accounts, records } = usage.val;
  const shown = accounts.filter((entry) => !account || entry.budget.startsWith(`${account}/`));
  const budgets = formatAccounts(shown);
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
  return succeed(text, { accounts: shown, records });
}

function formatAccounts(accounts: z.output<typeof Account>[]): string {
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

/** Checks that the ledger accounts for each token. */
export async function auditBudgets(target: Target): Promise<CommandResult> {
  const audit = await read(target, '/v1/audit', AuditReply);
  if (audit.err) return audit.val;
  const { accounts, faults, records } = audit.val;
  const [first] = faults;
  const table = formatAccounts(accounts);
  if (!first) return succeed(`${table}\n${records} records add up`, audit.val);
  const text = `${table}\n${first.key}: ${first.message}`;
  return fail(ExitCode.auditFault, text, audit.val);
}

/** Sends an endpoint no new work, or lets it work again. */
export async function drainEndpoint(
  target: Target,
  endpoint: string,
  isDraining: boolean,
): Promise<CommandResult> {
  const body = JSON.stringify({ endpoint, isDraining });
  const answer = await callOperator(target, 'POST', '/v1/drains', body);
  if (answer.err) return fail(ExitCode.unavailable, answer.val);
  if (answer.val.status !== 200) return reportError(answer.val);
  const text = isDraining ? `${endpoint} gets no new work` : `${endpoint} works again`;
  return succeed(text, answer.val.body);
}

/** Shows an instance, its peers and the endpoints as it sees them. */
export async function showStatus(target: Target): Promise<CommandResult> {
  const status = await read(target, '/v1/status', StatusReply);
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
    describeEndpoint(view.isLeaving, view.isFailing),
  ]);
  const text = [
    head,
    formatTable(['peer', 'data centre', 'state'], peerRows),
    formatTable(['endpoint', 'kind', 'data centre', 'load', 'state'], endpointRows),
  ].join('\n\n');
  return succeed(text, status.val);
}

function describeEndpoint(isLeaving: boolean, isFailing: boolean): string {
  if (isLeaving) return 'leaving';
  return isFailing ? 'failing' : 'live';
}

/** Prints the whole state of an instance. */
export async function dumpState(target: Target): Promise<CommandResult> {
  const dump = await read(target, '/dump', z.unknown());
  if (dump.err) return dump.val;
  return succeed(JSON.stringify(dump.val, undefined, 2), dump.val);
}

/** Makes a caller's key: the secret for the caller, the hash for the file. */
export function createKey(): CommandResult {
  const secret = SECRET_PREFIX + randomBytes(SECRET_BYTES).toString('base64url');
  const hash = hashText(secret);
  return succeed(`secret: ${secret}\nhash:   ${hash}`, { secret, hash });
}

/** Prints the hash of a secret that exists. */
export function hashKey(secret: string): CommandResult {
  const hash = hashText(secret);
  return succeed(hash, { hash });
}

async function read<T>(
  target: Target,
  path: string,
  schema: z.ZodType<T>,
): Promise<Outcome<T, CommandResult>> {
  const answer = await callOperator(target, 'GET', path);
  if (answer.err) return Err(fail(ExitCode.unavailable, answer.val));
  if (answer.val.status !== 200) return Err(reportError(answer.val));
  const parsed = schema.safeParse(answer.val.body);
  if (parsed.success) return Ok(parsed.data);
  return Err(fail(ExitCode.failure, `unexpected answer: ${z.prettifyError(parsed.error)}`));
}

function reportFaults(path: string, faults: ConfigurationFault[]): CommandResult {
  const lines = faults.map(({ line, column, path: place, message }) => {
    const where = place === '' ? '' : `${place}: `;
    return `${path}:${line}:${column}: ${where}${message}`;
  });
  return fail(ExitCode.invalid, lines.join('\n'), { faults });
}

function reportError({ status, body }: OperatorAnswer): CommandResult {
  const parsed = z.object({ error: z.object({ message: z.string() }) }).safeParse(body);
  const message = parsed.success ? parsed.data.error.message : `status ${status}`;
  return fail(getErrorStatus(status), message, body);
}

function getErrorStatus(status: number): ExitStatus {
  if (status === 409) return ExitCode.conflict;
  if (status >= 500) return ExitCode.unavailable;
  return ExitCode.failure;
}
