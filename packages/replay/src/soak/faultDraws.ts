import type { Milliseconds, Random } from '@pomeloroad/core';
import type { OrderlyEndReason } from '@pomeloroad/standins';
import type { Effect } from '../byteRelay';
import { draw } from './draw';
import type {
  Fault,
  LinkTarget,
  PlannedSignal,
  Renewal,
  SignalFault,
  StoreFaultName,
  Target,
} from './faults';
import type { FleetSize } from './fleet';

const LENGTH_MIN_MS: Milliseconds = 200;
const LENGTH_MAX_MS: Milliseconds = 3000;
/** Longest time for which an instance can't reach the store; configurations change meanwhile. */
const CUT_OFF_MAX_MS: Milliseconds = 9000;
const DELAY_MAX_MS: Milliseconds = 400;
/** Silences after which an endpoint goes on; callers leave a stream after 2 s. */
const SILENCE_MIN_MS: Milliseconds = 500;
const SILENCE_MAX_MS: Milliseconds = 1900;
const SILENT_ENDPOINTS = 3;
const DRAIN_PART_MS: Milliseconds = 1000;
const DOUBLE_SIGNAL_GAP_MAX_MS: Milliseconds = 100;
const CUT_BYTES_MAX = 1200;
/** 7 Mbit/s and two slower rates. */
const SLOW_RATES = [875_000, 50_000, 5000];
const LIMITED_MIN_MS: Milliseconds = 8000;
const LIMITED_MAX_MS: Milliseconds = 12_000;
/** Largest part of the endpoints that end their answers at once. */
const ENDING_PART_MAX = 0.25;
const ENDING_REASONS: OrderlyEndReason[] = ['exit', 'leaving', 'no-room', 'preempted'];
const ENDING_DELAY_MAX_MS: Milliseconds = 300;
/** Times from the ends to the exit; `undefined` for endpoints that live on. */
const EXIT_DELAYS_MS = [0, 30, 100, 300, 500, undefined, undefined];

const RENEWAL_GAP_MIN_MS: Milliseconds = 300;
const RENEWAL_GAP_MAX_MS: Milliseconds = 1000;
const RENEWAL_PAUSE_MIN_MS: Milliseconds = 30;
const RENEWAL_PAUSE_MAX_MS: Milliseconds = 300;
/** Times until a renewed endpoint writes its entry; the last one as while the store is away. */
const LISTING_DELAYS_MS = [0, 0, 0, 300, 300, 300, 500, 500, 500, 4000];

/** Draws a fault of one kind for a fleet of the given size. */
export type FaultDraw<T extends Fault = Fault> = (random: Random, size: FleetSize) => T;

