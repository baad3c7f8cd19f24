// One process of the system is killed while it passes streams on that have neither a length nor chunks. With
// VARIANT=leaving a server is taken away instead: it reports `draining`, goes on serving for a while and is gone.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import net from 'node:net';
import { randomBytes } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import {
  createConfig,
  ENGINES,
  HOST,
  KEY,
  startMachines,
  startSite,
  STRIDE,
  ZONES,
} from '../lib/site.mjs';
import { startStreamServer } from '../lib/servers.mjs';
import { hasTrouble, runCase } from '../lib/script.mjs';
import { sleep } from '../lib/time.mjs';

const EVENTS = 55;
const EVENT_MS = 100;
const LIMIT_MS = 12_000;
const INTERVAL_MS = 100;
/** A process that was killed is started again after a short delay. */
const RESTART_DELAY_MS = 1000;
/** `drain_ms` and a little longer. */
const EXIT_AFTER_MS = 2500;
const isServerLeaving = process.env.VARIANT === 'leaving';

await runCase(import.meta.dirname, async ({ record, say, defer }) => {
  const site = await startSite({ record, defer, config: createConfig() });
  const { store, machines, nextIp } = site;
  const servers = [];
  for (const zone of ZONES) {
    const place = {
      ip: nextIp(),
      service: ENGINES,
      zone,
      slots: 64,
      stride: STRIDE,
      pauseMs: EVENT_MS,
    };
    const server = await startStreamServer({ ...place, store, record });
    defer(server.kill);
    servers.push(server);
  }
  await startMachines(machines);
  await sleep(5000);
  const answers = [];
  const open = new Set();
  let isOver = false;

  // A client of its own, since how a connection ends is what tells a whole answer from a broken one.
  function ask({ front }) {
    const id = randomBytes(8).toString('hex');
    const own = randomBytes(4).toString('hex');
    record({ what: 'sent', id, to: `${front.host}:${front.port}` });
    return new Promise((resolve) => {
      const socket = net.connect(front.port, front.host);
      const timer = setTimeout(() => socket.destroy(), LIMIT_MS);
      let text = '';
      let end = 'broken off';
      socket.write(
        [
          'POST /lohu930/2f HTTP/1.1',
          `Host: ${HOST}`,
          `X-Attempt-Id: ${id}`,
          `X-Deadline-Ms: ${LIMIT_MS}`,
          `Authorization: Token ${KEY}`,
          'X-Model: m',
          `X-Token-Usage: 1460,${EVENTS * STRIDE}`,
          `X-Prefix-Hash: 5c1e07a2:800,${own}:660`,
          'Content-Length: 2',
          '',
          'hi',
        ].join('\r\n'),
      );
      socket.on('data', (data) => {
        text += data.toString('latin1');
      });
      // A reset is no end, though it may be told as one; the address is missing then.
      socket.on('end', () => {
        if (socket.remoteAddress !== undefined) end = 'closed';
      });
      socket.on('error', () => {
        end = 'reset';
      });
      socket.on('close', () => {
        clearTimeout(timer);
        const [head = '', body = ''] = text.split(/\r\n\r\n(.*)/s);
        const isFramed = /^(content-length|transfer-encoding):/im.test(head);
        const status = Number(head.split(' ')[1]);
        const events = body.split('\n\n').filter((block) => /^data:/m.test(block)).length;
        const isStatedWhole = isFramed ? body.includes('\r\n0\r\n\r\n') : end === 'closed';
        record({ what: 'answered', id, status, events, isFramed, end, isStatedWhole });
        resolve({ id, status, events, isStatedWhole });
      });
    });
  }

  async function keepAsking(machine) {
    while (!isOver) {
      const asked = ask(machine).then((answer) => answers.push(answer));
      open.add(asked);
      asked.finally(() => open.delete(asked));
      await sleep(INTERVAL_MS);
    }
  }

  machines.forEach(keepAsking);
  const startedAt = performance.now();
  await sleep(6000);
  if (hasTrouble && isServerLeaving) {
    const [leaving] = servers;
    leaving.reportDraining();
    await sleep(EXIT_AFTER_MS);
    leaving.kill();
    store.remove('servers', leaving.id);
    say(`${leaving.id} reported draining, and is gone ${EXIT_AFTER_MS} ms later`);
  } else if (hasTrouble) {
    const [killed] = machines;
    killed.signal('SIGKILL');
    say(`the process of ${killed.name} is killed`);
    await sleep(RESTART_DELAY_MS);
    killed.start();
  } else await sleep(EXIT_AFTER_MS);
  await sleep(1000);
  isOver = true;
  await Promise.all(open);
  const early = answers.filter(
    ({ status, events, isStatedWhole }) => status === 200 && isStatedWhole && events < EVENTS,
  );
  const whole = answers.filter(({ events }) => events === EVENTS);
  early.forEach(({ id, events }) =>
    record({ what: 'ends as complete before its last piece', id, events }),
  );
  say(
    `${answers.length} streams in ${Math.round(performance.now() - startedAt)} ms; whole: ${whole.length}`,
  );
  say(`ended as complete before their last piece: ${early.length}`);
  return early.length > 0;
});
