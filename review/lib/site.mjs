// A small deployment for scripts: routes, services and a tenant, and the programs that serve them.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- off in the house rules of TypeScript too */
/* eslint-disable import-x/extensions -- Node.js finds modules by their whole names */
import { createAddresses, createMachine, startPath } from './instances.mjs';
import { createCaller } from './callers.mjs';
import { startStore } from './store.mjs';

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';
export const ZONES = ['tacoma', 'everett', 'kent', 'bellingham'];
export const STRIDE = 7;
export const ENGINES = 'huvo11a';
export const BOARD = 'wuno96b';

const COMMON = { host: HOST, public: false, priority: 0, gap_target_ms: 300 };

/** Returns a config with a resumable stream, one that may run once, and two plain routes. */
export function createConfig({ version = 7, prepaid = 1_000_000_000 } = {}) {
  const stream = {
    ...COMMON,
    route_kind: 'streaming',
    timeout_ms: 12_000,
    slo_ms: 600,
    sticky: true,
  };
  const plain = { ...COMMON, service: BOARD, timeout_ms: 4000, slo_ms: 400, sticky: false };
  return {
    version,
    routes: [
      {
        ...stream,
        name: 'r-1',
        prefix: '/lohu930/',
        service: ENGINES,
        attempts: 2,
        resumable: true,
      },
      {
        ...stream,
        name: 'r-2',
        prefix: '/pufi791/',
        service: ENGINES,
        attempts: 1,
        resumable: false,
      },
      { ...plain, name: 'r-3', prefix: '/puxa403/', route_kind: 'non_idempotent', attempts: 1 },
      { ...plain, name: 'r-4', prefix: '/cufi504/', route_kind: 'idempotent', attempts: 2 },
    ],
    services: [
      {
        name: ENGINES,
        health_path: '/healthz',
        max_conns: 370,
        protocol: 'h1',
        engine: { stride: STRIDE },
      },
      { name: BOARD, health_path: '/healthz', max_conns: 110, protocol: 'h1' },
    ],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
      ...{ header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1, prepaid }],
  };
}

/**
 * Starts a store with the config, and one machine in each zone. The machines of `zonesWithPath` reach the
 * store through a path of their own, which can be cut.
 */
export async function startSite({ record, defer, config, zones = ZONES, zonesWithPath = [] }) {
  const nextIp = createAddresses();
  const store = await startStore(nextIp());
  defer(store.stop);
  store.write('op', 'config', config);
  const paths = new Map();
  const machines = [];
  for (const zone of zones) {
    let storeAddress = store.address;
    if (zonesWithPath.includes(zone)) {
      const path = await startPath(nextIp(), store.address);
      defer(path.stop);
      paths.set(zone, path);
      storeAddress = path.address;
    }
    const place = { name: `edge-${zone}-1`, zone, zones, ip: nextIp() };
    const machine = await createMachine({ ...place, storeAddress, record });
    defer(machine.stop);
    machines.push(machine);
  }
  const caller = createCaller({ host: HOST, record });
  defer(caller.stop);
  return { nextIp, store, paths, machines, caller };
}

/** Starts all machines and waits until they are ready. */
export async function startMachines(machines) {
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));
}
