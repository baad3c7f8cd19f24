import { Ok } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import { createMemoryObjects, createMemoryTable } from '@pomeloroad/storage';
import type { Table } from '@pomeloroad/storage';
import { auditLedger, createLedger, LedgerPrefix, USAGE_SEGMENT_PREFIX } from '../src';
import type { Grant } from '../src';

const BUDGET = 'dispatch/routes';
const SPENT = 30;

// A ledger with an open grant, whose spent tokens no stored record covers.
async function createSpentGrant() {
  const table = createMemoryTable();
  const ledger = createLedger({ clock: createManualClock(), table });
  const holder = { instance: 'a', incarnation: '1', dataCentre: 'kent' };
  const empty = { size: 0, spent: 0, sequence: 0, writtenOff: 0 };
  const grant: Grant = {
    id: 'kent/g',
    version: 0,
    row: { budget: BUDGET, holder, state: 'open', ...empty },
  };
  await ledger.topUp(BUDGET, 'one', 100);
  const opened = (await ledger.resize(grant, () => 80, false)).unwrap();
  const settled = (await ledger.settle(opened, SPENT, 1)).unwrap();
  return { table, ledger, grant: settled };
}

test('a bill of which a record is not listed is not whole', async () => {
  const { table } = await createSpentGrant();
  const audit = (await auditLedger(table, createMemoryObjects())).unwrap();
  expect(audit.records).toEqual([]);
  const message = '0 records stored of 1';
  expect(audit.faults).toContainEqual({ key: 'grant/kent/g', message, subject: 'records' });
});

test('the records of a grant that is closed during the audit are on the bill', async () => {
  const { table, ledger, grant } = await createSpentGrant();
  const objects = createMemoryObjects();
  const record = { grant: grant.id, ordinal: 1, request: 'r', budget: BUDGET, tokens: SPENT };
  await objects.put(`${USAGE_SEGMENT_PREFIX}2026-12-04/kent/a/1`, JSON.stringify(record));
  const closing: Table = {
    ...table,
    async scan(prefix) {
      if (prefix === LedgerPrefix.grant) await ledger.close(grant, SPENT, 1);
      return table.scan(prefix);
    },
  };
  const audit = (await auditLedger(closing, objects)).unwrap();
  expect(audit.records).toMatchObject([{ request: 'r' }]);
  expect(audit.faults).toEqual([]);
});

test('a listed usage segment that is not found is no empty one', async () => {
  const name = `${USAGE_SEGMENT_PREFIX}2026-12-04/kent/a/1`;
  const objects = { ...createMemoryObjects(), list: async () => Ok([name]) };
  const audit = await auditLedger(createMemoryTable(), objects);
  expect(audit.val).toEqual({ message: `the usage segment ${name} is missing` });
});
