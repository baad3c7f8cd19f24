import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import sade from 'sade';
import { Err, Ok } from 'ts-results';
import type { Outcome } from '@pomeloroad/core';
import type { OperatorTarget } from './client';
import { auditBudgets, showUsage, topUp } from './budgetCommands';
import { applyFile, checkFile, diffFile, listHistory, showConfiguration } from './fileCommands';
import { drainEndpoint, dumpState, showStatus } from './instanceCommands';
import { createKey, hashKey } from './keyCommands';
import { createFailure, ExitCode } from './output';
import type { CommandResult } from './output';

const VERSION = '0.1.0';
const DEFAULT_URL = 'http://127.0.0.1:8082';

type Flags = Record<string, string | number | boolean | undefined>;

const program = sade('pomeloctl')
  .version(VERSION)
  .option('--url', `operators' interface of any instance (POMELOCTL_URL; default ${DEFAULT_URL})`)
  .option('--key', "operator's key (POMELOCTL_KEY)")
  .option('--authority', 'path of the PEM certificate to trust (POMELOCTL_AUTHORITY)')
  .option('--json', 'print JSON for programs');

program
  .command('check <file>')
  .describe('Check a file; needs no instance.')
  .action((path: string, flags: Flags) =>
    printResult(
      flags,
      readAndRun(path, async (text) => checkFile(path, text)),
    ),
  );
program
  .command('diff <file>')
  .describe('Show what applying a file would change.')
  .action((path: string, flags: Flags) =>
    printResult(
      flags,
      readAndRun(path, (text) => diffFile(getTarget(flags), path, text)),
    ),
  );
program
  .command('apply <file>')
  .describe('Bring a file into force everywhere, or change nothing.')
  .option('--base', 'version that the file was made from; by default the one in force')
  .option('--author', 'who applies it')
  .action((path: string, flags: Flags) =>
    printResult(flags, readAndRun(path, createApplyCommand(path, flags))),
  );
program
  .command('get')
  .describe('Print the file in force.')
  .action((flags: Flags) => printResult(flags, showConfiguration(getTarget(flags))));
program
  .command('history')
  .describe('List the versions that were in force.')
  .action((flags: Flags) => printResult(flags, listHistory(getTarget(flags))));
program
  .command('topup <budget> <tokens>')
  .describe('Add tokens to a budget, ACCOUNT/BUDGET. The same --id again changes nothing.')
  .option('--id', 'identifier of this top-up (required)')
  .action((budget: string, tokens: string, flags: Flags) =>
    printResult(flags, validateAndTopUp(budget, tokens, flags)),
  );
program
  .command('usage [account]')
  .describe('Show budgets and the bill, request by request.')
  .action((account: string | undefined, flags: Flags) =>
    printResult(flags, showUsage(getTarget(flags), account)),
  );
program
  .command('audit')
  .describe('Check that the ledger accounts for each token.')
  .action((flags: Flags) => printResult(flags, auditBudgets(getTarget(flags))));
program
  .command('drain <endpoint>')
  .describe('Send an endpoint no new work.')
  .option('--undo', 'let it work again')
  .action((endpoint: string, flags: Flags) =>
    printResult(flags, drainEndpoint(getTarget(flags), endpoint, !flags.undo)),
  );
program
  .command('status')
  .describe('Show an instance, its peers and the endpoints as it sees them.')
  .action((flags: Flags) => printResult(flags, showStatus(getTarget(flags))));
program
  .command('dump')
  .describe('Print the whole state of an instance.')
  .action((flags: Flags) => printResult(flags, dumpState(getTarget(flags))));
program
  .command('keys [secret]')
  .describe("Make a caller's key, or print the hash of a secret that exists.")
  .action((secret: string | undefined, flags: Flags) =>
    printResult(flags, Promise.resolve(secret ? hashKey(secret) : createKey())),
  );

program.parse(process.argv, { unknown: (flag) => `unknown flag ${flag}` });

function getTarget(flags: Flags): OperatorTarget {
  const { env } = process;
  const authority = String(flags.authority ?? env.POMELOCTL_AUTHORITY ?? '');
  return {
    url: String(flags.url ?? env.POMELOCTL_URL ?? DEFAULT_URL).replace(/\/$/, ''),
    key: String(flags.key ?? env.POMELOCTL_KEY ?? ''),
    authority: authority === '' ? undefined : readFileSync(authority, 'utf8'),
  };
}

function createApplyCommand(path: string, flags: Flags): (text: string) => Promise<CommandResult> {
  const base = flags.base === undefined ? undefined : Number(flags.base);
  const author = String(flags.author ?? userInfo().username);
  return (text) => applyFile(getTarget(flags), path, text, base, author);
}

async function validateAndTopUp(
  budget: string,
  text: string,
  flags: Flags,
): Promise<CommandResult> {
  const tokens = Number(text);
  if (flags.id === undefined) return createFailure(ExitCode.usage, '--id is required');
  if (!Number.isSafeInteger(tokens) || tokens <= 0) {
    return createFailure(ExitCode.usage, `tokens must be a whole number above 0, not "${text}"`);
  }
  return topUp(getTarget(flags), budget, tokens, String(flags.id));
}

async function readAndRun(
  path: string,
  run: (text: string) => Promise<CommandResult>,
): Promise<CommandResult> {
  const text = readText(path);
  return text.ok ? run(text.val) : createFailure(ExitCode.usage, text.val);
}

function readText(path: string): Outcome<string, string> {
  try {
    return Ok(readFileSync(path, 'utf8'));
  } catch (error) {
    return Err(`${path} can't be read: ${(error as Error).message}`);
  }
}

async function printResult(flags: Flags, pending: Promise<CommandResult>): Promise<void> {
  const { status, text, data } = await pending;
  const output = flags.json ? JSON.stringify(data) : text;
  const stream = status === ExitCode.success || flags.json ? process.stdout : process.stderr;
  stream.write(`${output}\n`);
  process.exitCode = status;
}
