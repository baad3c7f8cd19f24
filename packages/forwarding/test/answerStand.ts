import { Err, Ok } from 'ts-results';
import { createManualClock, createRandom, Diagnostics, sleep } from '@pomeloroad/core';
import type {
  Diagnostic,
  Importance,
  LogFields,
  Milliseconds,
  ResponseFraming,
} from '@pomeloroad/core';
import type { RouteRequest, Slot, SlotResult } from '@pomeloroad/routing';
import { createMetrics } from '@pomeloroad/telemetry';
import { createForwardMetrics, forward } from '../src';
import type {
  Attempt,
  Caller,
  EndpointState,
  ForwardHost,
  ForwardRequest,
  RoomState,
  StreamStep,
} from '../src';
import { createCloseHistory } from '../src/ends/closeHistory';
import { createEndHistory } from '../src/ends/endHistory';
import { createEndpointLife } from '../src/ends/endpointLife';
import { createPauseHistory } from '../src/ends/pauseHistory';
import { createRecentEnds } from '../src/ends/recentEnds';
import type { RecentEnd } from '../src/ends/recentEnds';

const DEADLINE_MS: Milliseconds = 2500;
/** What one endpoint does: its events and its end, each so long after the step before it. */
export interface StandAnswer {
  framing?: ResponseFraming;
  /** Pauses before each event. */
  events?: Milliseconds[];
  /** Pause before the end. */
  pause?: Milliseconds;
  end?: 'complete' | 'closed' | 'broken' | 'whole' | 'declined';
  /** Status of a whole answer. */
  status?: number;
  /** Time for which the endpoint has no free slot. */
  slotAfter?: Milliseconds;
  /** Number of times that it has none at all before. */
  refusals?: number;
  /** Whether the endpoint says that its memory has room. */
  room?: RoomState;
  /** State of the endpoint at the end. */
  state?: EndpointState;
  /** Time from the last event to the end, apart from delays on the way. */
  sinceEvent?: Milliseconds;
  /** Whether the endpoint sends the caller's last event again, if it is asked to. */
  repeats?: boolean;
  /** What it does when it is asked once more; left out, it sends nothing new. */
  again?: StandAnswer;
  /** How long after the answer the endpoint fails. */
  failsAfter?: Milliseconds;
}

/**
 * Forwards a request to endpoints e1, e2 and so on, which give the answers in turn, or to those to which it may only
 * return; `others` are ends of other streams of e1. Returns what the caller got, when it was told the end, and what was logged. Endpoints are told 250 ms more than what is left, and a stated end is held for 20 ms.
 */
