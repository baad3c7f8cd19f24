import { createManualClock, createRandom, createSilentLog } from '@pomeloroad/core';
import { parseConfiguration } from '@pomeloroad/configuration';
import type { Endpoint, RoutingPolicy } from '@pomeloroad/configuration';
import { chooseEndpoint, createAdmission, createEndpoints } from '../src';
import type { RouteRequest, Slot } from '../src';

function setUp(policy: RoutingPolicy = { kind: 'least-in-flight' }, concurrency = 2) {
  const clock = createManualClock();
  const random = createRandom(5);
  const endpoint = (name: string, site: string, port: number) =>
    `  - { name: ${name}, kind: engine, dataCentre: ${site}, address: 10.0.0.1:${port},` +
    ` models: [m], concurrency: ${concurrency} }\n`;
  const file = `pools: [{ model: m }]\nendpoints:\n${endpoint('k1', 'kent', 1)}${endpoint(
    'k2',
    'kent',
    2,
  )}${endpoint('t1', 'tacoma', 3)}`;
  const configuration = parseConfiguration(file).unwrap();
  const failures: string[] = [];
  const endpoints = createEndpoints({
    clock,
    log: createSilentLog(),
    onFailure: (name, result) => failures.push(`${name} ${result}`),
  });
  endpoints.configure(configuration.endpoints);
  const admission = createAdmission(
    {
      clock,
      random,
      dataCentre: 'kent',
      endpoints,
      getPolicy: () => policy,
      getAccount: () => undefined,
    },
    100,
  );
  return { clock, endpoints, admission, random, failures };
}

function request(changes: Partial<RouteRequest> = {}): RouteRequest {
  const target = { kind: 'engine', model: 'm' } as const;
  return { target, account: 'a', priority: 1, patience: 10_000, excluded: new Set(), ...changes };
}

test('local endpoints fill before others', async () => {
  const { admission } = setUp();
  const slots: Slot[] = [];
  for (let count = 0; count < 6; count += 1) {
    slots.push((await admission.acquire(request())).unwrap());
  }
  const sites = slots.map((slot) => slot.endpoint.dataCentre);
  expect(sites).toEqual(['kent', 'kent', 'kent', 'kent', 'tacoma', 'tacoma']);
});

test('a leaving endpoint gets no new requests', async () => {
  const { admission, endpoints } = setUp();
  endpoints.report('k1', { running: 0, queued: 0, state: 'leaving' });
  endpoints.setLeaving(new Set(['t1']));
  const names = [];
  for (let count = 0; count < 2; count += 1) {
    names.push((await admission.acquire(request())).unwrap().endpoint.name);
  }
  expect(names).toEqual(['k2', 'k2']);
});

test('a target that no endpoint serves is reported at once', async () => {
  const { admission } = setUp();
  const target = { kind: 'engine', model: 'none' } as const;
  expect((await admission.acquire(request({ target }))).val).toEqual({ kind: 'none' });
});

async function fill({ admission }: ReturnType<typeof setUp>): Promise<Slot[]> {
  const slots = Array.from({ length: 6 }, () => admission.acquire(request()));
  return (await Promise.all(slots)).map((slot) => slot.unwrap());
}

test('a request whose estimated wait exceeds its patience is refused at once', async () => {
  const setup = setUp();
  await fill(setup);
  const outcome = await setup.admission.acquire(request({ patience: 1 }));
  expect(outcome.val).toMatchObject({ kind: 'busy' });
});

test('requests are served by priority, then by the fewest running requests of the account', async () => {
  const setup = setUp();
  const [slot, other, third] = await fill(setup);
  const served: string[] = [];
  const wait = (account: string, priority: number) =>
    setup.admission.acquire(request({ account, priority })).then(() => served.push(account));
  const waiting = [wait('a', 1), wait('b', 1), wait('urgent', 2)];
  await setup.clock.advance(0);
  slot?.release('ok');
  other?.release('ok');
  third?.release('ok');
  await Promise.all(waiting);
  expect(served).toEqual(['urgent', 'b', 'a']);
});

test('a request that waits longer than its patience is refused', async () => {
  const setup = setUp();
  await fill(setup);
  const waiting = setup.admission.acquire(request({ patience: 5000 }));
  await setup.clock.advance(6000);
  expect((await waiting).val).toMatchObject({ kind: 'busy' });
  expect(setup.admission.waiting()).toBe(0);
});

