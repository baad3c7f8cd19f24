import { checkFile, createKey, ExitCode, formatTable, hashKey } from '../src';

test('a fault is reported with its file, line and column', () => {
  const result = checkFile('fleet.yaml', 'pools:\n  - model: M');
  expect(result.status).toBe(ExitCode.invalid);
  expect(result.text).toMatch(/^fleet.yaml:2:12: pools\[0\].model: expected/);
});

test('a valid file is reported with the number of its pools', () => {
  const result = checkFile('fleet.yaml', 'pools:\n  - model: m');
  expect(result).toMatchObject({ status: ExitCode.success });
  expect(result.text).toContain('1 pools');
});

test('a new key comes with the hash of its secret', () => {
  const { secret, hash } = createKey().data as { secret: string; hash: string };
  expect(hashKey(secret).data).toEqual({ hash });
});

test('a table without rows is printed as (none)', () => {
  expect(formatTable(['a'], [])).toBe('(none)');
  expect(formatTable(['a', 'b'], [['x', 1]])).toMatch(/a +b.*\n.*x +1/);
});
