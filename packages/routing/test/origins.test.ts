import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import type { Endpoint } from '@pomeloroad/configuration';
import { createAdmission, createEndpoints } from '../src';
import type { RouteRequest, Slot } from '../src';

const SLOTS = 2;

function createEndpoint(name: string, version: string): Endpoint {
  return {
    kind: 'service',
    name,
    service: 'llm',
    address: '10.0.0.1:1',
    dataCentre: 'kent',
    concurrency: SLOTS,
    leaving: false,
    checksFencing: false,
    version,
  };
}

// Two endpoints of one version among six of another.
function setUp() {
  const clock = createManualClock();
  const endpoints = createEndpoints({ clock, log: createSilentLog() });
  const old = ['a1', 'a2'].map((name) => createEndpoint(name, 'v1'));
  const others = Array.from({ length: 6 }, (_, index) => createEndpoint(`b${index}`, 'v2'));
  endpoints.configure([...old, ...others]);
  const admission = createAdmission(
    {
      clock,
      random: createRandom(5),
      dataCentre: 'kent',
      endpoints,
      getPolicy: () => ({ kind: 'least-in-flight' }),
      getAccount: () => undefined,
    },
    100,
  );
  return { clock, admission };
}

function request(version?: string, changes: Partial<RouteRequest> = {}): RouteRequest {
  const origin = version === undefined ? undefined : { version };
  const target = { kind: 'service', service: 'llm', origin } as const;
  return { target, account: 'a', priority: 1, patience: 10_000, excluded: new Set(), ...changes };
}

async function fill(
  { admission }: ReturnType<typeof setUp>,
  count: number,
  version?: string,
): Promise<Slot[]> {
  const slots = Array.from({ length: count }, () => admission.acquire(request(version)));
  return (await Promise.all(slots)).map((slot) => slot.unwrap());
}

test('a stream that goes on is not refused for new ones that wait', async () => {
  const setup = setUp();
  await fill(setup, 8 * SLOTS);
  for (let count = 0; count < 12; count += 1) setup.admission.acquire(request());
  const patience = 1500;
  setup.admission.acquire(request('v1', { patience }));
  await setup.clock.advance(0);
  expect(setup.admission.waiting()).toBe(13);
});

test('a free slot goes to a stream that goes on before new ones', async () => {
  const setup = setUp();
  const slots = await fill(setup, 8 * SLOTS);
  const served: string[] = [];
  const wait = (name: string, version?: string) =>
    setup.admission.acquire(request(version, { account: name })).then(() => served.push(name));
  const waiting = [wait('new'), wait('taken up', 'v1')];
  await setup.clock.advance(0);
  slots.find(({ endpoint }) => endpoint.name === 'a1')?.release('ok');
  await setup.clock.advance(0);
  slots.find(({ endpoint }) => endpoint.name === 'a2')?.release('ok');
  await Promise.all(waiting);
  expect(served).toEqual(['taken up', 'new']);
});

test('streams that wait for one version delay no new one that another serves', async () => {
  const setup = setUp();
  await fill(setup, 2 * SLOTS, 'v1');
  for (let count = 0; count < 12; count += 1) setup.admission.acquire(request('v1'));
  const slot = await setup.admission.acquire(request(undefined, { patience: 100 }));
  expect(slot.unwrap().endpoint).toMatchObject({ version: 'v2' });
});

test('a stream that goes on at one version is not refused for those of another', async () => {
  const setup = setUp();
  await fill(setup, 2 * SLOTS, 'v1');
  for (let count = 0; count < 12; count += 1) setup.admission.acquire(request('v1'));
  const slot = await setup.admission.acquire(request('v2', { patience: 100 }));
  expect(slot.unwrap().endpoint).toMatchObject({ version: 'v2' });
});

// New streams come at twice the rate that the endpoints serve; a crash brings back streams of one version.
test('under overload, streams of a version that few serve go on as often as new ones begin', async () => {
  const setup = setUp();
  const { clock, admission } = setup;
  const serviceTime = 1000;
  const patience = 600;
  const shares = { begun: { asked: 0, served: 0 }, takenUp: { asked: 0, served: 0 } };
  async function send(share: { asked: number; served: number }, version?: string): Promise<void> {
    const count = share;
    count.asked += 1;
    const slot = await admission.acquire(request(version, { patience }));
    if (slot.err) return;
    count.served += 1;
    clock.after(serviceTime, () => slot.val.release('ok'));
  }
  for (let time = 0; time < 20_000; time += 31) {
    send(shares.begun);
    if (time > 5000 && time % 620 === 0) send(shares.takenUp, 'v1');
    await clock.advance(31);
  }
  const { begun, takenUp } = shares;
  expect(takenUp.asked).toBeGreaterThanOrEqual(12);
  expect(takenUp.served / takenUp.asked).toBeGreaterThanOrEqual(begun.served / begun.asked);
});

test('streams that go on take no slots from an account that has fewer', async () => {
  const setup = setUp();
  const slots = await fill(setup, 8 * SLOTS);
  const served: string[] = [];
  const wait = (account: string, version?: string) =>
    setup.admission.acquire(request(version, { account })).then(() => served.push(account));
  wait('a', 'v1');
  wait('modest');
  await setup.clock.advance(0);
  slots.find(({ endpoint }) => endpoint.name === 'a1')?.release('ok');
  await setup.clock.advance(0);
  expect(served).toEqual(['modest']);
});