test('a failing endpoint is a last resort', async () => {
  const { admission, endpoints } = setUp();
  ['k1', 'k2'].forEach((name) => {
    for (let failure = 0; failure < 2; failure += 1) {
      endpoints.take(name);
      endpoints.release(name, 'failed');
    }
  });
  expect((await admission.acquire(request())).unwrap().endpoint.name).toBe('t1');
});

test.each<RoutingPolicy['kind']>(['round-robin', 'random-two', 'least-in-flight'])(
  'policy spreads requests: %s',
  (kind) => {
    const { endpoints, random } = setUp();
    const seen = new Set<string>();
    for (let turn = 0; turn < 50; turn += 1) {
      const view = chooseEndpoint({ kind }, endpoints.list(), { random, turn });
      seen.add(view.endpoint.name);
    }
    expect(seen.size).toBe(3);
  },
);

test('an endpoint that stays silent with requests in flight is a last resort', async () => {
  const { admission, clock } = setUp();
  const first = (await admission.acquire(request())).unwrap();
  await clock.advance(700);
  const second = (await admission.acquire(request())).unwrap();
  expect(second.endpoint.name).not.toBe(first.endpoint.name);
  first.recordActivity();
  first.release('ok');
  second.release('ok');
});

test('an endpoint that fell silent twice is avoided until it sends again', async () => {
  const { admission, endpoints } = setUp();
  const acquire = async () => (await admission.acquire(request())).unwrap();
  const slot = await acquire();
  const { name } = slot.endpoint;
  const others = new Set(['k1', 'k2', 't1'].filter((other) => other !== name));
  const again = (await admission.acquire(request({ excluded: others }))).unwrap();
  const isFailing = () => endpoints.list().find((view) => view.endpoint.name === name)?.isFailing;
  slot.release('silent');
  expect(isFailing()).toBe(false);
  again.release('silent');
  expect(isFailing()).toBe(true);
  again.recordActivity();
  expect(isFailing()).toBe(false);
});

test('a slot released as unused tells nothing of its endpoint', async () => {
  const { admission, endpoints } = setUp();
  const slots = [];
  for (let count = 0; count < 2; count += 1) {
    slots.push((await admission.acquire(request({ excluded: new Set(['k2', 't1']) }))).unwrap());
  }
  const describe = () => JSON.stringify(endpoints.list());
  slots[0]!.release('failed');
  slots[1]!.release('unused');
  expect(describe()).not.toContain('"isFailing":true');
  const next = (await admission.acquire(request({ excluded: new Set(['k2', 't1']) }))).unwrap();
  // Had the unused slot counted as a success, this would be the first failure.
  next.release('failed');
  expect(describe()).toContain('"isFailing":true');
});

test('an unreachable endpoint is avoided at once and tried again later', async () => {
  const { admission, clock } = setUp();
  const first = (await admission.acquire(request())).unwrap();
  first.release('unreachable');
  const { name } = first.endpoint;
  const chosen = async () => {
    const slot = (await admission.acquire(request())).unwrap();
    slot.release('ok');
    return slot.endpoint.name;
  };
  const early = [await chosen(), await chosen(), await chosen(), await chosen()];
  expect(early).not.toContain(name);
  await clock.advance(2100);
  const late = [];
  for (let count = 0; count < 20; count += 1) late.push(await chosen());
  expect(late).toContain(name);
});

test('requests with a shared prompt part go to one endpoint within a bound on its load', () => {
  const { endpoints, random } = setUp({ kind: 'prefix-affinity' }, 100);
  const prefix = [
    { id: 'shared', tokens: 500 },
    { id: 'own', tokens: 10 },
  ];
  const choose = (turn: number) => {
    const view = chooseEndpoint({ kind: 'prefix-affinity' }, endpoints.list(), {
      random,
      turn,
      prefix,
    });
    endpoints.take(view.endpoint.name);
    return view.endpoint.name;
  };
  const names = Array.from({ length: 30 }, (_, turn) => choose(turn));
  expect(new Set(names.slice(0, 2)).size).toBe(1);
  const most = Math.max(...endpoints.list().map((view) => view.inFlight));
  expect(most).toBeLessThan(18);
});

test('a data centre whose endpoints are unreachable is avoided as a whole', async () => {
  const { admission, clock } = setUp({ kind: 'least-in-flight' }, 4);
  const slots = [];
  for (let count = 0; count < 8; count += 1)
    slots.push((await admission.acquire(request())).unwrap());
  slots.forEach((slot) => slot.release('unreachable'));
  const next = (await admission.acquire(request())).unwrap();
  expect(next.endpoint.dataCentre).toBe('tacoma');
  await clock.advance(10_000);
  const later = (await admission.acquire(request())).unwrap();
  expect(later.endpoint.dataCentre).toBe('kent');
});

