import fc from 'fast-check';
import type { ForwardHost } from '../src/forwardTypes';
import { createRun, getSpentTokens, setService } from '../src/run';
import type { Caller, ForwardRequest, ForwardService } from '../src/types';

const COST = { input: 1100, output: 1400 };

// A run at a service, beside a configuration that may change.
function startRun(...services: ForwardService[]) {
  let configured = services;
  const findService = (name: string) => configured.find((service) => service.name === name);
  const host = { findService } as unknown as ForwardHost<unknown>;
  const request = { service: 'llm', cost: COST } as unknown as ForwardRequest<unknown>;
  const run = createRun(host, request, {} as Caller);
  run.isAnswered = true;
  return {
    run,
    configure(...next: ForwardService[]) {
      configured = next;
    },
  };
}

test('a run costs the same though its service is dropped while it runs', () => {
  const { run, configure } = startRun({ name: 'llm', tokensPerEvent: 7 });
  run.events = 150;
  configure({ name: 'other', tokensPerEvent: 1 });
  expect(getSpentTokens(run)).toBe(COST.input + 150 * 7);
});

test('a run costs the same though its service comes back with smaller events', () => {
  const { run, configure } = startRun({ name: 'llm', tokensPerEvent: 7 });
  run.events = 150;
  configure();
  configure({ name: 'llm', tokensPerEvent: 1 });
  expect(getSpentTokens(run)).toBe(COST.input + 150 * 7);
});

test('a stream taken up is counted by the service at which it began', () => {
  const { run } = startRun(
    { name: 'llm', tokensPerEvent: 1 },
    { name: 'other', tokensPerEvent: 7 },
  );
  setService(run, 'other');
  run.events = 150;
  expect(getSpentTokens(run)).toBe(COST.input + 150 * 7);
});

test('a stream taken up at a service that is dropped costs its whole output', () => {
  const { run } = startRun({ name: 'llm', tokensPerEvent: 1 });
  setService(run, 'gone');
  expect(getSpentTokens(run)).toBe(COST.input);
  run.events = 1;
  expect(getSpentTokens(run)).toBe(COST.input + COST.output);
});

test('whatever configurations come, a run costs what its events may hold', () => {
  const strides = fc.option(fc.integer({ min: 1, max: 9 }), { nil: undefined });
  fc.assert(
    fc.property(fc.array(strides), fc.nat(300), (versions, events) => {
      const { run, configure } = startRun({ name: 'llm', tokensPerEvent: 7 });
      versions.forEach((tokensPerEvent) => {
        if (tokensPerEvent === undefined) configure();
        else configure({ name: 'llm', tokensPerEvent });
      });
      run.events = events;
      expect(getSpentTokens(run)).toBe(COST.input + Math.min(COST.output, events * 7));
    }),
    { seed: 1, numRuns: 200 },
  );
});
