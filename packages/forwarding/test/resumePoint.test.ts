import { createEventSplitter, createRepeatFilter, createResumePoint } from '../src';

test.each([
  [undefined, { after: undefined, repeated: undefined }],
  ['0', { after: undefined, repeated: '0' }],
  ['1', { after: undefined, repeated: '1' }],
  ['2', { after: '1', repeated: '2' }],
  ['100', { after: '99', repeated: '100' }],
  // Ids of another form don't tell which one was before them.
  ['a7', { after: 'a7', repeated: undefined }],
  ['', { after: '', repeated: undefined }],
])('a stream is asked for from the event before %s on', (last, point) => {
  expect(createResumePoint(last)).toEqual(point);
});

// Filters a stream that arrives in pieces of `size`; the caller has the event `repeated`.
function filter(text: string, size: number, repeated?: string) {
  const splitter = createEventSplitter();
  const repeats = createRepeatFilter(repeated);
  let passed = '';
  let count = 0;
  for (let start = 0; start < text.length; start += size) {
    const events = splitter.push(Buffer.from(text.slice(start, start + size), 'latin1'));
    const news = events && repeats.filter(events);
    passed += news?.data.toString('latin1') ?? '';
    count += news?.count ?? 0;
  }
  return { passed, count, hasRepeated: repeats.hasRepeated() };
}

const event = (id: number) => `id: ${id}\ndata: \xff${id}\n\n`;

test.each<[string, string, string | undefined, string, boolean]>([
  ['all of a stream that has nothing to repeat', event(1) + event(2), undefined, 'all', false],
  [
    'what follows the repeated event',
    event(2) + event(3) + event(4),
    '2',
    event(3) + event(4),
    true,
  ],
  ['nothing if only that one comes', event(2), '2', '', true],
  ['what follows although the event is left out', event(3), '2', event(3), false],
  ['what follows a stream from its start', [1, 2, 3].map(event).join(''), '2', event(3), true],
  [
    'comments after the repeated event',
    `: c\n\n${event(2)}: d\n\n${event(3)}: e\n\n${event(4)}`,
    '2',
    `${event(3)}: e\n\n${event(4)}`,
    true,
  ],
])('a stream that goes on brings %s', (_name, text, repeated, expected, hasRepeated) => {
  const passed = expected === 'all' ? text : expected;
  const count = passed.split('id: ').length - 1;
  for (let size = 1; size <= text.length; size += 1) {
    expect(filter(text, size, repeated)).toEqual({ passed, count, hasRepeated });
  }
});
