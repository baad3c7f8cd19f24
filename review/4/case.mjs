// A server leaves without reporting `draining`: its entry is removed, and it goes on serving for a while. A
// drill follows, in which the store comes back from a copy that still has the entry.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { BOARD, createConfig, KEY, startMachines, startSite, ZONES } from '../lib/site.mjs';
import { createPlainWork, startServer } from '../lib/servers.mjs';
import { hasTrouble, runCase } from '../lib/script.mjs';
import { sleep } from '../lib/time.mjs';

const DRAIN_MS = 2000;
const CONTACT_MS = 3000;
/** An entry is removed after three check-in intervals of silence. */
const LAPSE_MS = 3 * 1200;
const AWAY_MS = 1000;
const LIMIT_MS = 1500;
const INTERVAL_MS = 40;

await runCase(import.meta.dirname, async ({ record, say, defer }) => {
  const config = createConfig();
  const site = await startSite({ record, defer, config });
  const { store, machines, caller, nextIp } = site;
  const reached = [];
  const servers = [];
  for (const zone of ZONES) {
    const work = createPlainWork({ workMs: 20, bytes: 800, record });
    const server = await startServer({
      ...{ ip: nextIp(), store, service: BOARD, zone, slots: 6, work },
      record: ({ id, server: name }) => reached.push({ id, name, at: performance.now() }),
    });
    defer(server.stop);
    servers.push(server);
  }
  await startMachines(machines);
  await sleep(5000);
  const sentAt = new Map();
  const statuses = new Map();
  let isOver = false;

  async function ask(machine) {
    const at = performance.now();
    const headers = { Authorization: `Token ${KEY}` };
    const body = Buffer.alloc(600);
    const answer = await caller.send({
      to: machine.front,
      path: '/puxa403/2f',
      limitMs: LIMIT_MS,
      headers,
      body,
    });
    sentAt.set(answer.id, at);
    const kind = `${answer.status ?? answer.how}`;
    statuses.set(kind, (statuses.get(kind) ?? 0) + 1);
  }

  async function keepAsking(machine) {
    while (!isOver) {
      ask(machine);
      await sleep(INTERVAL_MS);
    }
  }

  machines.forEach(keepAsking);
  await sleep(2000);
  const [leaving] = servers;
  const comeBack = store.copy();
  say('copy made');
  await sleep(1000);
  leaving.stopCheckingIn();
  store.remove('servers', leaving.id);
  const removedAt = performance.now();
  say(`the entry of ${leaving.id} is removed; it goes on serving`);
  await sleep(4000);
  if (hasTrouble) store.goAway();
  await sleep(AWAY_MS);
  const backAt = performance.now();
  if (hasTrouble) {
    comeBack();
    store.write('op', 'config', config);
    say('the store is back from the copy');
  }
  await sleep(LAPSE_MS);
  store.remove('servers', leaving.id);
  say('the entry is removed once more, after three check-in intervals of silence');
  await sleep(3000);
  isOver = true;
  await sleep(LIMIT_MS);
  const late = reached.filter(
    ({ id, name }) => name === leaving.id && sentAt.get(id) > removedAt + DRAIN_MS,
  );
  const inTouch = late.filter(({ id }) => sentAt.get(id) > backAt + CONTACT_MS);
  late.forEach(({ id, at }) => {
    const [sent, arrived] = [sentAt.get(id), at].map((time) => Math.round(time - removedAt));
    record({
      what: 'reached the leaving server',
      id,
      sentMsAfterRemoval: sent,
      reachedMs: arrived,
    });
  });
  say(`answers by status: ${JSON.stringify(Object.fromEntries(statuses))}`);
  say(`sent later than drain_ms after the removal, and reached the server: ${late.length}`);
  say(
    `of these, sent later than contact_ms after the drill, by machines in touch: ${inTouch.length}`,
  );
  return inTouch.length > 0;
});
