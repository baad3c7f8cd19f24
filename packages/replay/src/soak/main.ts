import sade from 'sade';
import { createSystemClock } from '@pomeloroad/core';
import { runSoak } from './soak';

const MS_PER_MINUTE = 60_000;
const EXIT_CHECK_FAILED = 1;

sade('soak', true)
  .describe('Run the bundled program under faults, as real processes, and check what is seen.')
  .option('--seed', 'seed of the faults and requests', 1)
  .option('--minutes', 'length', 1)
  .option('--instances', 'number of instances', 4)
  .option('--endpoints', 'number of endpoints', 4)
  .option('--callers', 'number of callers', 24)
  .option('--verbose', 'print the logs of all processes')
  .option('--json', 'print the result as one JSON line')
  .action(main)
  .parse(process.argv);

async function main(flags: Record<string, string | number | boolean | undefined>): Promise<void> {
  const result = await runSoak(createSystemClock(), {
    seed: Number(flags.seed),
    length: Number(flags.minutes) * MS_PER_MINUTE,
    instances: Number(flags.instances),
    endpoints: Number(flags.endpoints),
    callers: Number(flags.callers),
    onLog(name, line) {
      if (flags.verbose) process.stderr.write(`${name}: ${line}\n`);
    },
  });
  process.stdout.write(`${JSON.stringify(result, undefined, flags.json ? 0 : 2)}\n`);
  process.exit(result.failures.length === 0 ? 0 : EXIT_CHECK_FAILED);
}
