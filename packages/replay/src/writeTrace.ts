import { writeFileSync } from 'node:fs';
import path from 'node:path';
import sade from 'sade';
import { Deployments } from './deployments';
import { generateTrace } from './generateTrace';
import { getTracePath } from './paths';

sade('trace', true)
  .describe('Record the traces of all deployments.')
  .option('--seed', 'seed of the traces', 1)
  .action((flags: Record<string, number>) => {
    Object.values(Deployments).forEach((deployment) => {
      const lines = generateTrace(deployment, Number(flags.seed)).map((e) => JSON.stringify(e));
      const file = getTracePath(deployment.name);
      writeFileSync(file, `${lines.join('\n')}\n`);
      process.stdout.write(`${path.basename(file)}: ${lines.length} lines\n`);
    });
  })
  .parse(process.argv);
