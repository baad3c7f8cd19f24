import { diffConfigurations, parseConfiguration } from '@pomeloroad/configuration';
import type { ConfigurationChange, Configuration } from '@pomeloroad/configuration';
import {
  ApplyFailureSchema,
  HistorySchema,
  StoredConfigurationSchema,
  VersionSchema,
} from './answers';
import { callOperatorsInterface } from './client';
import type { OperatorAnswer, OperatorTarget } from './client';
import { createFailure, createSuccess, ExitCode, formatTable } from './output';
import type { CommandResult } from './output';
import { fetchParsed, reportError, reportFaults } from './results';

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
