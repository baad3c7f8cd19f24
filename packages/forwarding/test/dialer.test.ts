import { Duplex } from 'node:stream';
import { Err, Ok } from 'ts-results';
import { createManualClock, createRandom, sleep } from '@pomeloroad/core';
import type { ConnectError, LogFields, Milliseconds } from '@pomeloroad/core';
import type { TunnelError } from '@pomeloroad/peers';
import { createMetrics } from '@pomeloroad/telemetry';
import { createForwardMetrics } from '../src';
import type { EndpointRecord } from '../src';
import { createDialer } from '../src/relays/dialer';

const LINK_MS: Milliseconds = 4;
const SLOW_MS: Milliseconds = 300;
const ENDPOINTS = ['a', 'b', 'c'].map((id): EndpointRecord => createEndpoint(id));

function createEndpoint(id: string): EndpointRecord {
  const place = { service: 'llm', dataCentre: 'kent', address: `${id}:80` };
  return { id, born: 1, sequence: 1, isLeaving: false, concurrency: 4, ...place };
}

type OwnFault = ConnectError['kind'] | 'slow';

interface StandOptions {
  /** What each relay answers. */
  relays?: Record<string, TunnelError | 'opens' | 'silent'>;
}

// A dialer over paths that fail as told, in simulated time.
function createStand({ relays = { near: 'opens' } }: StandOptions = {}) {
  const clock = createManualClock();
  const faults = new Map<string, OwnFault>();
  const steps: string[] = [];
  const lines: LogFields[] = [];
  const open: Duplex[] = [];
  const reachChanges: boolean[] = [];
  const cutOff = new Set<string>();

  function createConnection(): Duplex {
    const connection = new Duplex({ read: () => undefined });
    open.push(connection);
    return connection;
  }

  const dialer = createDialer({
    clock,
    random: createRandom(1),
    signal: new AbortController().signal,
    log: (event, fields) => lines.push({ code: event.code, ...fields }),
    metrics: createForwardMetrics(createMetrics()),
    dataCentre: 'kent',
    async connect(address, timeout) {
      steps.push(`own ${address}`);
      const fault = faults.get(address) ?? faults.get('all');
      const isLate = fault === 'late' || (fault === 'slow' && timeout < SLOW_MS);
      const opensAfter = fault === 'slow' ? SLOW_MS : LINK_MS;
      await sleep(clock, isLate ? timeout : opensAfter);
      if (isLate) return Err({ kind: 'late', message: 'timed out' });
      if (fault && fault !== 'slow') return Err({ kind: fault, message: fault });
      return Ok(createConnection());
    },
    async openTunnel({ address }, endpoint, timeout) {
      steps.push(`${address} ${endpoint}`);
      const answer = relays[address] ?? 'unreachable';
      await sleep(clock, answer === 'silent' ? timeout : LINK_MS);
      if (answer === 'opens') return Ok(createConnection());
      return Err(answer === 'silent' ? 'unreachable' : answer);
    },
    listEndpoints: () => ENDPOINTS,
    listRelays: () =>
      Object.keys(relays).map((instance) => ({
        instance,
        dataCentre: instance === 'far' ? 'tacoma' : 'kent',
        address: instance,
        secret: 's',
        isCutOff: cutOff.has(instance),
      })),
    onReachChange: (isLost) => reachChanges.push(isLost),
  });

  // Dials, and returns the outcome and the time that it took.
  async function dial(address: string) {
    const startedAt = clock.elapsed();
    let result = 'pending';
    let took: Milliseconds = 0;
    dialer.dial(address).then((dialed) => {
      result = dialed.ok ? 'opened' : dialed.val.kind;
      took = clock.elapsed() - startedAt;
    });
    while (result === 'pending') await clock.advance(1);
    return { result, took };
  }

  return { clock, faults, steps, lines, open, reachChanges, cutOff, dialer, dial };
}

test('a sound path asks no relay', async () => {
  const { steps, dial } = createStand();
  expect(await dial('a:80')).toEqual({ result: 'opened', took: LINK_MS });
  expect(steps).toEqual(['own a:80']);
});

