import { createMetrics } from '../src';

test('metrics render in the text exposition format', () => {
  const metrics = createMetrics();
  metrics.counter('things_total', 'Things.').add(2, { kind: 'a"b' });
  metrics.gauge('level', 'Level.', () => 7);
  const histogram = metrics.histogram('took_milliseconds', 'Time.');
  [1, 2, 3, 100].forEach((value) => histogram.record(value));
  expect(metrics.render().split('\n')).toEqual(
    expect.arrayContaining([
      '# TYPE things_total counter',
      'things_total{kind="a\\"b"} 2',
      'level 7',
      'took_milliseconds_sum 106',
      'took_milliseconds_count 4',
    ]),
  );
  expect(histogram.percentile(50)).toBeCloseTo(2, 1);
});
