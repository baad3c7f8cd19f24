import { createManualClock, createMemoryAccount } from '../src';
import type { ManualClock, MemoryAccount, MemoryShare } from '../src';

const KB = 1024;
const LIMIT = 1000 * KB;
/** Above it those that hold much are read one after another. */
const PRESSURE = 500 * KB;
const SMALL = 64 * KB;
const STALL_MS = 3000;

interface TestHolder {
  share: MemoryShare;
  resumed: number;
  isRefused: boolean;
}

let clock: ManualClock;
let account: MemoryAccount;

beforeEach(() => {
  clock = createManualClock();
  account = createMemoryAccount({ clock, limit: LIMIT });
});

function open(bytes: number, mayRefuse = true): TestHolder {
  const state = { resumed: 0, isRefused: false };
  const share = account.open({
    resume: () => {
      state.resumed += 1;
    },
    isBringing: () => mayRefuse,
    mayRefuse: () => mayRefuse,
    refuse: () => {
      state.isRefused = true;
    },
  });
  share.hold(bytes);
  return Object.assign(state, { share });
}

test('a lone holder is read up to the limit', () => {
  const holder = open(LIMIT);
  expect(holder.share.mayRead()).toBe(true);
  expect(holder.isRefused).toBe(false);
});

test('under pressure only the first of those that hold much is read, and all that hold little', () => {
  const first = open(PRESSURE);
  const second = open(SMALL + 1);
  const small = open(SMALL);
  expect([first, second, small].map(({ share }) => share.mayRead())).toEqual([true, false, true]);
});

test('the next one is read on when the first one has ended', () => {
  const first = open(300 * KB);
  const second = open(SMALL + 1);
  const third = open(SMALL + 1);
  open(400 * KB, false);
  expect(second.share.mayRead() || third.share.mayRead()).toBe(false);
  first.share.close();
  expect([second.resumed, third.resumed]).toEqual([1, 0]);
});

test('all are read on when the pressure has ended', () => {
  const first = open(PRESSURE);
  const others = [open(SMALL + 1), open(SMALL + 1)];
  expect(others.map(({ share }) => share.mayRead())).toEqual([false, false]);
  first.share.hold(-PRESSURE);
  expect(others.map(({ resumed }) => resumed)).toEqual([1, 1]);
});

test('one that is read under pressure and brings nothing is refused, then the next one', async () => {
  const first = open(PRESSURE);
  const second = open(PRESSURE - KB);
  expect(second.share.mayRead()).toBe(false);
  await clock.advance(STALL_MS);
  expect([first.isRefused, second.isRefused, second.resumed]).toEqual([true, false, 1]);
});

test('one that trickles under pressure is refused', async () => {
  const first = open(PRESSURE);
  const second = open(PRESSURE - KB);
  second.share.mayRead();
  await clock.advance(STALL_MS - 1);
  first.share.hold(1);
  await clock.advance(1);
  expect(first.isRefused).toBe(true);
});

test('one that goes on under pressure is not refused', async () => {
  const first = open(PRESSURE);
  const second = open(SMALL + 1);
  second.share.mayRead();
  first.share.hold(SMALL);
  await clock.advance(STALL_MS);
  expect(first.isRefused).toBe(false);
});

test('above the limit the one that holds most is refused', () => {
  const small = open(400 * KB);
  const largest = open(500 * KB);
  const latest = open(200 * KB);
  expect([small, largest, latest].map(({ isRefused }) => isRefused)).toEqual([false, true, false]);
  expect(account.held()).toBe(600 * KB);
  expect(account.refusals()).toEqual({ refused: 1, bytes: 500 * KB });
});

test('what is at work is not refused, so that the latest one is', () => {
  const atWork = open(900 * KB, false);
  const latest = open(200 * KB);
  expect([atWork.isRefused, latest.isRefused]).toEqual([false, true]);
});

test('many that hold little are refused above the limit too', () => {
  const holders = Array.from({ length: 17 }, () => open(60 * KB));
  expect(holders.filter(({ isRefused }) => isRefused)).toHaveLength(1);
  expect(account.held()).toBeLessThanOrEqual(LIMIT);
});

test('a holder that has closed holds nothing, whatever it adds', () => {
  const holder = open(PRESSURE);
  holder.share.close();
  holder.share.hold(KB);
  holder.share.close();
  expect(account.held()).toBe(0);
});