/** How each fault of the plan is drawn, by its name in the result. */
const FaultDraws: Record<string, FaultDraw> = {
  'instance-term': stopInstance(() => [send('SIGTERM')]),
  'instance-hup': stopInstance(() => [send('SIGHUP')]),
  'instance-stop': stopInstance(drawFreeze),
  'instance-kill': stopInstance(() => [send('SIGKILL')]),
  'instance-restart-in-drain': stopInstance(() => [
    send('SIGTERM'),
    send('SIGKILL', DRAIN_PART_MS),
  ]),
  'instance-two-signals': stopInstance((random) => {
    const wait = random.integer(0, DOUBLE_SIGNAL_GAP_MAX_MS);
    return [send(draw(random, ['SIGTERM', 'SIGHUP'])), send('SIGTERM', wait)];
  }),
  'data-centre-kill': (random) =>
    stop({ kind: 'data-centre', index: random.integer(0, 1) }, random),
  'data-centre-term': (random) =>
    stop({ kind: 'data-centre', index: random.integer(0, 1) }, random, [send('SIGTERM')]),
  'all-kill': (random) => stop({ kind: 'all-instances' }, random),
  'endpoint-kill': stopEndpoint(() => [send('SIGKILL')]),
  'endpoint-term': stopEndpoint(() => [send('SIGTERM')]),
  // The endpoint ends its answers as if they were complete.
  'endpoint-exit': stopEndpoint(() => [send('SIGINT')]),
  'endpoint-stop': stopEndpoint(drawFreeze),
  'endpoint-silent': stopEndpoint(drawSilence),
  'endpoints-silent': (random, size) => {
    const index = random.integer(0, Math.max(0, size.endpoints - SILENT_ENDPOINTS));
    return stop({ kind: 'endpoints', index, count: SILENT_ENDPOINTS }, random, drawSilence(random));
  },
  'service-silent': (random) =>
    stop({ kind: 'service', index: random.integer(0, 1) }, random, drawSilence(random)),
  'endpoint-renewed': (random, size) => {
    const drawSignals = () => [send(draw(random, ['SIGTERM', 'SIGKILL']))];
    return { ...stopEndpoint(drawSignals)(random, size), isRenewed: true };
  },
  'roll-out': (random) => ({ kind: 'roll-out', service: random.integer(0, 1) }),
  'link-delay': disturbLink((random) => ({
    kind: 'delay',
    delay: random.integer(1, DELAY_MAX_MS),
  })),
  'link-slow': disturbLink((random) => ({
    kind: 'slow',
    bytesPerSecond: draw(random, SLOW_RATES),
  })),
  'link-one-way': disturbLink(() => ({ kind: 'one-way' })),
  'link-blackhole': disturbLink(() => ({ kind: 'blackhole' })),
  'link-cut-off': (random, size) => ({
    kind: 'link',
    link: 'store',
    index: random.integer(0, size.instances - 1),
    direction: draw<'request' | 'answer'>(random, ['request', 'answer']),
    effect: { kind: 'blackhole' },
    length: random.integer(LENGTH_MAX_MS, CUT_OFF_MAX_MS),
  }),
  'link-close': disturbLink(drawCut('close')),
  'link-reset': disturbLink(drawCut('reset')),
  'link-half-close': disturbLink(drawCut('half-close')),
  'store-down': disturbStore('down'),
  'store-slow': disturbStore('slow'),
  'store-lost-answers': disturbStore('lost-answers'),
  'store-stalled-feed': disturbStore('stalled-feed'),
  'unreadable-rows': () => ({ kind: 'unreadable-rows' }),
  'endpoint-full': (random, size) => ({ kind: 'full', ...drawEndpoint(random, size) }),
  'endpoint-reused-address': (random, size) => ({
    kind: 'reused-address',
    ...drawEndpoint(random, size),
  }),
};

/** Faults that are only played if asked for. */
const RareFaultDraws: Record<string, FaultDraw> = {
  'endpoint-limited': (random, { endpoints }) => ({
    kind: 'limited',
    index: random.integer(0, endpoints - 1),
    length: random.integer(LIMITED_MIN_MS, LIMITED_MAX_MS),
  }),
  'endpoint-ends-early': (random, { endpoints }) => {
    const count = random.integer(1, Math.ceil(endpoints * ENDING_PART_MAX));
    const index = random.integer(0, endpoints - count);
    const end = {
      reason: draw(random, ENDING_REASONS),
      delay: random.integer(0, ENDING_DELAY_MAX_MS),
      exitAfter: draw(random, EXIT_DELAYS_MS),
    };
    const target = { kind: 'endpoints' as const, index, count };
    return { kind: 'orderly-end', target, end, pause: drawLength(random) };
  },
  // As `endpoint-ends-early`, but one endpoint that exits each time.
  'endpoint-ends-and-exits': (random, size) => ({
    kind: 'orderly-end',
    target: { kind: 'endpoints', index: random.integer(0, size.endpoints - 1), count: 1 },
    end: {
      reason: draw(random, ['exit', 'leaving']),
      delay: random.integer(0, ENDING_DELAY_MAX_MS),
      exitAfter: random.integer(0, ENDING_DELAY_MAX_MS),
    },
    pause: drawLength(random),
  }),
  // All endpoints that streams have, or all but one, end each stream at the same event and live on.
  'endpoints-end-early': (random) => {
    const length = drawLength(random);
    const delay = random.integer(0, ENDING_DELAY_MAX_MS);
    const target = { kind: 'service' as const, index: 0, spared: random.integer(0, 1) };
    return {
      kind: 'orderly-end',
      target,
      end: { reason: 'same-event', delay, length },
      pause: length,
    };
  },
  'endpoint-torn-event': stopEndpoint(() => [send('SIGQUIT')]),
  'routes-move': (random, size) => {
    const drawSignals = () => [send(draw(random, ['SIGTERM', 'SIGKILL']))];
    const renewed = { ...stopEndpoint(drawSignals)(random, size), isRenewed: true };
    return { kind: 'moved-routes', stop: renewed };
  },
  'instances-in-turn': (random, { instances }) => ({
    kind: 'instances-in-turn',
    stops: Array.from({ length: instances }, (_, index) =>
      stop({ kind: 'instance', index }, random, [send('SIGTERM')]),
    ),
  }),
  'endpoints-renewed-in-turn': (random, { endpoints }) => ({
    kind: 'endpoints-in-turn',
    service: 0,
    renewals: Array.from({ length: endpoints }, () => drawRenewal(random)),
  }),
  // Returns the store to an older copy.
  'store-rewound': disturbStore('rewound'),
};

