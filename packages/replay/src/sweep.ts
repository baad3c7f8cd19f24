import { writeFileSync } from 'node:fs';
import sade from 'sade';
import { createSystemClock, MS_PER_SECOND } from '@pomeloroad/core';
import type { Clock } from '@pomeloroad/core';
import type { Deployment } from './deployments';
import { Deployments } from './deployments';
import { FaultNames, parseFaults } from './faultNames';
import { MUST_BE_ZERO } from './judge';
import type { Verdict } from './judge';
import { getTracePath } from './paths';
import { prepareTrace } from './prepareTrace';
import { runReplay } from './replay';
import { readTrace } from './trace';

/** Figures of the table besides those that must be 0. */
const SHOWN_FIGURES: (keyof Verdict)[] = [
  'answered',
  'refused',
  'lost',
  'needlessRefusals',
  'forcedRefusals',
  'strandedTokens',
  'duplicateTokens',
  'configSeconds',
];

/** The result of one replay of a sweep, a row of the table. */
interface SweepRow {
  deployment: string;
  faults: string;
  seed: number;
  verdict: Verdict;
}

sade('sweep', true)
  .describe('Replay many faults and seeds, one after the other, and write a table of the figures.')
  .option('--deployments', 'deployments, comma-joined', Object.keys(Deployments).join(','))
  .option('--faults', 'sets of faults, separated by spaces', `none ${FaultNames.join(' ')} all`)
  .option('--seeds', 'seeds, comma-joined', '1')
  .option('--partition-seconds', 'length of a partition or outage', 10)
  .option('--grants', 'adaptive, even or central', 'adaptive')
  .option('--out', 'file to write the table to')
  .action(sweep)
  .parse(process.argv);

async function sweep(flags: Record<string, string | number | undefined>): Promise<void> {
  const clock = createSystemClock();
  const rows: SweepRow[] = [];
  for (const seed of String(flags.seeds).split(',').map(Number)) {
    for (const name of String(flags.deployments).split(',')) {
      const deployment = Deployments[name];
      if (!deployment) throw new Error(`unknown deployment ${name}`);
      for (const faults of String(flags.faults).split(' ')) {
        const verdict = await replayOnce(clock, deployment, faults, seed, flags);
        rows.push({ deployment: name, faults, seed, verdict });
        process.stderr.write(`${name} ${faults} ${seed}: ${describeFailedFigures(verdict)}\n`);
        if (flags.out) writeFileSync(String(flags.out), renderTable(rows));
      }
    }
  }
  process.stdout.write(renderTable(rows));
  process.exit(rows.some(({ verdict }) => getFailedFigures(verdict).length > 0) ? 1 : 0);
}

async function replayOnce(
  clock: Clock,
  deployment: Deployment,
  faultText: string,
  seed: number,
  flags: Record<string, string | number | undefined>,
): Promise<Verdict> {
  const faults = parseFaults(faultText);
  if (!faults) throw new Error(`unknown fault in ${faultText}`);
  const partition = Number(flags['partition-seconds']) * MS_PER_SECOND;
  const trace = readTrace(getTracePath(deployment.name));
  const events = prepareTrace(deployment, trace, seed, faults, partition);
  const grants = String(flags.grants);
  const onLog = () => undefined;
  const options = { deployment, events, seed, faults, partition, grants, settings: [], onLog };
  return (await runReplay({ clock }, options)).judgement.verdict;
}

function getFailedFigures(verdict: Verdict): string[] {
  return MUST_BE_ZERO.filter((figure) => verdict[figure] !== 0);
}

function describeFailedFigures(verdict: Verdict): string {
  const failedFigures = MUST_BE_ZERO.filter((figure) => verdict[figure] !== 0);
  if (failedFigures.length === 0) return 'all 0';
  return failedFigures.map((figure) => `${figure} ${verdict[figure]}`).join(', ');
}

function renderTable(rows: SweepRow[]): string {
  const head = ['deployment', 'faults', 'seed', 'must be 0', ...SHOWN_FIGURES];
  const lines = rows.map(({ deployment, faults, seed, verdict }) => {
    const shown = SHOWN_FIGURES.map((figure) => String(verdict[figure]));
    return `| ${[deployment, faults, seed, describeFailedFigures(verdict), ...shown].join(' | ')} |`;
  });
  const rule = `| ${head.map(() => '---').join(' | ')} |`;
  return `${[`| ${head.join(' | ')} |`, rule, ...lines].join('\n')}\n`;
}
