import sade from 'sade';
import { createSystemClock } from '@pomeloroad/core';
import { BUSY_LOOPS_MAX } from './busyLoops';
import { EarlyEnds, RareEarlyEnds } from './callers';
import { DefaultFaults, FaultNames } from './faultDraws';
import { runSoak } from './soak';
import type { EarlyEnd } from './callers';
import type { SoakResult } from './soak';
import type { StreamShare } from './versionChecks';

const MS_PER_MINUTE = 60_000;
const CALM_MS = 12_000;
const EXIT_CHECK_FAILED = 1;
const EXIT_USAGE = 2;
const NAME_WIDTH = 50;
/** Name of the faults of endpoints' answers, which requests ask for. */
const ANSWERS = 'answers';
/** Name of what no server may run, which callers on plain sockets send. */
const UNREADABLE = 'unreadable';
/** Faults that requests ask for. */
const DefaultRequestFaults: string[] = [ANSWERS, UNREADABLE, ...EarlyEnds];
/** Share of the streams whose end comes apart from their last event, by the fault that asks for it. */
const ApartShares: Record<string, number> = { 'ends-apart': 1, 'some-ends-apart': 1 / 3 };
/** Name under which the configuration says that endpoints of streams replicate runs. */
const BACKUPS = 'backups';
const RareRequestFaults = [...RareEarlyEnds, ...Object.keys(ApartShares), BACKUPS];
/** What callers ask for beside a fault, so that it meets something. */
const Companions: Record<string, EarlyEnd> = { 'endpoints-renewed-in-turn': 'long-streams' };
const RequestFaults = [...DefaultRequestFaults, ...RareRequestFaults];

sade('soak', true)
  .describe('Run the bundled program under faults, as real processes, and check what is seen.')
  .option('--seed', 'seed of the faults and requests', 1)
  .option('--minutes', 'length', 1)
  .option('--instances', 'number of instances', 4)
  .option('--endpoints', 'number of endpoints', 8)
  .option('--callers', 'number of callers', 24)
  .option('--sockets', 'number of callers on plain sockets', 12)
  .option(
    '--faults',
    `some of ${[...RequestFaults, ...FaultNames].join(', ')}; all but the rare ones if left out`,
  )
  .option('--older', 'a commit whose build the instances run until they are started again')
  .option('--keep-older', 'run it after that too')
  .option('--busy', `processes that burn processor time, at most ${BUSY_LOOPS_MAX}`, 0)
  .option('--verbose', 'print the logs of all processes')
  .option('--json', 'print the result as one JSON line')
  .action(main)
  .parse(process.argv);

async function main(flags: Record<string, string | number | boolean | undefined>): Promise<void> {
  const named = flags.faults === undefined ? undefined : String(flags.faults).split(',');
  const faults = named ?? [...DefaultRequestFaults, ...DefaultFaults];
  const known = [...RequestFaults, ...FaultNames];
  const unknown = faults.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    process.stderr.write(`unknown faults: ${unknown.join(', ')}\n`);
    process.exit(EXIT_USAGE);
  }
  const asked = [...faults, ...faults.map((name) => Companions[name])];
  const interrupted = new AbortController();
  process.on('SIGINT', () => interrupted.abort());
  process.on('SIGTERM', () => interrupted.abort());
  const result = await runSoak(createSystemClock(), {
    seed: Number(flags.seed),
    length: Number(flags.minutes) * MS_PER_MINUTE,
    calm: CALM_MS,
    instances: Number(flags.instances),
    endpoints: Number(flags.endpoints),
    callers: Number(flags.callers),
    sockets: Number(flags.sockets),
    faults: faults.filter((name) => !RequestFaults.includes(name)),
    hasAnswerFaults: faults.includes(ANSWERS),
    hasUnreadable: faults.includes(UNREADABLE),
    earlyEnds: [...EarlyEnds, ...RareEarlyEnds].filter((name) => asked.includes(name)),
    apartShare: Math.max(0, ...faults.map((name) => ApartShares[name] ?? 0)),
    hasReplicas: faults.includes(BACKUPS),
    busyLoops: Number(flags.busy),
    olderRevision: flags.older === undefined ? undefined : String(flags.older),
    keepsOlder: Boolean(flags['keep-older']),
    signal: interrupted.signal,
    onLog(name, line) {
      if (flags.verbose) process.stderr.write(`${name}: ${line}\n`);
    },
  });
  const text = flags.json ? JSON.stringify(result) : renderResult(result);
  const status = result.failures.length === 0 ? 0 : EXIT_CHECK_FAILED;
  // A pipe takes long texts in pieces, of which an exit would lose the last ones.
  process.stdout.write(`${text}\n`, () => process.exit(status));
}

function renderResult(result: SoakResult): string {
  const { faults, falseEnds, behaviours, checks, outcomes, failures } = result;
  const { begun, takenUp, ...joined } = result.streams;
  const streams = {
    ...joined,
    'begun while two endpoints of a version served': renderShare(begun),
    'taken up while two of theirs served': renderShare(takenUp),
  };
  const earlyEnds = Object.entries(result.earlyEnds).map(([kind, { ended, taken }]) => [
    kind,
    `${taken} of ${ended}`,
  ]);
  const ends = Object.entries({ ...result.ends, ...result.framedEnds }).map(([kind, count]) => {
    const { sound, cut, late, early, taken, answers, mixed } = count;
    return [
      kind,
      `${cut} of ${sound} (${late} at the limit), ${taken} of ${early}, ${mixed} of ${answers}`,
    ];
  });
  const counted = {
    ...{ faults, 'false ends': falseEnds, behaviours, checks, outcomes },
    'streams that went on': streams,
    'sound answers cut, early ends taken for whole, answers with wrong events': Object.fromEntries(
      ends,
    ) as Record<string, string>,
    'early ends taken for whole': Object.fromEntries(earlyEnds) as Record<string, string>,
  };
  const tables = Object.entries(counted).flatMap(([title, counts]) => [
    title,
    ...Object.entries(counts)
      .sort()
      .map(([name, value]) => `  ${name.padEnd(NAME_WIDTH)} ${value}`),
  ]);
  const descriptions = failures.flatMap(({ check, request = '', message, timeLine }) => [
    `${check} ${request}: ${message}`,
    ...timeLine.map(({ at, source, text }) => `  ${new Date(at).toISOString()} ${source}: ${text}`),
  ]);
  return [...tables, ...descriptions].join('\n');
}

function renderShare({ served, asked }: StreamShare): string {
  return `${served} of ${asked}`;
}
