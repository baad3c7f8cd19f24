import { checkFile, createKey, ExitCode, formatTable, hashKey } from '../src';

test('a fault is shown with file, line and column', () => {
  const result = checkFile('fleet.yaml', 'pools:\n  - model: M');
  expect(result.status).toBe(ExitCode.invalid);
  expect(result.text).toMatch(/^fleet.yaml:2:12: pools\[0\].model: expected/);
});

test('a valid file is counted', () => {
  const result = checkFile('fleet.yaml', 'pools:\n  - model: m');
  expect(result).toMatchObject({ status: ExitCode.success });
  expect(result.text).toContain('1 pools');
});

test('a new key goes with its hash', () => {
  const { secret, hash } = createKey().data as { secret: string; hash: string };
  expect(hashKey(secret).data).toEqual({ hash });
});

test('an empty table says so', () => {
  expect(formatTable(['a'], [])).toBe('(none)');
  expect(formatTable(['a', 'b'], [['x', 1]])).toMatch(/a +b.*\n.*x +1/);
});
