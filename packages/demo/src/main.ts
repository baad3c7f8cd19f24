import { readFileSync } from 'node:fs';
import path from 'node:path';
import sade from 'sade';
import { createSystemClock, listen, sleep } from '@pomeloroad/core';
import { applyFile, topUp } from '@pomeloroad/control';
import type { CommandResult, OperatorTarget } from '@pomeloroad/control';
import { parseSettings, startInstance } from '@pomeloroad/entry';
import type { Instance, Settings } from '@pomeloroad/entry';
import { createModelEngine, createPlainService, startPlatform } from '@pomeloroad/standins';

const EXAMPLE = path.join(__dirname, '..', '..', '..', 'examples', 'first.yaml');
const CALLER_SECRET = 'pk-first-ten-minutes';
const OPERATOR_KEY = 'operator-of-the-example';
const FLEET_KEY = 'fleet-key-of-the-example';
const TOP_UP_TOKENS = 100_000;
const SEED = 1;

/** Ports of the example file, and those that its parts listen on here. */
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
  process.on('uncaughtException', stopOnBusyPort);
  const clock = createSystemClock();
  const at = (address: string) => (usesFreePorts ? FREE_PORT : address);
  const platform = await startPlatform(
    { table: FREE_PORT, objects: FREE_PORT, membership: FREE_PORT },
    SEED,
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
    seed: SEED,
    checksFencing: true,
  };
  const replacements = new Map<string, string>();
  for (const address of EXAMPLE_ADDRESSES.engines) {
    const server = createModelEngine(clock, engineOptions);
    replacements.set(address, await listen(server, at(address)));
  }
  const service = createPlainService(SEED);
  replacements.set(EXAMPLE_ADDRESSES.service, await listen(service, at(EXAMPLE_ADDRESSES.service)));
  const instance = await startInstance(createSettings(platform.addresses, usesFreePorts));
  await prepare(instance, replacements);
  printGuide(instance);
  await waitForSignal();
  process.stdout.write('draining…\n');
  const isWhole = await instance.drain();
  platform.close();
  await sleep(clock, 0);
  process.exit(isWhole ? 0 : 1);
}

function stopOnBusyPort(error: NodeJS.ErrnoException): void {
  const hint = error.code === 'EADDRINUSE' ? '; try "npm start -- --free-ports"' : '';
  process.stderr.write(`${error.message}${hint}\n`);
  process.exit(1);
}

function createSettings(
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

async function prepare(instance: Instance, replacements: Map<string, string>): Promise<void> {
  const target: OperatorTarget = {
    url: `http://${instance.operatorsAddress}`,
    key: OPERATOR_KEY,
    authority: undefined,
  };
  let text = readFileSync(EXAMPLE, 'utf8');
  replacements.forEach((bound, address) => {
    text = text.replaceAll(address, bound);
  });
  report(await applyFile(target, 'examples/first.yaml', text, undefined, 'demo'));
  report(await topUp(target, 'dispatch/routes', TOP_UP_TOKENS, 'first-top-up'));
}

function report(result: CommandResult): void {
  process.stdout.write(`${result.text}\n`);
  if (result.status !== 0) process.exit(result.status);
}

function printGuide(instance: Instance): void {
  const { callersAddress, operatorsAddress } = instance;
  const body = '{"model":"planner","messages":[{"role":"user","content":"Plan a route"}]}';
  const streamed = body.replace('{"model"', '{"stream":true,"model"');
  const call = (flags: string, data: string) =>
    `curl ${flags}http://${callersAddress}/v1/chat/completions ` +
    `-H 'authorization: Bearer ${CALLER_SECRET}' -H 'content-type: application/json' ` +
    `-d '${data}'`;
  const operator = `POMELOCTL_URL=http://${operatorsAddress} POMELOCTL_KEY=${OPERATOR_KEY}`;
  const lines = [
    '',
    'pomeloroad is up. Ask it, whole and streamed:',
    `  ${call('', body)}`,
    `  ${call('-N ', streamed)}`,
    '',
    'For operators:',
    `  export ${operator}`,
    ...['status', 'usage', 'audit', 'get', 'dump'].map((name) => `  npx pomeloctl ${name}`),
    '',
    'To read on: README.md, docs/API.md, docs/OPERATIONS.md. Ctrl-C drains and stops.',
    '',
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    const keepAlive = setInterval(() => undefined, 1000);
    const stop = () => {
      clearInterval(keepAlive);
      resolve();
    };
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
  });
}
