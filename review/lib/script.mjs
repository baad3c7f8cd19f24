// What all scripts share: the record, the clean end and the exit code.
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';

/** Whether the script plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
const TIME_LIMIT_MS = 115_000;

/**
 * Runs a case. `play` gets `record`, `defer` for what is to be stopped at the end and `say`; it returns
 * whether the rule was broken, or throws if the case could not run.
 */
export async function runCase(folder, play) {
  const startedAt = performance.now();
  const file = createWriteStream(join(folder, 'record.txt'));
  const deferred = [];
  const record = (entry) => {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3);
    file.write(`${at} ${JSON.stringify(entry)}\n`);
  };
  const say = (text) => {
    process.stdout.write(`${text}\n`);
    record({ what: 'note', text });
  };
  let timer;

  async function end(code, text) {
    clearTimeout(timer);
    say(text);
    deferred.reverse().forEach((stop) => stop());
    await new Promise((resolve) => {
      file.end(resolve);
    });
    process.exit(code);
  }

  const giveUp = (reason) =>
    end(COULD_NOT_RUN, `RESULT: could not run: ${reason?.stack ?? reason}`);
  ['SIGINT', 'SIGTERM', 'uncaughtException', 'unhandledRejection'].forEach((event) =>
    process.once(event, giveUp),
  );
  timer = setTimeout(() => end(COULD_NOT_RUN, 'RESULT: took too long'), TIME_LIMIT_MS);
  try {
    const isBroken = await play({ record, say, defer: (stop) => deferred.push(stop) });
    await end(isBroken ? BROKEN : HELD, isBroken ? 'RESULT: rule broken' : 'RESULT: rule held');
  } catch (error) {
    await end(COULD_NOT_RUN, `RESULT: could not run: ${error.stack}`);
  }
}
