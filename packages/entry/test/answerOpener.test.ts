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

const CONTINUATION: RunRequest = { ...REQUEST, isContinuation: true };

function setUp() {
  const clock = createManualClock();
  const fleet = createMemoryFleet();
  const started: string[] = [];
  const withdrawn: string[] = [];
  const registry = {
    begin: async () => ({ kind: 'run' }),
    recordFinish: (_name: unknown, request: string) => withdrawn.push(request),
  };
  const join = (instance: string) => {
    const network = fleet.join(instance);
    const answers = createAnswerStore(clock, { retention: 60_000, capacityBytes: 1e6 });
    const runner = {
      start(request: RunRequest) {
        started.push(request.id);
        return answers.create(request.id);
      },
    };
    const host = { clock, self: network.self, network, answers, registry, runner };
    return createAnswerOpener(host as never);
  };
  join('issuer');
  const opener = join('other');
  const open = (incarnation = 'issuer-1', request = REQUEST) => {
    const issuer = { instance: 'issuer', incarnation, dataCentre: 'kent' };
    return opener.open(request, { account: 'dispatch', issuer });
  };
  return { clock, fleet, started, withdrawn, opener, open };
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

test('the rest of an answer is not taken from a run that begins for it', async () => {
  const { started, withdrawn, opener } = setUp();
  const opened = await opener.open(CONTINUATION, undefined);
  expect(opened).toMatchObject({ code: 'outcome_unknown', ran: 'unknown' });
  expect(started).toEqual([]);
  expect(withdrawn).toEqual(['r']);
});

test('the rest of an answer is not taken from a run that begins under an issued key', async () => {
  const { started, open } = setUp();
  expect(await open('issuer-1', CONTINUATION)).toMatchObject({ code: 'outcome_unknown' });
  expect(started).toEqual([]);
});

test('the rest of an answer is read from the run that its issuer began', async () => {
  const { started, open } = setUp();
  await open();
  expect(await open('issuer-1', { ...CONTINUATION, id: 's' })).toMatchObject({ run: 'r' });
  expect(started).toEqual(['r']);
});
