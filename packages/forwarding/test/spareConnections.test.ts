import { Duplex, PassThrough } from 'node:stream';
import { createManualClock } from '@pomeloroad/core';
import { createSpareConnections } from '../src/relays/spareConnections';

const WAY = 'near a';

function createStand() {
  const clock = createManualClock();
  const spares = createSpareConnections(clock);
  const far = new PassThrough();
  const near = Duplex.from({ readable: far, writable: new PassThrough() });
  spares.add(WAY, near);
  return { clock, spares, far, near };
}

const waitTurn = () => new Promise(setImmediate);

test('a spare connection is used once and passes on what arrives', async () => {
  const { spares, far, near } = createStand();
  await waitTurn();
  expect(spares.take('near b')).toBeUndefined();
  expect(spares.take(WAY)).toBe(near);
  expect(spares.take(WAY)).toBeUndefined();
  const arrived: string[] = [];
  near.on('data', (data: Buffer) => arrived.push(data.toString()));
  far.write('one');
  await waitTurn();
  far.write('two');
  await waitTurn();
  expect(arrived).toEqual(['one', 'two']);
});

test('a spare connection that ends, or on which something arrives unasked, is not used', async () => {
  const ended = createStand();
  ended.far.end();
  const written = createStand();
  written.far.write('x');
  await waitTurn();
  await waitTurn();
  expect(ended.spares.take(WAY)).toBeUndefined();
  expect(written.spares.take(WAY)).toBeUndefined();
});

test('a spare connection is closed after a second, and when its way is retired', async () => {
  const { clock, spares, near } = createStand();
  await clock.advance(1000);
  expect(near.destroyed).toBe(true);
  expect(spares.take(WAY)).toBeUndefined();
  const retired = createStand();
  retired.near.emit('retired');
  expect(retired.near.destroyed).toBe(true);
  expect(retired.spares.take(WAY)).toBeUndefined();
});

test('a spare connection that was taken stays open', async () => {
  const { clock, spares, near } = createStand();
  spares.take(WAY);
  await clock.advance(2000);
  expect(near.destroyed).toBe(false);
});
