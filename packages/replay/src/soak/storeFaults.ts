import type { Milliseconds } from '@pomeloroad/core';
import { match } from 'ts-pattern';
import { pause } from '../pause';
import type { StoreFaultName } from './faults';
import { callStandIn } from './standInCalls';

const SLOW_STORE_MS: Milliseconds = 400;
const LOST_ANSWER_SHARE = 0.5;

/** Plays a fault of the store at the address; resolves when it is over. */
export async function disturbStore(
  store: string,
  name: StoreFaultName,
  length: Milliseconds,
): Promise<void> {
  if (name === 'rewound') {
    await callStore(store, 'copy');
    await pause(length);
    await callStore(store, 'rewind');
    return;
  }
  const faults = match(name)
    .with('down', () => ({ isDown: true }))
    .with('slow', () => ({ latency: SLOW_STORE_MS }))
    .with('lost-answers', () => ({ lostAnswerShare: LOST_ANSWER_SHARE }))
    .with('stalled-feed', () => ({ isFeedStalled: true }))
    .exhaustive();
  await callStore(store, 'faults', faults);
  await pause(length);
  const none = { isDown: false, latency: 0, lostAnswerShare: 0, isFeedStalled: false };
  await callStore(store, 'faults', none);
}

function callStore(store: string, call: string, body: object = {}): Promise<void> {
  return callStandIn(store, `/standin/${call}`, body);
}
