import { forwardTo } from './answerStand';

test('an answer whose end is doubted is sent rather than the server error of the next endpoint', async () => {
  const { answered, calls } = await forwardTo([
    { end: 'whole', state: 'leaving' },
    { end: 'whole', framing: 'length', status: 500 },
  ]);
  expect(calls).toEqual(['answer']);
  expect(answered).toMatchObject({ status: 200 });
});
