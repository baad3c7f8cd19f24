import type { ForwardRequest } from '../src';
import { forwardTo } from './answerStand';

const STREAMING = {
  route: {
    name: 'digest',
    kind: 'streaming',
    isResumable: true,
    attempts: 2,
    objective: 200,
    targets: [],
  },
} as unknown as Partial<ForwardRequest<unknown>>;

test('an answer whose end is doubted is sent rather than the server error of the next endpoint', async () => {
  const { answered, calls } = await forwardTo([
    { end: 'whole', state: 'leaving' },
    { end: 'whole', framing: 'length', status: 500 },
  ]);
  expect(calls).toEqual(['answer']);
  expect(answered).toMatchObject({ status: 200 });
});

test('a stream is not broken off because the endpoint before it gave a doubted answer', async () => {
  const { answered, calls, releases } = await forwardTo(
    [{ end: 'whole', status: 404, state: 'leaving' }, { events: [200, 200, 200, 200] }],
    STREAMING,
  );
  expect(releases).not.toContain('silent');
  expect(calls).toEqual(['begin', 'end']);
  expect(answered).toMatchObject({ code: 5006, events: 4 });
});

test('an endpoint does not count as silent because its caller has waited long enough for a second answer', async () => {
  const { calls, releases } = await forwardTo(
    [
      { end: 'whole', state: 'leaving' },
      { end: 'whole', pause: 1500 },
    ],
    { route: { ...STREAMING.route!, kind: 'idempotent' } as never },
  );
  expect(calls).toEqual(['answer']);
  expect(releases).not.toContain('silent');
});
