import sade from 'sade';
import { createSystemClock, MS_PER_SECOND } from '@pomeloroad/core';
import { Deployments } from './deployments';
import { FaultNames, parseFaults } from './faultNames';
import { MUST_BE_ZERO } from './judge';
import type { Verdict } from './judge';
import { getTracePath } from './paths';
import { runReplay } from './replay';
import type { ReplayResult } from './replay';
import { prepareTrace } from './prepareTrace';
import { readTrace } from './trace';

const EXIT_CHECK_FAILED = 1;
const EXIT_USAGE = 2;

/** Values of `--grants` that `--compare` replays as baselines. */
const BASELINES = ['even', 'central'] as const;

type ComparedFigures = Pick<
  Verdict,
  'answered' | 'overspendTokens' | 'needlessRefusals' | 'forcedRefusals' | 'strandedTokens'
>;
type Baselines = Partial<Record<(typeof BASELINES)[number], ComparedFigures>>;

type Flags = Record<string, string | number | boolean | undefined>;

sade('replay', true)
  .describe('Replay a recorded trace against real processes and judge the outcome.')
  .option('--deployment', 'haldane or trentside', 'haldane')
  .option('--seed', 'seed of the faults', 1)
  .option('--faults', `none, all, or some of ${FaultNames.join(', ')}`, 'none')
  .option('--partition-seconds', 'length of a partition or outage', 10)
  .option('--grants', 'adaptive, even or central', 'adaptive')
  .option('--compare', 'replay with the baselines even and central as well')
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
  const options = { deployment, events, seed, faults, partition, settings: [], onLog };
  const result = await runReplay({ clock }, { ...options, grants: String(flags.grants) });
  const baselines: Baselines = {};
  for (const grants of flags.compare ? BASELINES : []) {
    const { judgement } = await runReplay({ clock }, { ...options, grants });
    baselines[grants] = pickComparedFigures(judgement.verdict);
  }
  const wallSeconds = Math.round((clock.elapsed() - startedAt) / MS_PER_SECOND);
  if (flags.explain) printFindings(result);
  printResult(result.judgement.verdict, { baselines, wallSeconds }, Boolean(flags.json));
}

function pickComparedFigures(verdict: Verdict): ComparedFigures {
  const { answered, overspendTokens, needlessRefusals, forcedRefusals, strandedTokens } = verdict;
  return { answered, overspendTokens, needlessRefusals, forcedRefusals, strandedTokens };
}

function printResult(verdict: Verdict, extra: object, isJson: boolean): void {
  const failedFigures = MUST_BE_ZERO.filter((figure) => verdict[figure] !== 0);
  if (!isJson) {
    Object.entries(verdict).forEach(([figure, value]) => {
      process.stdout.write(`${figure.padEnd(22)} ${value}\n`);
    });
  }
  process.stdout.write(`${JSON.stringify({ ...verdict, ...extra })}\n`);
  process.exit(failedFigures.length === 0 ? 0 : EXIT_CHECK_FAILED);
}

function printFindings({ evidence, judgement }: ReplayResult): void {
  evidence.attempts.forEach(({ request, instance, startedAt, endedAt, result }) => {
    if (result.kind === 'answered') return;
    const took = endedAt.getTime() - startedAt.getTime();
    const line = { id: request.id, key: request.key, expect: request.expect, instance, took };
    process.stderr.write(`${endedAt.toISOString()} ${JSON.stringify({ ...line, ...result })}\n`);
  });
  judgement.findings.forEach((finding) => process.stderr.write(`${finding}\n`));
}
