import { readFileSync } from 'node:fs';
import path from 'node:path';
import sade from 'sade';
import { createSystemClock, listen, sleep } from '@pomeloroad/core';
import { applyFile, topUp } from '@pomeloroad/control';
import type { CommandResult, OperatorTarget } from '@pomeloroad/control';
import { parseSettings, startInstance } from '@pomeloroad/entry';
import type { Instance, Settings } from '@pomeloroad/entry';
import { createModelEngine, createPlainService, startPlatform } from '@pomeloroad/standins';

const EXAMPLE_PATH = path.join(__dirname, '..', '..', '..', 'examples', 'first.yaml');
const CALLER_KEY_SECRET = 'pk-first-ten-minutes';
const OPERATOR_KEY = 'operator-of-the-example';
const FLEET_KEY = 'fleet-key-of-the-example';
const TOP_UP_TOKENS = 100_000;
const FAULT_SEED = 1;

/** Addresses in the example file; the stand-ins listen on them unless `--free-ports` is given. */
const EXAMPLE_ADDRESSES = {
  engines: ['127.0.0.1:9101', '127.0.0.1:9102'],
  service: '127.0.0.1:9201',
};
const FREE_PORT = '127.0.0.1:0';

sade('pomeloroad-demo', true)
  .describe('Run one instance with stand-ins for everything around it.')
  .option('--free-ports', 'listen on free ports in place of the usual ones')
  .action((flags: Record<string, boolean>) => runDemo(Boolean(flags['free-ports'])))
  .parse(process.argv);

async function runDemo(usesFreePorts: boolean): Promise<void> {
  process.on('uncaughtException', exitOnUncaughtError);
  const clock = createSystemClock();
  const chooseAddress = (address: string) => (usesFreePorts ? FREE_PORT : address);
  const platform = await startPlatform(
    { table: FREE_PORT, objects: FREE_PORT, membership: FREE_PORT },
    FAULT_SEED,
    { lag: 200, expiry: 6000 },
  );
  const engineOptions = {
    slots: 16,
    step: 20,
    prefillRate: 200,
    resumeWindow: 15_000,
    cacheBlocks: 256,
    loadLag: 300,
    eventLag: 500,
    seed: FAULT_SEED,
    checksFencing: true,
  };
  const boundAddresses = new Map<string, string>();
  for (const address of EXAMPLE_ADDRESSES.engines) {
    const server = createModelEngine(clock, engineOptions);
    boundAddresses.set(address, await listen(server, chooseAddress(address)));
  }
  const service = createPlainService(FAULT_SEED);
  boundAddresses.set(
    EXAMPLE_ADDRESSES.service,
    await listen(service, chooseAddress(EXAMPLE_ADDRESSES.service)),
  );
  const instance = await startInstance(parseDemoSettings(platform.addresses, usesFreePorts));
  await applyExample(instance, boundAddresses);
  printGuide(instance);
  await waitForSignal();
  process.stdout.write('draining…\n');
  const isFullyDrained = await instance.drain();
  platform.close();
  await sleep(clock, 0);
  process.exit(isFullyDrained ? 0 : 1);
}

function exitOnUncaughtError(error: NodeJS.ErrnoException): void {
  const hint = error.code === 'EADDRINUSE' ? '; try "npm start -- --free-ports"' : '';
  process.stderr.write(`${error.message}${hint}\n`);
  process.exit(1);
}

function parseDemoSettings(
  platform: { table: string; objects: string; membership: string },
  usesFreePorts: boolean,
): Settings {
  const addresses = usesFreePorts
    ? { 'callers-address': FREE_PORT, 'peers-address': FREE_PORT, 'operators-address': FREE_PORT }
    : {};
  const settings = parseSettings(
    {
      instance: 'first',
      'data-centre': 'kent',
      'table-url': `http://${platform.table}`,
      'objects-url': `http://${platform.objects}`,
      'membership-url': `http://${platform.membership}`,
      'fleet-key': FLEET_KEY,
      'operator-key': OPERATOR_KEY,
      'drain-notice': '100',
      'log-level': 'warn',
      ...addresses,
    },
    process.env,
  );
  return settings.unwrap();
}

async function applyExample(
  instance: Instance,
  boundAddresses: Map<string, string>,
): Promise<void> {
  const target: OperatorTarget = {
    url: `http://${instance.operatorsAddress}`,
    key: OPERATOR_KEY,
    authority: undefined,
  };
  let text = readFileSync(EXAMPLE_PATH, 'utf8');
  boundAddresses.forEach((bound, address) => {
    text = text.replaceAll(address, bound);
  });
  printResult(await applyFile(target, 'examples/first.yaml', text, undefined, 'demo'));
  printResult(await topUp(target, 'dispatch/routes', TOP_UP_TOKENS, 'first-top-up'));
}

function printResult(result: CommandResult): void {
  process.stdout.write(`${result.text}\n`);
  if (result.status !== 0) process.exit(result.status);
}

function printGuide(instance: Instance): void {
  const { callersAddress, operatorsAddress } = instance;
  const body = '{"model":"planner","messages":[{"role":"user","content":"Plan a route"}]}';
  const streamedBody = body.replace('{"model"', '{"stream":true,"model"');
  const formatCurl = (flags: string, data: string) =>
    `curl ${flags}http://${callersAddress}/v1/chat/completions ` +
    `-H 'authorization: Bearer ${CALLER_KEY_SECRET}' -H 'content-type: application/json' ` +
    `-d '${data}'`;
  const variables = `POMELOCTL_URL=http://${operatorsAddress} POMELOCTL_KEY=${OPERATOR_KEY}`;
  const lines = [
    '',
    'pomeloroad is up. Ask it, whole and streamed:',
    `  ${formatCurl('', body)}`,
    `  ${formatCurl('-N ', streamedBody)}`,
    '',
    'For operators:',
    `  export ${variables}`,
    ...['status', 'usage', 'audit', 'get', 'dump'].map((name) => `  npx pomeloctl ${name}`),
    '',
    'To read on: README.md, docs/API.md, docs/OPERATIONS.md. Ctrl-C drains and stops.',
    '',
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    // Timers of an instance do not keep the process alive.
    const keepAlive = setInterval(() => undefined, 1000);
    const stop = () => {
      clearInterval(keepAlive);
      resolve();
    };
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
  });
}
