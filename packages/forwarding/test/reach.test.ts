import { createManualClock } from '@pomeloroad/core';
import { createReach } from '../src/relays/reach';

// The first endpoints are dead, and the others accept connections.
function setUp(dead: number, alive: number) {
  const addresses = Array.from({ length: dead + alive }, (_, index) => `10.0.0.${index}:80`);
  const tried: string[] = [];
  const reach = createReach({
    clock: createManualClock(),
    random: { fraction: () => 0, integer: (least) => least },
    signal: new AbortController().signal,
    listAddresses: () => addresses,
    async connect(address) {
      tried.push(address);
      await Promise.resolve();
      if (addresses.indexOf(address) >= dead) reach.noteOpened();
      else reach.noteFailed(address);
    },
    onChange: () => undefined,
  });
  return { reach, addresses, tried };
}

test('a refusal is believed where many endpoints died together', async () => {
  const { reach, addresses } = setUp(7, 5);
  expect(await reach.confirm(addresses[0]!)).toBe(true);
});

test('a refusal is not believed where no endpoint is reached', async () => {
  const { reach, addresses } = setUp(12, 0);
  expect(await reach.confirm(addresses[0]!)).toBe(false);
});

test('a refusal by the only endpoint is believed', async () => {
  const { reach, addresses } = setUp(1, 0);
  expect(await reach.confirm(addresses[0]!)).toBe(true);
});

test('refusals at the same time are confirmed together', async () => {
  const { reach, addresses, tried } = setUp(0, 12);
  const confirming = Array.from({ length: 20 }, () => reach.confirm(addresses[0]!));
  expect(new Set(await Promise.all(confirming))).toEqual(new Set([true]));
  expect(tried.length).toBeLessThanOrEqual(16);
});
