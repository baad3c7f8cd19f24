import { createManualClock, createRandom } from '@pomeloroad/core';
import {
  chooseService,
  createEventSplitter,
  createRetryBudget,
  createRouteTable,
  placeStream,
} from '../src';
import type { Route } from '../src';

test('only complete events are returned for any chunk size', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda';
  for (let size = 1; size <= text.length; size += 1) {
    const splitter = createEventSplitter();
    let passed = '';
    let count = 0;
    let last: string | undefined;
    for (let start = 0; start < text.length; start += size) {
      const events = splitter.push(Buffer.from(text.slice(start, start + size)));
      passed += events?.data.toString() ?? '';
      count += events?.count ?? 0;
      last = events?.lastId ?? last;
    }
    expect({ passed, count, last }).toEqual({ passed: text.slice(0, 30), count: 2, last: '2' });
    expect(splitter.hasPartialEvent()).toBe(true);
  }
});

test('retries stay within the share of one instance', async () => {
  const clock = createManualClock();
  const allowance = { window: 10_000, ratio: 0.2, extra: 40 };
  const budget = createRetryBudget(
    clock,
    () => allowance,
    () => 8,
  );
  const takeAll = () => {
    let taken = 0;
    while (budget.take('llm')) taken += 1;
    return taken;
  };
  expect(takeAll()).toBeLessThanOrEqual(5);
  for (let count = 0; count < 100; count += 1) budget.countRequest('llm');
  expect(takeAll()).toBeLessThanOrEqual(20);
  await clock.advance(9000);
  expect(takeAll()).toBe(0);
  await clock.advance(3000);
  expect(takeAll()).toBeGreaterThan(0);
});

test('a retry that is given back makes room for one, and forgets none that is newer', async () => {
  const clock = createManualClock();
  const allowance = { window: 10_000, ratio: 0, extra: 2.5 };
  const budget = createRetryBudget(
    clock,
    () => allowance,
    () => 1,
  );
  budget.giveBack('llm');
  expect(budget.take('llm')).toBe(true);
  await clock.advance(5000);
  expect([budget.take('llm'), budget.take('llm')]).toEqual([true, false]);
  budget.giveBack('llm');
  expect([budget.take('llm'), budget.take('llm')]).toEqual([true, false]);
  await clock.advance(8000);
  expect(budget.take('llm')).toBe(false);
});

function route(prefix: string, changes: Partial<Route> = {}): Route {
  return {
    name: prefix,
    host: 'a.example',
    prefix,
    kind: 'idempotent',
    isResumable: false,
    attempts: 1,
    timeout: 1000,
    objective: 100,
    priority: 0,
    isPublic: false,
    targets: [{ service: 's', weight: 1 }],
    ...changes,
  };
}

function createTable(routes: Route[]) {
  const limits = { bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  return createRouteTable({ version: 1, routes, services: [], accounts: [], limits });
}

test('the route with the longest matching prefix is found', () => {
  const table = createTable([route('/a/'), route('/a/b/'), route('/c/', { host: 'b.example' })]);
  const find = (host: string, path: string) => table.findRoute(host, path)?.prefix;
  expect(find('a.example', '/a/b/c/d')).toBe('/a/b/');
  expect(find('a.example', '/a/b')).toBe('/a/');
  expect(find('A.example:80', '/a/x?y=/a/b/')).toBe('/a/');
  expect(find('a.example', '/c/x')).toBeUndefined();
  expect(find('a.example', '/')).toBeUndefined();
  expect(find('a.example', '*')).toBeUndefined();
});

test('services are chosen in proportion to their weights', () => {
  const random = createRandom(3);
  const targets = [
    { service: 'new', weight: 10 },
    { service: 'old', weight: 90 },
  ];
  const chosen = Array.from({ length: 1000 }, () => chooseService(route('/', { targets }), random));
  const share = chosen.filter((service) => service === 'new').length / chosen.length;
  expect(share).toBeGreaterThan(0.05);
  expect(share).toBeLessThan(0.15);
});

test('streams are placed in proportion to the weights, and those of one name together', () => {
  const targets = [
    { service: 'new', weight: 10 },
    { service: 'old', weight: 90 },
  ];
  const split = route('/', { targets });
  const names = Array.from({ length: 1000 }, (_, index) => `attempt-${index}`);
  const placed = names.map((name) => placeStream(split, name));
  expect(names.map((name) => placeStream(split, name))).toEqual(placed);
  const share = placed.filter((service) => service === 'new').length / placed.length;
  expect(share).toBeGreaterThan(0.05);
  expect(share).toBeLessThan(0.15);
});
