import { createSystemClock } from '@pomeloroad/core';
import { announceEndpoint } from '../src/announcement';
import type { Announcement } from '../src/announcement';
import { ENDPOINT_TABLE } from '../src/platformWire';
import { startStore } from '../src/storeService';

const DELAY_MS = 300;
const ENTRY = {
  ...{ id: 'endpoint-1', service: 'model', address: '127.0.0.2:1', dataCentre: 'derby' },
  ...{ slots: 16, version: 'v1', born: 1_796_000_000_000 },
};

async function readEntries(store: string): Promise<unknown[]> {
  const answer = await fetch(`http://${store}/v1/rows-get?table=${ENDPOINT_TABLE}&part=`);
  const { rows } = (await answer.json()) as { rows: { value: string }[] };
  return rows.map(({ value }) => JSON.parse(Buffer.from(value, 'base64').toString()) as unknown);
}

test('an entry that comes late is written after its delay and tells when its process started', async () => {
  const clock = createSystemClock();
  const store = await startStore({ clock, address: '127.0.0.1:0', pageRows: 500, seed: 1 });
  const startedAt = clock.elapsed();
  let announcement: Announcement | undefined;
  const listedAt = await new Promise<number>((resolve) => {
    const onListed = () => resolve(clock.elapsed());
    announcement = announceEndpoint(clock, store.address, ENTRY, DELAY_MS, onListed);
  });
  const entries = await readEntries(store.address);
  await announcement?.withdraw();
  store.stop();
  expect(listedAt - startedAt).toBeGreaterThanOrEqual(DELAY_MS);
  expect(entries).toEqual([expect.objectContaining({ born: ENTRY.born, version: 'v1' })]);
});
