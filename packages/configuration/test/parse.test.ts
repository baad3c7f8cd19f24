import { diffConfigurations, intersectConfigurations, parseConfiguration } from '../src';
import type { Configuration } from '../src';

const HASH = 'ab'.repeat(32);

const VALID = `
accounts:
  - name: dispatch
    budgets: [routes, 'van-*']
    keys:
      - { name: first, hash: ${HASH}, budget: van-7 }
pools:
  - model: planner
services:
  - name: boards
endpoints:
  - { name: e1, kind: engine, dataCentre: kent, address: 10.0.0.1:9000, models: [planner] }
  - { name: b1, kind: service, dataCentre: kent, address: 10.0.0.2:9000, service: boards }
`;

function formatFaults(text: string): string[] {
  const parsed = parseConfiguration(text);
  if (parsed.ok) return [];
  return parsed.val.map((fault) => `${fault.line}:${fault.column} ${fault.path}: ${fault.message}`);
}

test('a valid file gets its defaults', () => {
  const parsed = parseConfiguration(VALID).unwrap();
  expect(parsed.pools[0]).toEqual({
    model: 'planner',
    policy: { kind: 'least-in-flight' },
    templateTokens: 16,
    defaultOutputTokens: 512,
    maxOutputTokens: 8192,
  });
  expect(parsed.endpoints[0]).toMatchObject({ concurrency: 16, leaving: false });
});

test('an empty file is a valid configuration without any parts', () => {
  expect(parseConfiguration('').unwrap()).toMatchObject({ accounts: [], endpoints: [] });
});

test.each([
  ['accounts: [', '1:12 : Flow sequence in block collection must be'],
  ['acounts: []', '1:10 acounts: unknown setting "acounts"'],
  [
    'accounts:\n  - name: Dispatch\n    budgets: [a]',
    '2:11 accounts[0].name: expected 1 to 63 of a-z',
  ],
  ['pools:\n  - {}', '2:5 pools[0].model: '],
  [
    'endpoints:\n  - { name: e, kind: engine, dataCentre: k, address: 10.0.0.1:1, models: [m] }',
    '2:75 endpoints[0].models[0]: there is no pool with model "m"',
  ],
  [
    'endpoints:\n  - { name: e, kind: engine, dataCentre: k, address: host:1, models: [m] }',
    '2:54 endpoints[0].address: expected an IP number and a port',
  ],
  [
    `accounts:\n  - name: a\n    budgets: [b]\n    keys: [{ name: k, hash: ${HASH}, budget: c }]`,
    '4:103 accounts[0].keys[0].budget: account has no budget "c"',
  ],
  ['pools:\n  - model: m\n  - model: m', '3:12 pools[1].model: model "m" is used before'],
  ['pools:\n  - model: m\n    maxOutputTokens: 5', 'defaultOutputTokens: expected at most'],
])('a fault has the position and path of its value: %j', (text, expected) => {
  expect(formatFaults(text).join('\n')).toContain(expected);
});

test('all faults are reported at once', () => {
  expect(formatFaults('pools:\n  - model: A\n    policy: { kind: best }\n  - {}')).toHaveLength(3);
});

function edit(from: string, to: string): Configuration {
  return parseConfiguration(VALID.replace(from, to)).unwrap();
}

const valid = edit('', '');

test('diff lists what is added, removed and changed', () => {
  const next = edit('- name: boards', '- name: boards\n  - name: crews');
  const [, ...endpoints] = next.endpoints;
  const accounts = next.accounts.map((account) => ({ ...account, weight: 5 }));
  expect(diffConfigurations(valid, { ...next, endpoints, accounts })).toEqual([
    { kind: 'changed', path: 'accounts/dispatch' },
    { kind: 'added', path: 'services/crews' },
    { kind: 'removed', path: 'endpoints/e1' },
  ]);
});

test.each([
  [
    'a key',
    '- { name: first',
    '- { name: other',
    { accounts: [{ keys: valid.accounts[0]?.keys }] },
  ],
  ['a leaving endpoint', 'models: [planner]', 'models: [planner], leaving: true', {}],
  ['a lower limit', '- model: planner', '- model: planner\n    maxOutputTokens: 600', {}],
])('intersection does not depend on the order of the versions: %s', (_name, from, to, expected) => {
  const next = edit(from, to);
  const both = intersectConfigurations(valid, next);
  expect(intersectConfigurations(next, valid).endpoints).toEqual(both.endpoints);
  expect(both).toMatchObject(expected);
});

test('intersection keeps only what both allow', () => {
  const next = edit('models: [planner]', 'models: [planner], leaving: true');
  const both = intersectConfigurations(valid, { ...next, services: [], accounts: [] });
  expect(both.endpoints[0]).toMatchObject({ leaving: true });
  expect(both.services).toEqual([]);
  expect(both.accounts).toEqual([]);
});
