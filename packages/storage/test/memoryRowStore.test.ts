import { createMemoryRowStore } from '../src';

const KEY = { table: 't', partition: 'p', key: 'a' };

test('a row that is written again after its removal is told as written, and its removal no more', async () => {
  const rows = createMemoryRowStore();
  const put = { ...KEY, value: 'x' };
  await rows.transact({ checks: [], puts: [put], removals: [] });
  await rows.transact({ checks: [], puts: [], removals: [KEY] });
  await rows.transact({ checks: [], puts: [put], removals: [] });
  const { changes } = (await rows.follow('t', 0, 0)).unwrap();
  expect(changes).toEqual([{ ...put, version: 3 }]);
});
