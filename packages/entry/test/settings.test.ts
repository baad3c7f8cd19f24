import { parseSettings } from '../src';

const required = {
  instance: 'a',
  'data-centre': 'kent',
  'table-url': 'http://127.0.0.1:1',
  'objects-url': 'http://127.0.0.1:2',
  'membership-url': 'http://127.0.0.1:3',
  'fleet-key': 'a-secret-of-the-fleet',
  'operator-key': 'a-secret-of-operators',
};

test('settings that are not given have their default values', () => {
  const settings = parseSettings(required, {}).unwrap();
  expect(settings).toMatchObject({ callersAddress: '127.0.0.1:8080', budgetPatience: 5000 });
});

test('a flag takes precedence over the environment', () => {
  const environment = { POMELOROAD_BODY_LIMIT: '5', POMELOROAD_ANSWER_LIMIT: '6' };
  const settings = parseSettings({ ...required, 'body-limit': '7' }, environment).unwrap();
  expect([settings.bodyLimit, settings.answerLimit]).toEqual([7, 6]);
});

test('all faults are reported together, each with its flag', () => {
  const flags = { ...required, instance: 'A B', 'body-limit': 'many', 'tls-cert': '/nowhere' };
  const rest = { ...flags, 'fleet-key': undefined };
  const faults = parseSettings(rest, {}).val;
  expect(faults).toEqual([
    { flag: '--instance', message: 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"' },
    { flag: '--fleet-key', message: 'is required' },
    { flag: '--tls-cert', message: 'file is not readable' },
    { flag: '--body-limit', message: 'expected a whole number' },
  ]);
});
