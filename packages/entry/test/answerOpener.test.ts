import { createManualClock } from '@pomeloroad/core';
import { createMemoryFleet } from '@pomeloroad/peers';
import { createAnswerStore } from '@pomeloroad/requests';
import { createAnswerOpener } from '../src/answerOpener';
import type { RunRequest } from '../src/runRequest';

const REQUEST = {
  id: 'r',
  name: { account: 'dispatch', key: 'k' },
  digest: 'd',
  isIdempotent: false,
  patience: 10_000,
} as RunRequest;

function setUp() {
  const clock = createManualClock();
  const fleet = createMemoryFleet();
  const started: string[] = [];
  const join = (instance: string) => {
    const network = fleet.join(instance);
    const answers = createAnswerStore(clock, { retention: 60_000, capacityBytes: 1e6 });
    const runner = {
      start(request: RunRequest) {
        started.push(request.id);
        return answers.create(request.id);
      },
    };
    const host = { clock, self: network.self, network, answers, registry: {}, runner };
    return createAnswerOpener(host as never);
  };
  join('issuer');
  const opener = join('other');
  const open = (incarnation = 'issuer-1') => {
    const issuer = { instance: 'issuer', incarnation, dataCentre: 'kent' };
    return opener.open(REQUEST, { account: 'dispatch', issuer });
  };
  return { clock, fleet, started, open };
}

test('a request with an issued key waits for an issuer that falls silent and goes on', async () => {
  const { clock, fleet, started, open } = setUp();
  fleet.silent.add('issuer');
  const opened = open();
  await clock.advance(1500);
  fleet.silent.clear();
  await clock.advance(1500);
  expect(await opened).toMatchObject({ run: 'r' });
  expect(started).toEqual(['r']);
});

test('a request with an issued key waits for an issuer whose connection is lost for a moment', async () => {
  const { clock, fleet, open } = setUp();
  fleet.silent.add('issuer');
  const opened = open();
  await clock.advance(500);
  fleet.cut.add('issuer');
  await clock.advance(1500);
  fleet.cut.clear();
  fleet.silent.clear();
  await clock.advance(1500);
  expect(await opened).toMatchObject({ run: 'r' });
});

test('an issuer that stays silent is given up once the request may not wait longer', async () => {
  const { clock, fleet, open } = setUp();
  fleet.silent.add('issuer');
  const opened = open();
  await clock.advance(REQUEST.patience * 2);
  expect(await opened).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
});

test('an issuer that was replaced is not waited for', async () => {
  const { open } = setUp();
  expect(await open('issuer-0')).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
});
