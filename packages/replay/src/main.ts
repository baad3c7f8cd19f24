import sade from 'sade';
import { createSystemClock } from '@pomeloroad/core';
import { Deployments } from './deployments';
import { FaultNames } from './faultPlan';
import type { Fault } from './faultPlan';
import { MUST_BE_ZERO } from './judge';
import type { Verdict } from './judge';
import { getTracePath } from './paths';
import { runReplay } from './replay';
import type { ReplayResult } from './replay';
import { prepareTrace } from './prepareTrace';
import { readTrace } from './trace';

const MS_PER_SECOND = 1000;
const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;

type Flags = Record<string, string | number | boolean | undefined>;

sade('replay', true)
  .describe('Replay a recorded trace against real processes and judge the outcome.')
  .option('--deployment', 'haldane or trentside', 'haldane')
  .option('--seed', 'seed of the faults', 1)
  .option('--faults', `none, all, or some of ${FaultNames.join(', ')}`, 'none')
  .option('--partition-seconds', 'length of a partition or outage', 10)
  .option('--grants', 'adaptive, even or central', 'adaptive')
  .option('--trace', 'a trace other than the recorded one')
  .option('--verbose', 'print the logs of all processes')
  .option('--explain', 'print each attempt that did not end as stated')
  .option('--json', 'print the verdict as one JSON line')
  .action(replay)
  .parse(process.argv);

async function replay(flags: Flags): Promise<void> {
  const deployment = Deployments[String(flags.deployment)];
  const faults = parseFaults(String(flags.faults));
  if (!deployment || !faults) {
    process.stderr.write('unknown deployment or fault; see --help\n');
    process.exit(EXIT_USAGE);
  }
  const clock = createSystemClock();
  const startedAt = clock.elapsed();
  const partition = Number(flags['partition-seconds']) * MS_PER_SECOND;
  const trace = readTrace(String(flags.trace ?? getTracePath(deployment.name)));
  const seed = Number(flags.seed);
  const events = prepareTrace(deployment, trace, seed, faults, partition);
  const onLog = (name: string, line: string) => {
    if (flags.verbose) process.stderr.write(`${name}: ${line}\n`);
  };
  const { grants } = flags;
  const options = { deployment, events, seed, faults, partition, settings: [], onLog };
  const result = await runReplay({ clock }, { ...options, grants: String(grants) });
  const wallSeconds = Math.round((clock.elapsed() - startedAt) / MS_PER_SECOND);
  if (flags.explain) explain(result);
  print(result.judgement.verdict, wallSeconds, Boolean(flags.json));
}

function parseFaults(text: string): Fault[] | undefined {
  if (text === 'none') return [];
  if (text === 'all') return [...FaultNames];
  const names = text.split(',');
  const known = FaultNames.filter((name) => names.includes(name));
  return known.length === names.length ? known : undefined;
}

function print(verdict: Verdict, wallSeconds: number, isJson: boolean): void {
  const broken = MUST_BE_ZERO.filter((figure) => verdict[figure] !== 0);
  if (!isJson) {
    Object.entries(verdict).forEach(([figure, value]) => {
      process.stdout.write(`${figure.padEnd(22)} ${value}\n`);
    });
  }
  process.stdout.write(`${JSON.stringify({ ...verdict, wallSeconds })}\n`);
  process.exit(broken.length === 0 ? 0 : EXIT_BROKEN);
}

function explain({ evidence, judgement }: ReplayResult): void {
  evidence.attempts.forEach(({ request, instance, startedAt, endedAt, result }) => {
    if (result.kind === 'answered') return;
    const took = endedAt.getTime() - startedAt.getTime();
    const line = { id: request.id, key: request.key, expect: request.expect, instance, took };
    process.stderr.write(`${endedAt.toISOString()} ${JSON.stringify({ ...line, ...result })}\n`);
  });
  judgement.findings.forEach((finding) => process.stderr.write(`${finding}\n`));
}
