import { Err, Ok } from 'ts-results';
import { createManualClock } from '@pomeloroad/core';
import { createReconciler } from '../src/reconciler';

const RECORD = { account: 'a', key: 'k', digest: 'd', request: 'r', budget: 'b', tokens: 5 };

// Polls twice; the segment's name is listed, but the segment itself is answered for only at the
// second poll. Returns the requests that were credited back.
async function pollTwice(firstAnswer: 'missing' | 'unavailable'): Promise<string[]> {
  const credited: string[] = [];
  const down = { kind: 'unavailable' as const, ran: 'no' as const, message: 'down' };
  const first = firstAnswer === 'missing' ? Ok(undefined) : Err(down);
  const answers = [first, Ok(JSON.stringify({ ...RECORD, isProvisional: true }))];
  let lists = 0;
  const host = {
    clock: createManualClock(),
    self: { instance: 'one', dataCentre: 'kent', incarnation: 'i' },
    getLocalInstances: () => ['one'],
    objects: {
      list: async () => {
        lists += 1;
        return Ok(lists % 2 === 1 ? ['usage/segment'] : []);
      },
      get: async () => answers.shift() ?? Err(down),
    },
    registry: { isFleetComplete: () => true, confirm: async () => false },
    ledger: {
      credit: async (_budget: string, request: string) => {
        credited.push(request);
        return Ok.EMPTY;
      },
    },
  };
  const reconciler = createReconciler(host as never);
  await reconciler.poll();
  await reconciler.poll();
  return credited;
}

test('a listed segment that is missing at first is not taken for an empty one', async () => {
  expect(await pollTwice('missing')).toEqual(['r']);
});

test('a segment that could not be read is read again', async () => {
  expect(await pollTwice('unavailable')).toEqual(['r']);
});
