// Some servers of a service spoil a few of their answers: they send the head of an answer `101`, which no request
// asked for.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import { Buffer } from 'node:buffer';
import { BOARD, createConfig, KEY, startMachines, startSite, ZONES } from '../lib/site.mjs';
import { createPlainWork, startServer } from '../lib/servers.mjs';
import { hasTrouble, runCase } from '../lib/script.mjs';
import { sleep } from '../lib/time.mjs';

/** As of `load-confirm`: the route's `timeout_ms` and the client's time limit. */
const TIMEOUT_MS = 800;
const LIMIT_MS = 1500;
/** Time after the route's timeout within which an answer is due. */
const ANSWER_MS = 500;
/** The largest dose of `garble` in the site file: share of the servers and of their answers, and its length. */
const SHARE = 0.6;
/** One answer in twenty. */
const SPOILED_EACH = 20;
const SPOILED_MS = 5500;
const INTERVAL_MS = 25;
/** Requests without an answer from which on the rule is broken. */
const UNANSWERED_LEAST = 8;
const SPOILED_ANSWER =
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n';

await runCase(import.meta.dirname, async ({ record, say, defer }) => {
  const config = createConfig();
  const route = config.routes.find(({ prefix }) => prefix === '/puxa403/');
  Object.assign(route, { timeout_ms: TIMEOUT_MS, slo_ms: 100 });
  const site = await startSite({ record, defer, config });
  const { store, machines, caller, nextIp } = site;
  let isSpoiling = false;
  let seen = 0;
  let spoiled = 0;
  const troubled = Math.floor(ZONES.length * SHARE);
  const plain = createPlainWork({ workMs: 20, bytes: 800, record });

  async function spoilSome(request, response, context) {
    seen += isSpoiling ? 1 : 0;
    if (!isSpoiling || seen % SPOILED_EACH !== 0) {
      await plain(request, response, context);
      return;
    }
    spoiled += 1;
    record({ what: 'spoils its answer', id: context.attempt, server: context.id });
    response.socket.write(SPOILED_ANSWER);
    await sleep(LIMIT_MS);
    response.socket?.destroy();
  }

  for (const [index, zone] of ZONES.entries()) {
    const work = index < troubled ? spoilSome : plain;
    const place = { ip: nextIp(), store, service: BOARD, zone, slots: 24 };
    const server = await startServer({ ...place, record: () => 0, work });
    defer(server.stop);
  }
  await startMachines(machines);
  await sleep(5000);
  const late = [];
  const statuses = new Map();
  let isOver = false;

  async function ask(machine) {
    const headers = { Authorization: `Token ${KEY}` };
    const body = Buffer.alloc(600);
    const call = { to: machine.front, path: '/puxa403/2f', limitMs: LIMIT_MS, headers, body };
    const answer = await caller.send(call);
    const kind = `${answer.status ?? answer.how}`;
    statuses.set(kind, (statuses.get(kind) ?? 0) + 1);
    if (answer.tookMs > TIMEOUT_MS) late.push(answer);
  }

  async function keepAsking(machine) {
    while (!isOver) {
      ask(machine);
      await sleep(INTERVAL_MS);
    }
  }

  machines.forEach(keepAsking);
  await sleep(4000);
  isSpoiling = hasTrouble;
  await sleep(SPOILED_MS);
  isSpoiling = false;
  await sleep(3000);
  isOver = true;
  await sleep(LIMIT_MS + 200);
  const unanswered = late.filter(({ tookMs }) => tookMs > TIMEOUT_MS + ANSWER_MS);
  say(`answers by status: ${JSON.stringify(Object.fromEntries(statuses))}; spoiled: ${spoiled}`);
  say(
    `not answered at the route's timeout_ms: ${late.length}; nor ${ANSWER_MS} ms later: ${unanswered.length}`,
  );
  return unanswered.length >= UNANSWERED_LEAST && unanswered.length > late.length / 2;
});
