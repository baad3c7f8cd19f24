import fc from 'fast-check';
import { createEventSplitter, createRepeatFilter, createResumePoint } from '../src';
import type { ResumePoint } from '../src';

/** From which event on an endpoint serves that is asked for the events after an id. */
type Start = 'as asked' | 'from the start' | 'after the repeated event' | 'one event earlier';

/** One attempt on a stream: where it starts, how much of it arrives, and in pieces of what size. */
interface Attempt {
  start: Start;
  share: number;
  size: number;
}

const STARTS: Start[] = [
  'as asked',
  'from the start',
  'after the repeated event',
  'one event earlier',
];

const attempts = fc.array(
  fc.record({
    start: fc.constantFrom(...STARTS),
    share: fc.double({ min: 0, max: 1, noNaN: true }),
    size: fc.integer({ min: 1, max: 60 }),
  }),
  { minLength: 1, maxLength: 6 },
);

/** Ids that are counted up from some number, by one or with gaps. */
const countedIds = fc
  .tuple(
    fc.oneof(fc.bigInt(0n, 3n), fc.bigInt(0n, 10n ** 20n)),
    fc.array(fc.oneof(fc.constant(1n), fc.bigInt(1n, 40n)), { minLength: 1, maxLength: 12 }),
  )
  .map(([first, steps]) => {
    let id = first;
    return steps.map((step) => {
      id += step;
      return id - 1n;
    });
  });

/** Comments before each event, and after the last one. */
const comments = fc.array(fc.constantFrom('', '', ': c\n\n', '\n'), {
  minLength: 13,
  maxLength: 13,
});

function findStart(ids: bigint[], start: Start, { after, repeated }: ResumePoint): number {
  const asked = after === undefined ? 0 : ids.filter((id) => id <= BigInt(after)).length;
  if (start === 'from the start') return 0;
  if (start === 'one event earlier') return Math.max(0, asked - 1);
  const passed = repeated === undefined ? 0 : ids.filter((id) => id <= BigInt(repeated)).length;
  return start === 'as asked' ? asked : passed;
}

// Returns what the caller gets of a stream that each attempt goes on with where the one before broke off.
function relay(ids: bigint[], blanks: string[], series: Attempt[]) {
  const write = (id: bigint, index: number) => `${blanks[index]}id: ${id}\ndata: d${id}\n\n`;
  let body = '';
  let count = 0;
  let lastEventId: string | undefined;
  for (const { start, share, size } of series) {
    const point = createResumePoint(lastEventId);
    const splitter = createEventSplitter();
    const repeats = createRepeatFilter(point.repeated);
    const from = findStart(ids, start, point);
    const text = ids.map(write).slice(from).join('');
    const arrived = text.slice(0, Math.ceil(share * text.length));
    for (let at = 0; at < arrived.length; at += size) {
      const events = splitter.push(Buffer.from(arrived.slice(at, at + size)));
      const news = events && repeats.filter(events);
      body += news?.data.toString() ?? '';
      count += news?.count ?? 0;
      lastEventId = news?.lastId ?? lastEventId;
    }
  }
  return { ids: [...body.matchAll(/^data: d(\d+)$/gm)].map(([, id]) => BigInt(id!)), count };
}

test('whatever attempts a stream of counted ids is split over, no event comes twice, is left out or out of order', () => {
  fc.assert(
    fc.property(countedIds, comments, attempts, (ids, blanks, series) => {
      const passed = relay(ids, blanks, series);
      expect(passed.ids).toEqual(ids.slice(0, passed.ids.length));
      expect(passed.count).toBe(passed.ids.length);
    }),
    { numRuns: 5000 },
  );
});

test('a stream of counted ids is whole once an attempt has brought its end', () => {
  const last: Attempt = { start: 'as asked', share: 1, size: 7 };
  fc.assert(
    fc.property(countedIds, comments, attempts, (ids, blanks, series) => {
      expect(relay(ids, blanks, [...series, last]).ids).toEqual(ids);
    }),
    { numRuns: 2000 },
  );
});
