import { Err, Ok } from 'ts-results';
import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { encodeSuspect, getSuspectKey } from '../src/suspects/suspectRows';
import type { Suspect } from '../src/suspects/suspectRows';
import { followSuspects } from '../src/suspects/suspectTable';
import { createAnsweredRows } from './answeredRows';
import type { TransactResult } from './answeredRows';

const key = getSuspectKey('part');
const ownVersion = { era: 1, revision: 5 };
const own: Suspect = { crashes: ['a/1'], requests: 1, probes: 1 };
const other: Suspect = { crashes: ['a/1', 'b/1'], requests: 2, probes: 2 };

const createRow = (version: number, suspect: Suspect) => ({
  ...key,
  version,
  value: encodeSuspect(suspect),
});
const createRemoval = (version: number) => ({ ...key, version, value: undefined });

// A table whose row has the version 3; the store's answers and the feed come as the test says.
function createStand() {
  const { rows, feed, transactions, view, tell, answer } = createAnsweredRows();
  const clock = createManualClock();
  const table = followSuspects({
    clock,
    log: createSilentLog(),
    rows,
    feed,
    signal: new AbortController().signal,
    onChange: () => undefined,
    onLost: () => undefined,
  });
  view({ era: 1, revision: 3 }, createRow(3, { ...own, probes: 0 }));
  return {
    clock,
    table,
    transactions,
    view,
    tell,
    answer,
  };
}

const conflict = (...rows: ReturnType<typeof createRow>[]): TransactResult =>
  Err({ kind: 'conflict', era: 1, rows });

test('a written row is known before the feed tells it', async () => {
  const { table, answer } = createStand();
  const updated = table.update(['part'], () => own);
  answer(Ok(ownVersion));
  expect(await updated).toEqual({ kind: 'written', version: 5 });
  expect(table.get('part')).toMatchObject({ ...own, version: 5, isProbe: true });
});

test('a row that was told after the write stays when the answer comes', async () => {
  const { table, tell, answer } = createStand();
  const updated = table.update(['part'], () => own);
  tell(createRow(7, other));
  answer(Ok(ownVersion));
  await updated;
  expect(table.get('part')).toMatchObject({ ...other, version: 7 });
});

test('a row whose removal was told after the write stays removed', async () => {
  const { table, tell, answer } = createStand();
  const updated = table.update(['part'], () => own);
  tell(createRemoval(7));
  answer(Ok(ownVersion));
  await updated;
  expect(table.get('part')).toBeUndefined();
});

test('a row that was told after its removal stays when the answer comes', async () => {
  const { table, tell, answer } = createStand();
  const updated = table.update(['part'], () => 'removed');
  tell(createRow(7, other));
  answer(Ok(ownVersion));
  await updated;
  expect(table.get('part')).toMatchObject({ ...other, version: 7 });
});

test('a write that an older copy of the store has lost does not hide the rows of the copy', async () => {
  const { table, view, tell, answer } = createStand();
  const updated = table.update(['part'], () => own);
  view({ era: 2, revision: 2 }, createRow(2, { ...own, probes: 0 }));
  answer(Ok(ownVersion));
  await updated;
  tell(createRow(4, other));
  expect(table.get('part')).toMatchObject({ ...other, version: 4 });
});

test('a write in an era that the feed has not told is known though its version is lower', async () => {
  const { table, answer } = createStand();
  const updated = table.update(['part'], () => own);
  answer(Ok({ era: 2, revision: 1 }));
  await updated;
  expect(table.get('part')).toMatchObject({ ...own, version: 1 });
});

test('a row of a conflict replaces no row that was told later', async () => {
  const { clock, table, transactions, tell, answer } = createStand();
  const updated = table.update(['part'], () => own);
  tell(createRow(7, other));
  answer(conflict(createRow(6, own)));
  await clock.advance(100);
  expect(table.get('part')).toMatchObject({ ...other, version: 7 });
  expect(transactions[1]?.checks).toEqual([{ ...key, version: 7 }]);
  answer(Ok({ era: 1, revision: 8 }));
  expect(await updated).toEqual({ kind: 'written', version: 8 });
});

test('a row of a conflict that was removed since stays removed', async () => {
  const { clock, table, transactions, tell, answer } = createStand();
  table.update(['part'], () => own);
  tell(createRemoval(7));
  answer(conflict(createRow(6, other)));
  await clock.advance(100);
  expect(table.get('part')).toBeUndefined();
  expect(transactions[1]?.checks).toEqual([{ ...key, version: 0 }]);
});

test('a row that a conflict lacks and that was told since stays', async () => {
  const { clock, table, transactions, tell, answer } = createStand();
  table.update(['part'], () => own);
  tell(createRow(7, other));
  answer(conflict());
  await clock.advance(100);
  expect(table.get('part')).toMatchObject({ ...other, version: 7 });
  expect(transactions[1]?.checks).toEqual([{ ...key, version: 7 }]);
});

test('a conflict tells rows that the feed has not told', async () => {
  const { clock, table, transactions, answer } = createStand();
  table.update(['part'], () => own);
  answer(conflict(createRow(6, other)));
  await clock.advance(100);
  expect(transactions[1]?.checks).toEqual([{ ...key, version: 6 }]);
  answer(conflict());
  await clock.advance(100);
  expect(table.get('part')).toBeUndefined();
  expect(transactions[2]?.checks).toEqual([{ ...key, version: 0 }]);
});

test('a conflict of an era that has ended since tells nothing', async () => {
  const { clock, table, transactions, view, answer } = createStand();
  table.update(['part'], () => own);
  view({ era: 2, revision: 3 }, createRow(3, other));
  answer(conflict());
  await clock.advance(100);
  expect(table.get('part')).toMatchObject({ ...other, version: 3 });
  expect(transactions[1]?.checks).toEqual([{ ...key, version: 3 }]);
});

test('a row that others have left as it is stays when another one of its transaction conflicts', async () => {
  const { clock, table, transactions, answer } = createStand();
  const updated = table.update(['part', 'second'], () => own);
  const second = { ...createRow(4, other), ...getSuspectKey('second') };
  answer(conflict(createRow(3, { ...own, probes: 0 }), second));
  await clock.advance(100);
  expect(table.get('part')).toMatchObject({ version: 3 });
  expect(transactions[1]?.checks).toEqual([
    { ...key, version: 3 },
    { ...getSuspectKey('second'), version: 4 },
  ]);
  answer(Ok(ownVersion));
  expect(await updated).toEqual({ kind: 'written', version: 5 });
});
