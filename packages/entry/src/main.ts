import sade from 'sade';
import { Diagnostics } from '@pomeloroad/core';
import { startInstance } from './instance';
import {
  getFlagName,
  getEnvironmentVariableName,
  parseSettings,
  SettingDefinitions,
} from './settings';
import type { SettingDefinition, SettingFault, Settings } from './settings';

const VERSION = '0.1.0';
const EXIT_USAGE = 2;
const EXIT_DRAIN_INCOMPLETE = 1;
const EXIT_INVARIANT_BROKEN = 70;

const program = sade('pomeloroad').version(VERSION);
const serve = program
  .command('serve')
  .describe('Run an instance.')
  .option('--check', 'only check the settings');
Object.entries<SettingDefinition>(SettingDefinitions).forEach(([setting, definition]) => {
  serve.option(getFlagName(setting), describeSetting(setting, definition));
});
serve.action(runServe);
program.parse(process.argv, { unknown: (flag) => `unknown flag ${flag}` });

function describeSetting(setting: string, definition: SettingDefinition): string {
  const { description, unit, fallback } = definition;
  const unitText = unit === '' ? '' : ` [${unit}]`;
  const fallbackText = fallback === undefined ? 'required' : `default: ${fallback || 'none'}`;
  return `${description}${unitText} (${fallbackText}; ${getEnvironmentVariableName(setting)})`;
}

async function runServe(flags: Record<string, unknown>): Promise<void> {
  const settings = parseSettings(flags, process.env);
  if (settings.err) {
    writeFaults(settings.val);
    process.exit(EXIT_USAGE);
  }
  if (flags.check) {
    process.stdout.write('settings are valid\n');
    return;
  }
  process.on('uncaughtException', exitOnUncaughtError);
  process.on('unhandledRejection', exitOnUncaughtError);
  await serveUntilSignal(settings.val);
}

function writeFaults(faults: SettingFault[]): void {
  const lines = faults.map(({ flag, message }) => `${flag}: ${message}`);
  process.stderr.write(`${lines.join('\n')}\n`);
}

async function serveUntilSignal(settings: Settings): Promise<void> {
  const instance = await startInstance(settings);
  // Tells the parent process the addresses in use, because the system may have chosen the ports.
  process.stdout.write(
    `${JSON.stringify({ event: 'listening', ...instance, drain: undefined })}\n`,
  );
  // The instance's timers do not keep the process alive, so this one does until the drain ends.
  const keepAlive = setInterval(() => undefined, 1000);
  let isStopping = false;
  const stop = async () => {
    if (isStopping) return;
    isStopping = true;
    const isClean = await instance.drain();
    clearInterval(keepAlive);
    process.exit(isClean ? 0 : EXIT_DRAIN_INCOMPLETE);
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function exitOnUncaughtError(reason: unknown): void {
  const error = reason instanceof Error ? reason : new Error(String(reason));
  const { code, severity, text } = Diagnostics.invariantBroken;
  const at = new Date().toISOString();
  process.stderr.write(`${JSON.stringify({ at, code, severity, text, stack: error.stack })}\n`);
  process.exit(EXIT_INVARIANT_BROKEN);
}
