// Starts the project's own program with the command of the deploy file, with settings as DEPLOY.md shows.
/* eslint-disable no-await-in-loop -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { sleep } from './time.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TIMEOUT_MS = 15_000;

/** Returns loopback addresses that this run uses alone, since each program has a fixed port for metrics. */
export function createAddresses() {
  const pick = () => 1 + Math.floor(Math.random() * 250);
  const [second, third] = [pick(), pick()];
  let last = 0;
  return () => {
    last += 1;
    return `127.${second}.${third}.${last}`;
  };
}

async function takePort(ip) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function readCommand() {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(deploy)?.[1] ?? '';
  return command.split(' ');
}

function render({ name, zone, zones, ip, ports, storeAddress }) {
  const { front, readiness, control, peers } = ports;
  return `node_name = "${name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "${ip}"
zone = "${zone}"
region = "puget"
port_range = [${peers},${peers}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
${zones.map((zoneName) => `${zoneName} = "puget"`).join('\n')}
[listen]
front = "${ip}:${front}"
readiness = "${ip}:${readiness}"
control = "${ip}:${control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 56
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
settle_ms = 1500
[platform]
address = "${storeAddress}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 3.0
part_writes_s = 300
row_bytes = 65536
across = true
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
`;
}

/** Prepares a machine: its addresses and its settings file. \`start\` starts its process. */
export async function createMachine({ name, zone, zones, ip, storeAddress, record }) {
  const folder = mkdtempSync(join(tmpdir(), 'pomeloroad-review-'));
  const ports = {
    front: await takePort(ip),
    readiness: await takePort(ip),
    control: await takePort(ip),
    peers: await takePort(ip),
  };
  const settings = join(folder, 'boot.toml');
  writeFileSync(settings, render({ name, zone, zones, ip, ports, storeAddress }));
  const machine = {};
  let child;
  let isExpected = false;

  function start() {
    const [program, ...args] = readCommand();
    const { PATH, HOME } = process.env;
    const env = { PATH, HOME, POMELOROAD_SETTINGS: settings };
    child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    isExpected = false;
    const started = child;
    const lines = [];
    [child.stdout, child.stderr].forEach((stream) => stream.on('data', (data) => lines.push(data)));
    child.on('exit', (code, signal) => {
      if (started === child && isExpected) return;
      const tail = Buffer.concat(lines).toString().slice(-500);
      record({ what: 'process ended by itself', machine: name, code, signal, tail });
    });
    Object.assign(machine, { lines });
  }

  async function isReady() {
    return new Promise((resolve) => {
      const call = http.get(`http://${ip}:${ports.readiness}/v1/readyz`, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.setTimeout(1000, () => call.destroy());
      call.on('error', () => resolve(false));
    });
  }

  Object.assign(machine, {
    name,
    zone,
    ip,
    front: { host: ip, port: ports.front },
    peers: `${ip}:${ports.peers}`,
    start,
    isReady,
    async waitUntilReady() {
      const until = performance.now() + READY_TIMEOUT_MS;
      while (!(await isReady())) {
        if (performance.now() > until) throw new Error(`${name} is not ready`);
        await sleep(100);
      }
    },
    signal(signal) {
      if (signal === 'SIGKILL' || signal === 'SIGTERM') isExpected = true;
      child?.kill(signal);
    },
    /** What the process has logged. */
    getLog: () => Buffer.concat(machine.lines ?? []).toString(),
    stop() {
      isExpected = true;
      child?.kill('SIGKILL');
      rmSync(folder, { recursive: true, force: true });
    },
  });
  return machine;
}

/** A TCP proxy whose path can be cut: connections then stay open and go silent, new ones too. */
export async function startPath(ip, target) {
  let isCut = false;
  const pairs = new Set();
  const [host, port] = target.split(':');

  const server = net.createServer((near) => {
    const pair = { near, far: undefined };
    pairs.add(pair);
    near.on('error', () => near.destroy());
    near.on('close', () => {
      pairs.delete(pair);
      pair.far?.destroy();
    });
    if (isCut) return;
    pair.far = net.connect(Number(port), host);
    pair.far.on('error', () => near.destroy());
    pair.far.on('close', () => {
      if (!pair.isSilent) near.destroy();
    });
    near.pipe(pair.far);
    pair.far.pipe(near);
  });
  await new Promise((resolve) => {
    server.listen(0, ip, resolve);
  });
  return {
    address: `${ip}:${server.address().port}`,
    cut() {
      isCut = true;
      pairs.forEach((pair) => {
        Object.assign(pair, { isSilent: true });
        pair.near.unpipe();
        pair.far?.unpipe();
        pair.near.pause();
        pair.far?.pause();
      });
    },
    // What hung while the path was cut stays silent; new connections work.
    heal() {
      isCut = false;
    },
    stop() {
      server.close();
      pairs.forEach(({ near, far }) => {
        near.destroy();
        far?.destroy();
      });
    },
  };
}
