// An entry of another writer among the entries of the servers: its address names a port that does not exist.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';
import {
  createConfig,
  ENGINES,
  KEY,
  startMachines,
  startSite,
  STRIDE,
  ZONES,
} from '../lib/site.mjs';
import { createStreamWork, startServer } from '../lib/servers.mjs';
import { hasTrouble, runCase } from '../lib/script.mjs';
import { sleep } from '../lib/time.mjs';

/** Connections that may be closed without an answer, by the rule LOST. */
const LOST_ALLOWED = 3;
/** A process that has ended is started again after a short delay. */
const RESTART_DELAY_MS = 500;
/** Parts that prompts share; each has a server of its own that mostly gets it. */
const PARTS = 100;

await runCase(import.meta.dirname, async ({ record: write, say, defer }) => {
  const running = new Set();
  const ends = new Map();
  let isOver = false;
  let machines = [];

  function record(entry) {
    write(entry);
    if (entry.what === 'runs') running.add(entry.id);
    if (entry.what !== 'process ended by itself' || isOver) return;
    ends.set(entry.machine, (ends.get(entry.machine) ?? 0) + 1);
    const ended = machines.find(({ name }) => name === entry.machine);
    setTimeout(() => !isOver && ended.start(), RESTART_DELAY_MS);
  }

  const site = await startSite({ record, defer, config: createConfig() });
  machines = site.machines;
  const { store, caller, nextIp } = site;
  for (const zone of ZONES) {
    const work = createStreamWork({ stride: STRIDE, pauseMs: 10, firstMs: 200, record });
    const place = { ip: nextIp(), store, service: ENGINES, zone, slots: 64 };
    const server = await startServer({ ...place, record: () => 0, work });
    defer(server.stop);
  }
  await startMachines(machines);
  await sleep(4000);
  const statuses = new Map();
  let lost = 0;

  async function ask(machine) {
    const part = (0x5c1e07a2 + Math.floor(Math.random() * PARTS)).toString(16);
    const own = Math.floor(Math.random() * 2 ** 32).toString(16);
    const answer = await caller.send({
      ...{ to: machine.front, path: '/lohu930/2f', limitMs: 5000, body: Buffer.alloc(600) },
      headers: {
        Authorization: `Token ${KEY}`,
        'X-Model': 'm',
        'X-Token-Usage': '1460,70',
        'X-Prefix-Hash': `${part}:800,${own}:660`,
      },
    });
    const kind = `${answer.status ?? answer.how}`;
    statuses.set(kind, (statuses.get(kind) ?? 0) + 1);
    // Passed on to a sound server, and closed without an answer.
    if (answer.isKept && answer.status === undefined && running.has(answer.id)) lost += 1;
  }

  async function keepAsking(machine) {
    while (!isOver) {
      ask(machine);
      await sleep(60);
    }
  }

  machines.forEach(keepAsking);
  await sleep(4000);
  if (hasTrouble) {
    say('another writer adds an entry with the address 127.0.0.1:99999');
    store.write('servers', 'i-0d1e2f3a', {
      ...{ service: ENGINES, address: '127.0.0.1:99999', zone: 'tacoma', version: 'v1', slots: 64 },
      ...{ state: 'ready', cold_left_ms: 0, seq: 1, born: Date.now() },
    });
  }
  await sleep(12_000);
  isOver = true;
  await sleep(1000);
  say(`answers by status: ${JSON.stringify(Object.fromEntries(statuses))}`);
  say(`processes that ended by themselves: ${JSON.stringify(Object.fromEntries(ends))}`);
  say(
    `kept connections closed without an answer after the request ran: ${lost} (${LOST_ALLOWED} allowed)`,
  );
  return lost > LOST_ALLOWED;
});