test('while all endpoints are unreachable, one request probes each and others are refused at once', async () => {
  const { admission } = setUp({ kind: 'least-in-flight' }, 4);
  const slots = [];
  for (let count = 0; count < 12; count += 1) {
    slots.push((await admission.acquire(request())).unwrap());
  }
  slots.forEach((slot) => slot.release('unreachable'));
  const outcomes = await Promise.all(Array.from({ length: 6 }, () => admission.acquire(request())));
  expect(outcomes.filter((outcome) => outcome.ok)).toHaveLength(3);
  expect(outcomes.filter((outcome) => outcome.err).map((outcome) => outcome.val)).toEqual([
    { kind: 'unreachable' },
    { kind: 'unreachable' },
    { kind: 'unreachable' },
  ]);
});

test('a request whose only endpoints stay silent is not refused', async () => {
  const { admission, clock } = setUp();
  const slots = [];
  for (let count = 0; count < 3; count += 1) {
    slots.push((await admission.acquire(request())).unwrap());
  }
  await clock.advance(60_000);
  const next = await admission.acquire(request());
  expect(next.ok).toBe(true);
});

test('requests that wait for one target delay none for another', async () => {
  const { admission, endpoints } = setUp();
  const board: Endpoint = {
    kind: 'service',
    name: 'b1',
    service: 'board',
    address: '10.0.0.1:4',
    dataCentre: 'kent',
    concurrency: 2,
    leaving: false,
    checksFencing: false,
  };
  endpoints.configure([...endpoints.list().map((view) => view.endpoint), board]);
  for (let count = 0; count < 6; count += 1) (await admission.acquire(request())).unwrap();
  admission.acquire(request());
  const target = { kind: 'service', service: 'board' } as const;
  const slot = await admission.acquire(request({ target, patience: 1 }));
  expect(slot.unwrap().endpoint.name).toBe('b1');
});

test('each failure of an endpoint is told, its silence is not', () => {
  const { endpoints, failures } = setUp();
  (['failed', 'ok', 'silent', 'unused', 'unreachable', 'failed'] as const).forEach((result) => {
    endpoints.take('k1');
    endpoints.release('k1', result);
  });
  expect(failures).toEqual(['k1 failed', 'k1 unreachable', 'k1 failed']);
});

test('an endpoint fails after two failures, until it answers', () => {
  const { endpoints } = setUp();
  const fail = (result: 'failed' | 'ok') => {
    endpoints.take('k1');
    endpoints.release('k1', result);
    return endpoints.isFailing('k1');
  };
  expect([fail('failed'), fail('failed'), fail('ok')]).toEqual([false, true, false]);
  expect(endpoints.isFailing('unknown')).toBe(false);
});

test('an endpoint in the place of another one counts its requests, and waits as it wanted', async () => {
  const { clock, endpoints, admission } = setUp();
  const { endpoint } = endpoints.list()[0]!;
  const only = new Set([endpoint.name, 'next', 'last']);
  const slots = [
    await admission.acquire(request({ only })),
    await admission.acquire(request({ only })),
  ];
  endpoints.pause(endpoint.name, clock.elapsed() + 1000);
  endpoints.passOn(endpoint.name, 'next');
  endpoints.configure([{ ...endpoint, name: 'next' }]);
  endpoints.passOn('next', 'last');
  endpoints.configure([{ ...endpoint, name: 'last' }]);
  expect(endpoints.list()).toMatchObject([{ inFlight: 2, pausedFor: 1000 }]);
  slots.forEach((slot) => slot.unwrap().release('failed'));
  expect(endpoints.list()).toMatchObject([{ inFlight: 0, isFailing: false }]);
});

test('an endpoint that can not be reached twice, the second time under a new entry, is one', async () => {
  const { endpoints } = setUp();
  const [first, second] = endpoints.list().map(({ endpoint }) => endpoint);
  endpoints.release('k1', 'unreachable');
  endpoints.passOn('k1', 'next');
  endpoints.configure([{ ...first!, name: 'next' }, second!]);
  endpoints.release('next', 'unreachable');
  const unreachable = endpoints.list().filter(({ isUnreachable }) => isUnreachable);
  expect(unreachable.map(({ endpoint }) => endpoint.name)).toEqual(['next']);
});
