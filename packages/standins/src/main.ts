import type http from 'node:http';
import { finished } from 'node:stream/promises';
import sade from 'sade';
import { createSystemClock, listen } from '@pomeloroad/core';
import { createModelEngine } from './modelEngine';
import { createPlainService } from './plainService';
import { startPlatform } from './platformServers';
import { runSoakEndpoint } from './soakEndpointProcess';
import { startStore } from './storeService';

const FREE_PORT = '127.0.0.1:0';
const STORE_PAGE_ROWS = 500;

const program = sade('standins');

program
  .command('platform')
  .describe('Run the table service, the object store and the membership list.')
  .option('--table', 'address of the table service', FREE_PORT)
  .option('--objects', 'address of the object store', FREE_PORT)
  .option('--membership', 'address of the membership list', FREE_PORT)
  .option('--seed', 'seed of injected faults', 1)
  .option('--lag', 'lag of the membership list in ms', 500)
  .option('--expiry', 'time in ms after which a silent member is dropped', 6000)
  .action(async (flags: Record<string, string | number>) => {
    const addresses = {
      table: String(flags.table),
      objects: String(flags.objects),
      membership: String(flags.membership),
    };
    const options = { lag: Number(flags.lag), expiry: Number(flags.expiry) };
    const platform = await startPlatform(addresses, Number(flags.seed), options);
    reportListening(platform.addresses);
  });

program
  .command('engine')
  .describe('Run a model engine.')
  .option('--address', 'where to listen', FREE_PORT)
  .option('--slots', 'streams at the same time', 16)
  .option('--step', 'time between tokens in ms', 5)
  .option('--prefill-rate', 'prompt characters read a ms', 200)
  .option('--resume-window', 'time in ms that a stream runs on without a reader', 15000)
  .option('--cache-blocks', 'blocks of the prefix cache', 256)
  .option('--load-lag', 'age of the reported load in ms', 300)
  .option('--event-lag', 'age in ms at which cache events are published', 500)
  .option('--seed', 'seed of injected faults', 1)
  .option('--checks-fencing', 'refuse orders with an old fencing number', false)
  .action(async (flags: Record<string, string | number | boolean>) => {
    const engine = createModelEngine(createSystemClock(), {
      slots: Number(flags.slots),
      step: Number(flags.step),
      prefillRate: Number(flags['prefill-rate']),
      resumeWindow: Number(flags['resume-window']),
      cacheBlocks: Number(flags['cache-blocks']),
      loadLag: Number(flags['load-lag']),
      eventLag: Number(flags['event-lag']),
      seed: Number(flags.seed),
      checksFencing: Boolean(flags['checks-fencing']),
    });
    await listenAndReport(engine, String(flags.address));
  });

program
  .command('service')
  .describe('Run a plain service.')
  .option('--address', 'where to listen', FREE_PORT)
  .option('--seed', 'seed of injected faults', 1)
  .action(async (flags: Record<string, string | number>) => {
    await listenAndReport(createPlainService(Number(flags.seed)), String(flags.address));
  });

program
  .command('store')
  .describe('Run the metadata store of the operators’ platform.')
  .option('--address', 'where to listen', FREE_PORT)
  .option('--expiry', 'time in ms after which a silent endpoint’s entry is removed', 1200)
  .option('--seed', 'seed of the answers that are lost', 1)
  .action(async (flags: Record<string, string | number>) => {
    const store = await startStore({
      clock: createSystemClock(),
      address: String(flags.address),
      pageRows: STORE_PAGE_ROWS,
      entryExpiry: Number(flags.expiry),
      seed: Number(flags.seed),
    });
    reportListening({ address: store.address });
  });

program
  .command('endpoint')
  .describe('Run an endpoint that announces itself in the store of the operators’ platform.')
  .option('--id', 'id of the endpoint')
  .option('--address', 'where to listen', FREE_PORT)
  .option('--advertised', 'address at which instances reach it')
  .option('--store', 'address of the store')
  .option('--service', 'name of its service')
  .option('--data-centre', 'name of its data centre')
  .option('--slots', 'requests at the same time', 16)
  .option('--software', 'version of its software', 'v1')
  .option('--idle', 'time in ms after which it closes an idle connection', 5000)
  .option('--drain', 'time in ms that it serves after it has announced its leaving', 2000)
  .option('--seed', 'seed of the pace of its engine', 1)
  .option('--apart', 'share of the streams whose end comes apart from their last event', 0)
  .option('--listed-after', 'time in ms from its start until it first writes its entry', 0)
  .option('--waits', 'start only at the end of the standard input')
  .action(async (flags: Record<string, string | number>) => {
    if (flags.waits) await finished(process.stdin.resume());
    const address = await runSoakEndpoint({
      clock: createSystemClock(),
      id: String(flags.id),
      address: String(flags.address),
      advertisedAddress: String(flags.advertised),
      store: String(flags.store),
      service: String(flags.service),
      dataCentre: String(flags['data-centre']),
      slots: Number(flags.slots),
      version: String(flags.software),
      idleTimeout: Number(flags.idle),
      drain: Number(flags.drain),
      seed: Number(flags.seed),
      apartShare: Number(flags.apart),
      listedAfter: Number(flags['listed-after']),
    });
    reportListening({ address });
  });

program.parse(process.argv);

async function listenAndReport(server: http.Server, address: string): Promise<void> {
  reportListening({ address: await listen(server, address) });
}

function reportListening(addresses: object): void {
  process.stdout.write(`${JSON.stringify({ event: 'listening', ...addresses })}\n`);
}
