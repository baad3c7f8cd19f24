import { createRandom } from '../src';
import { createJoinedPieces } from '../src/joinedPieces';

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);
const PIECES = 300;
const PIECE_MAX_BYTES = 6000;
const BYTES = 1_000_000;
/** Far below what a Buffer of its own for each byte takes. */
const MEMORY_MAX_BYTES = 8 * BYTES;

test.each(SEEDS)('pieces of all sizes are joined in their order: seed %d', (seed) => {
  const random = createRandom(seed);
  const largest = seed % 2 === 0 ? PIECE_MAX_BYTES : 3;
  const pieces = Array.from({ length: PIECES }, (_, index) =>
    Buffer.alloc(random.integer(0, largest), index % 251),
  );
  const joined = createJoinedPieces();
  pieces.forEach(joined.add);
  expect(joined.join().equals(Buffer.concat(pieces))).toBe(true);
});

test('nothing is joined to nothing', () => {
  expect(createJoinedPieces().join()).toHaveLength(0);
});

test('pieces of one byte take about as much memory as they hold', () => {
  const joined = createJoinedPieces();
  const measure = () => process.memoryUsage().heapUsed + process.memoryUsage().external;
  const before = measure();
  const piece = Buffer.from('x');
  for (let count = 0; count < BYTES; count += 1) joined.add(piece);
  expect(measure() - before).toBeLessThan(MEMORY_MAX_BYTES);
  expect(joined.join()).toHaveLength(BYTES);
});