test('a refused connection is opened through a relay at once, and relays come first from then on', async () => {
  const { faults, steps, lines, dialer, dial } = createStand();
  faults.set('a:80', 'refused');
  expect((await dial('a:80')).took).toBeLessThanOrEqual(3 * LINK_MS);
  expect(dialer.listCut()).toEqual(['a:80']);
  expect(lines).toMatchObject([{ code: 7011, address: 'a:80', endpoint: 'a', relay: 'near' }]);
  steps.length = 0;
  expect((await dial('a:80')).result).toBe('opened');
  expect(steps).toEqual(['near a']);
});

test('a connection that hangs is opened through a relay within 200 ms', async () => {
  const { clock, faults, dialer, dial } = createStand();
  faults.set('a:80', 'late');
  const { result, took } = await dial('a:80');
  expect(result).toBe('opened');
  expect(took).toBeLessThanOrEqual(200);
  await clock.advance(500);
  expect(dialer.listCut()).toEqual(['a:80']);
});

test('a path that is only slow is not cut', async () => {
  const { clock, faults, open, dialer, dial } = createStand();
  faults.set('a:80', 'slow');
  expect((await dial('a:80')).result).toBe('opened');
  await clock.advance(500);
  expect(dialer.listCut()).toEqual([]);
  expect(open.filter(({ destroyed }) => !destroyed)).toHaveLength(1);
});

test('an endpoint that nobody reaches is refused, and relays are not asked again for a while', async () => {
  const { clock, faults, steps, dialer, dial } = createStand({ relays: { near: 'refused' } });
  faults.set('a:80', 'refused');
  expect((await dial('a:80')).result).toBe('refused');
  expect(dialer.listCut()).toEqual([]);
  steps.length = 0;
  expect((await dial('a:80')).result).toBe('refused');
  expect(steps).toEqual(['own a:80']);
  await clock.advance(2500);
  expect((await dial('a:80')).result).toBe('refused');
  expect(steps).toContain('near a');
});

test('a refusal does not tell of the endpoint where relays have no path either', async () => {
  const { faults, dial } = createStand({ relays: { near: 'no-path', far: 'no-path' } });
  faults.set('a:80', 'refused');
  expect((await dial('a:80')).result).toBe('failed');
});

test('all ways have failed within half a second', async () => {
  const { faults, dial } = createStand({
    relays: { near: 'silent', other: 'silent', far: 'silent' },
  });
  faults.set('all', 'late');
  expect((await dial('a:80')).took).toBeLessThanOrEqual(500);
});

test('a relay that is silent is passed over for the next one', async () => {
  const { clock, faults, dial } = createStand({ relays: { near: 'silent', far: 'opens' } });
  faults.set('all', 'refused');
  const { result, took } = await dial('a:80');
  expect(result).toBe('opened');
  expect(took).toBeLessThanOrEqual(200);
  // Once its timeout has passed it is asked last.
  await clock.advance(300);
  expect((await dial('b:80')).took).toBeLessThanOrEqual(3 * LINK_MS);
});

test('a path that works again is found without a request and used', async () => {
  const { clock, faults, steps, lines, dialer, dial } = createStand();
  faults.set('a:80', 'refused');
  await dial('a:80');
  faults.clear();
  await clock.advance(1100);
  await dial('a:80');
  await clock.advance(2 * LINK_MS);
  expect(dialer.listCut()).toEqual([]);
  expect(lines.map(({ code }) => code)).toEqual([7011, 7012]);
  steps.length = 0;
  await dial('a:80');
  expect(steps).toEqual(['own a:80']);
});

test('a silent endpoint whose path hangs has all paths tried, and idle connections retired', async () => {
  const { clock, faults, steps, open, dialer, dial } = createStand();
  await dial('a:80');
  await dial('b:80');
  const retired: string[] = [];
  open.forEach((connection, index) => connection.on('retired', () => retired.push(`${index}`)));
  faults.set('all', 'late');
  steps.length = 0;
  dialer.check('a:80');
  await clock.advance(1000);
  expect(steps).toEqual(['own a:80', 'own b:80', 'own c:80']);
  expect(retired).toEqual(['0', '1']);
  expect((await dial('c:80')).took).toBeLessThanOrEqual(2 * LINK_MS);
});