export async function forwardTo(
  answers: StandAnswer[],
  more: Partial<ForwardRequest<unknown>> = {},
  attempts = 2,
  endHistory = createEndHistory(),
  others: RecentEnd[] = [],
) {
  const clock = createManualClock();
  const lines: LogFields[] = [];
  const metrics = createMetrics();
  const forwardMetrics = createForwardMetrics(metrics);
  const log = (event: Diagnostic, fields?: LogFields, importance?: Importance) => {
    lines.push({ code: event.code, importance, ...fields });
  };
  const recentEnds = createRecentEnds({ clock, log, metrics: forwardMetrics });
  const first = { name: 'e1/1', id: 'e1', born: 1, version: 'v1' };
  others.forEach((end) => recentEnds.add(first, end));
  const releases: SlotResult[] = [];
  let turn = 0;
  let refused = 0;
  let endedAt: Milliseconds | undefined;
  const asked = new Map<string, StandAnswer>();

  function openStream(answer: StandAnswer, attempt: Attempt<unknown>) {
    const { onActivity, onProgress, resumePoint } = attempt;
    const { framing = 'chunked', events = [], pause = 0, end = 'complete', repeats } = answer;
    let sent = 0;
    // The event that is sent again comes with the head.
    if (repeats && resumePoint.repeated !== undefined) onProgress();
    async function next(): Promise<StreamStep> {
      const delay = events[sent];
      const due = clock.elapsed() + (delay ?? pause);
      await sleep(clock, delay ?? pause, attempt.signal);
      if (clock.elapsed() < due) return { kind: 'broken', message: 'not wanted any more' };
      if (delay === undefined) {
        if (end === 'broken') return { kind: 'broken', message: 'reset' };
        const kind = end === 'closed' ? 'closed' : 'complete';
        const { sinceEvent } = answer;
        return {
          kind,
          framing,
          sinceEvent,
          at: clock.elapsed(),
          connection: sleep(clock, 20).then(() => 'kept' as const),
        };
      }
      sent += 1;
      onActivity();
      onProgress();
      return { kind: 'events', data: Buffer.from('e'), count: 1, lastId: `${sent}` };
    }
    return {
      next,
      hasRepeated: () => repeats === true && resumePoint.repeated !== undefined,
      close: async () => {},
    };
  }

  function getAnswer(id: string): StandAnswer {
    const before = asked.get(id);
    const answer = before
      ? (before.again ?? { ...before, events: [] })
      : (answers[Number(id.slice(1)) - 1] ?? {});
    asked.set(id, answer);
    return answer;
  }

  async function send(attempt: Attempt<unknown>) {
    const answer = getAnswer(attempt.endpoint.id);
    const { framing = 'chunked', events = [], pause = 0, end, status = 200 } = answer;
    if (attempt.signal.aborted) return Err({ kind: 'unreachable', message: 'not wanted any more' });
    await sleep(clock, 100);
    attempt.onActivity();
    if (end === 'declined') return Err({ kind: 'declined', message: 'no room' });
    const head = { status, framing, headers: [] };
    if (end !== 'whole') {
      return Ok({ kind: 'stream' as const, head, stream: openStream(answer, attempt) });
    }
    await sleep(clock, events[0] ?? 0);
    attempt.onActivity();
    attempt.onProgress();
    await sleep(clock, pause);
    const body = Buffer.from('body');
    const told = {
      framing,
      at: clock.elapsed(),
      connection: sleep(clock, 20).then(() => 'kept' as const),
    };
    return Ok({ kind: 'whole' as const, head, body, end: told });
  }

  async function acquire({ only, excluded }: Pick<RouteRequest, 'only' | 'excluded'>) {
    const [place] = [...(only ?? [])].filter((known) => !excluded.has(known));
    if (only && place === undefined) return Err({ kind: 'none' });
    const { refusals = 0 } = answers[turn] ?? {};
    if (!only && refused < refusals) {
      refused += 1;
      return Err({ kind: 'busy', isLimited: false });
    }
    if (!only) turn += 1;
    if (turn > answers.length) return Err({ kind: 'none' });
    const name = place ?? `e${turn}/1`;
    await sleep(clock, answers[Number(name[1]) - 1]?.slotAfter ?? 0);
    const slot: Slot = {
      endpoint: { kind: 'service', name, version: `v${turn}` } as Slot['endpoint'],
      isLeaving: () => false,
      recordActivity: () => {},
      getActivityTime: () => clock.elapsed(),
      release: (result) => releases.push(result),
    };
    return Ok(slot);
  }

  const find = (name: string) => {
    const [id = ''] = name.split('/');
    return { id, born: 1, sequence: 1, version: `v${id.slice(1)}` };
  };
  const getFate = () => 'listed' as const;
  const probe = async () => 'accepting' as const;
  const identify = async () => 'same' as const;
  const listIdle = () => [];
  const host = {
    clock,
    random: createRandom(1),
    log,
    admission: { acquire },
    directory: {
      find,
      getFate,
      getKnownTime: () => 0,
      markReplaced: () => {},
      listLapsed: () => [],
    },
    retryBudget: {
      countRequest: () => {},
      take: () => true,
      takeSpare: () => true,
      giveBack: () => {},
    },
    protocol: {
      send,
      probe,
      identify,
      findStart: async () => ({ kind: 'untold' }),
      listIdle,
      findRun: async () => ({ kind: 'silent' }),
      findRoom: async ({ id }: { id: string }) => asked.get(id)?.room ?? 'untold',
    },
    metrics: forwardMetrics,
    getViewAge: () => 0,
    endHistory,
    closeHistory: createCloseHistory(),
    endpointLife: createEndpointLife({
      clock,
      protocol: { probe, identify, listIdle },
      directory: { getFate, find: () => undefined },
      refreshEndpoints: async () => true,
      getHeldUpTime: () => 0,
    }),
    recentEnds,
    pauseHistory: createPauseHistory(clock),
    getEndpointState: (name: string) => asked.get(`e${name[1]}`)?.state ?? 'sound',
    getConfigurationVersion: () => 1,
    origins: {
      note: () => {},
      isDoubted: () => false,
      find: async () => ({ kind: 'any' }),
    },
    rateLimits: { note: () => {} },
    suspects: { admit: async () => ({ kind: 'allowed' }), judge: () => 'none' },
    findService: () => undefined,
    getHeldUpTime: () => 0,
    waitForRefresh: async () => {},
  } as unknown as ForwardHost<unknown>;
  const isWhole = answers.some(({ end }) => end === 'whole');
  const request = {
    id: 'r',
    route: {
      name: 'digest',
      kind: isWhole ? 'idempotent' : 'streaming',
      isResumable: true,
      attempts,
      objective: 4000,
      targets: [],
    },
    service: 's',
    account: '',
    priority: 1,
    deadline: DEADLINE_MS,
    startedAt: 0,
    configurationVersion: 1,
    cost: { input: 0, output: 0 },
    prefix: [],
    fingerprint: 'same',
    resumeAfter: undefined,
    payload: undefined,
    ...more,
  } as unknown as ForwardRequest<unknown>;
  const calls: string[] = [];
  const caller: Caller = {
    signal: new AbortController().signal,
    answer: () => calls.push('answer'),
    refuse: () => calls.push('refuse'),
    begin: () => calls.push('begin'),
    write: async () => {},
    end() {
      calls.push('end');
      endedAt = clock.elapsed();
      const { failsAfter } = answers[turn - 1] ?? {};
      if (failsAfter === undefined) return;
      clock.after(failsAfter, () => recentEnds.noteFate(`e${turn}/1`, 'failed'));
    },
    cut() {
      calls.push('cut');
      endedAt = clock.elapsed();
    },
  };
  const done = forward(host, request, caller);
  await clock.advance(2 * DEADLINE_MS);
  await done;
  const select = (event: Diagnostic) => lines.filter(({ code }) => code === event.code);
  const [answered] = [
    ...select(Diagnostics.requestForwarded),
    ...select(Diagnostics.requestFailed),
  ];
  return {
    calls,
    endedAt,
    answered,
    suspicious: select(Diagnostics.endSuspicious),
    lines,
    releases,
    rendered: metrics.render(),
  };
}
