import { Ok } from 'ts-results';
import { createMemoryObjects, createMemoryTable } from '@pomeloroad/storage';
import { auditLedger, USAGE_SEGMENT_PREFIX } from '../src';

test('a listed usage segment that is not found is no empty one', async () => {
  const name = `${USAGE_SEGMENT_PREFIX}2026-12-04/kent/a/1`;
  const objects = { ...createMemoryObjects(), list: async () => Ok([name]) };
  const audit = await auditLedger(createMemoryTable(), objects);
  expect(audit.val).toEqual({ message: `the usage segment ${name} is missing` });
});