test('a silent endpoint that accepts connections is not cut', async () => {
  const { clock, steps, dialer, dial } = createStand();
  dialer.check('a:80');
  await clock.advance(1000);
  expect(steps).toEqual(['own a:80']);
  steps.length = 0;
  await dial('a:80');
  expect(steps).toEqual(['own a:80']);
});

test('a relay without a path of its own carries nothing', async () => {
  const { clock, faults, steps, dialer, dial } = createStand();
  faults.set('all', 'refused');
  await dial('a:80');
  steps.length = 0;
  const opening = dialer.openForPeer('a');
  await clock.advance(1000);
  expect((await opening).val).toBe('no-path');
  expect(steps).toEqual([]);
});

test('a relay tells a dead endpoint from a path of its own that is gone', async () => {
  const { clock, faults, dialer } = createStand();
  faults.set('a:80', 'refused');
  const dead = dialer.openForPeer('a');
  await clock.advance(1000);
  expect((await dead).val).toBe('refused');
  faults.set('all', 'refused');
  await clock.advance(3000);
  const cut = dialer.openForPeer('b');
  await clock.advance(1000);
  expect((await cut).val).toBe('no-path');
  expect((await dialer.openForPeer('unknown')).val).toBe('unknown-endpoint');
});

test('a relay that lost its path a moment ago does not take endpoints for dead', async () => {
  const { clock, faults, dialer, dial } = createStand();
  await dial('b:80');
  faults.set('all', 'refused');
  const opening = dialer.openForPeer('a');
  await clock.advance(1000);
  expect((await opening).val).toBe('no-path');
});

test('connections through a relay that is gone are retired', async () => {
  const { faults, open, dialer, dial } = createStand();
  faults.set('a:80', 'refused');
  await dial('a:80');
  const retired: unknown[] = [];
  open.forEach((connection) => connection.on('retired', () => retired.push(connection)));
  dialer.retireRelay('near');
  expect(retired).toHaveLength(1);
});

test('a cut path is relayed again at once after relays were too busy to answer', async () => {
  const relays: StandOptions['relays'] = { near: 'opens' };
  const { clock, faults, dial } = createStand({ relays });
  faults.set('a:80', 'refused');
  expect((await dial('a:80')).result).toBe('opened');
  relays.near = 'silent';
  expect((await dial('a:80')).result).not.toBe('opened');
  relays.near = 'opens';
  await clock.advance(100);
  expect((await dial('a:80')).result).toBe('opened');
});

test('relays that reach no endpoint themselves are not asked while another one does', async () => {
  const cut = ['p', 'q', 'r', 's', 't', 'u'];
  const answers = cut.map((name) => [name, 'no-path' as const]);
  const { faults, steps, cutOff, dial } = createStand({
    relays: { ...Object.fromEntries(answers), near: 'opens' },
  });
  cut.forEach((name) => cutOff.add(name));
  faults.set('all', 'refused');
  for (const id of ['a', 'b', 'c']) expect((await dial(`${id}:80`)).result).toBe('opened');
  expect(steps.filter((step) => !step.startsWith('own'))).toEqual(['near a', 'near b', 'near c']);
});

test('relays are asked though all are said to reach no endpoint', async () => {
  const { faults, cutOff, dial } = createStand();
  cutOff.add('near');
  faults.set('all', 'refused');
  expect((await dial('a:80')).result).toBe('opened');
});

test('an instance that reaches no endpoint tells it, until it reaches one without a request', async () => {
  const { clock, faults, reachChanges, dial } = createStand();
  faults.set('all', 'refused');
  for (const id of ['a', 'b', 'c']) await dial(`${id}:80`);
  await clock.advance(200);
  expect(reachChanges).toEqual([true]);
  faults.clear();
  await clock.advance(1500);
  expect(reachChanges).toEqual([true, false]);
});

test('an instance that reaches one endpoint of several is not cut off', async () => {
  const { clock, faults, reachChanges, dial } = createStand();
  faults.set('a:80', 'refused');
  faults.set('b:80', 'refused');
  for (const id of ['a', 'b', 'a', 'b']) await dial(`${id}:80`);
  await clock.advance(3000);
  expect(reachChanges).toEqual([]);
});
