import { createManualClock, createSilentLog } from '@pomeloroad/core';
import { createArrivalQueue } from '../src';

function setUp() {
  const clock = createManualClock();
  let turns: (() => void)[] = [];
  const queue = createArrivalQueue({
    clock,
    log: createSilentLog(),
    runNextTurn: (callback) => turns.push(callback),
  });
  const handled: string[] = [];
  return {
    clock,
    queue,
    handled,
    add: (name: string) => queue.waitForTurn().then(() => handled.push(name)),
    /** Runs one turn of the event loop that takes the given time. */
    async runTurn(time = 1) {
      const due = turns;
      turns = [];
      due.forEach((callback) => callback());
      await clock.advance(time);
    },
  };
}

test('one request is handled a turn, in the order of arrival', async () => {
  const { handled, add, runTurn } = setUp();
  ['a', 'b', 'c'].forEach(add);
  await runTurn();
  expect(handled).toEqual(['a']);
  await runTurn();
  await runTurn();
  expect(handled).toEqual(['a', 'b', 'c']);
});

test('waiting connections are accepted before the next request is handled', async () => {
  const { queue, handled, add, runTurn } = setUp();
  add('a');
  for (let turn = 0; turn < 5; turn += 1) {
    queue.noteConnection();
    await runTurn();
  }
  expect(handled).toEqual([]);
  await runTurn();
  expect(handled).toEqual(['a']);
});

test('requests are handled also if connections never cease to arrive', async () => {
  const { queue, handled, add, runTurn } = setUp();
  ['a', 'b'].forEach(add);
  for (let turn = 0; turn < 20; turn += 1) {
    queue.noteConnection();
    await runTurn();
  }
  expect(handled).toEqual(['a', 'b']);
});

test('long waits show an overload until none was seen for some seconds', async () => {
  const { clock, queue, add, runTurn } = setUp();
  for (let count = 0; count < 30; count += 1) add(`${count}`);
  expect(queue.isOverloaded()).toBe(false);
  for (let turn = 0; turn < 30; turn += 1) await runTurn(20);
  expect(queue.isOverloaded()).toBe(true);
  add('later');
  await runTurn();
  await clock.advance(1000);
  expect(queue.isOverloaded()).toBe(true);
  await clock.advance(2000);
  expect(queue.isOverloaded()).toBe(false);
});