/** Names of the faults that are played if none are named. */
export const DefaultFaults = Object.keys(FaultDraws);

/** Names of all faults that a plan may hold. */
export const FaultNames = [...DefaultFaults, ...Object.keys(RareFaultDraws)];

/** Returns how the named fault is drawn; `undefined` for an unknown name. */
export function findFaultDraw(name: string): FaultDraw | undefined {
  return RareFaultDraws[name] ?? FaultDraws[name];
}

function send(signal: PlannedSignal['signal'], wait: Milliseconds = 0): PlannedSignal {
  return { signal, wait };
}

function stop(target: Target, random: Random, signals = [send('SIGKILL')]): SignalFault {
  return { kind: 'signals', target, signals, pause: drawLength(random) };
}

function stopInstance(drawSignals: (random: Random) => PlannedSignal[]): FaultDraw {
  return (random, size) => {
    const index = random.integer(0, size.instances - 1);
    return stop({ kind: 'instance', index }, random, drawSignals(random));
  };
}

function stopEndpoint(drawSignals: (random: Random) => PlannedSignal[]): FaultDraw<SignalFault> {
  return (random, size) => {
    const index = random.integer(0, size.endpoints - 1);
    return stop({ kind: 'endpoints', index, count: 1 }, random, drawSignals(random));
  };
}

function drawRenewal(random: Random): Renewal {
  return {
    wait: random.integer(RENEWAL_GAP_MIN_MS, RENEWAL_GAP_MAX_MS),
    pause: random.integer(RENEWAL_PAUSE_MIN_MS, RENEWAL_PAUSE_MAX_MS),
    listedAfter: draw(random, LISTING_DELAYS_MS),
  };
}

function drawFreeze(random: Random): PlannedSignal[] {
  return [send('SIGSTOP'), send('SIGCONT', drawLength(random))];
}

function drawSilence(random: Random): PlannedSignal[] {
  return [send('SIGSTOP'), send('SIGCONT', random.integer(SILENCE_MIN_MS, SILENCE_MAX_MS))];
}

function disturbLink(drawEffect: (random: Random) => Effect): FaultDraw {
  return (random, size) => {
    const link = draw<LinkTarget>(random, ['callers', 'store', 'endpoint']);
    const count = link === 'endpoint' ? size.endpoints : size.instances;
    const index = random.integer(0, count - 1);
    const direction = draw<'request' | 'answer'>(random, ['request', 'answer']);
    const effect = drawEffect(random);
    return { kind: 'link', link, index, direction, effect, length: drawLength(random) };
  };
}

function drawCut(cut: Extract<Effect, { kind: 'cut' }>['cut']) {
  return (random: Random): Effect => ({
    kind: 'cut',
    cut,
    after: random.integer(0, 2) === 0 ? 0 : random.integer(1, CUT_BYTES_MAX),
  });
}

function disturbStore(fault: StoreFaultName): FaultDraw {
  return (random) => ({ kind: 'store', fault, length: drawLength(random) });
}

function drawEndpoint(random: Random, size: FleetSize): { index: number; length: Milliseconds } {
  return { index: random.integer(0, size.endpoints - 1), length: drawLength(random) };
}

function drawLength(random: Random): Milliseconds {
  return random.integer(LENGTH_MIN_MS, LENGTH_MAX_MS);
}
