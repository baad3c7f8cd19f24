import type { Milliseconds } from '@pomeloroad/core';
import type { OrderlyEnd } from '@pomeloroad/standins';
import type { Effect } from '../byteRelay';

/** Processes that one fault stops; `index` is the number, from 0, of the first one. */
export type Target =
  | { kind: 'instance'; index: number }
  | { kind: 'endpoints'; index: number; count: number }
  /** All endpoints of a service but the last `spared` ones. */
  | { kind: 'service'; index: number; spared?: number }
  | { kind: 'data-centre'; index: number }
  | { kind: 'all-instances' };

/** A signal and the time to wait before it is sent. */
export interface PlannedSignal {
  signal: 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT' | 'SIGKILL' | 'SIGQUIT';
  wait: Milliseconds;
}

/** Which connections a fault of the network concerns. */
export type LinkTarget = 'callers' | 'store' | 'endpoint';

/** What the store does wrong for a time. */
export type StoreFaultName = 'down' | 'slow' | 'lost-answers' | 'stalled-feed' | 'rewound';

/** How one of several endpoints is renewed. */
export interface Renewal {
  /** Time from the return of the one before to its kill. */
  wait: Milliseconds;
  /** Time from its end until its next process starts. */
  pause: Milliseconds;
  /** Time from that start until the process first writes its entry. */
  listedAfter: Milliseconds;
}

/** A fault of the plan. */
export type Fault =
  /** `pause` is the time from the last signal, or from the end of the process, to its next start. */
  | {
      kind: 'signals';
      target: Target;
      signals: PlannedSignal[];
      pause: Milliseconds;
      /** Whether endpoints start again with another version that serves already. */
      isRenewed?: boolean;
    }
  /** Endpoints end their answers in order; `pause` is the time until they serve on or start again. */
  | { kind: 'orderly-end'; target: Target; end: OrderlyEnd; pause: Milliseconds }
  /** The streams' routes move to the other service while an endpoint is stopped and starts again. */
  | { kind: 'moved-routes'; stop: SignalFault }
  /** Endpoints of a new version join a service, then those of its oldest version leave. */
  | { kind: 'roll-out'; service: number }
  /** All instances are stopped in order and started again, one after the other. */
  | { kind: 'instances-in-turn'; stops: SignalFault[] }
  /** The endpoints of a service are killed one after the other and are back in place with one new version. */
  | { kind: 'endpoints-in-turn'; service: number; renewals: Renewal[] }
  | {
      kind: 'link';
      link: LinkTarget;
      index: number;
      direction: 'request' | 'answer';
      effect: Effect;
      length: Milliseconds;
    }
  | { kind: 'store'; fault: StoreFaultName; length: Milliseconds }
  /** Rows that can't be decoded are written beside those of the endpoints. */
  | { kind: 'unreadable-rows' }
  /** The endpoint says that it is ready, but declines all requests. */
  | { kind: 'full'; index: number; length: Milliseconds }
  /** The endpoint dies by itself, of a request, and starts again. */
  | { kind: 'crash'; name: string }
  /** The endpoint names a limit of requests. */
  | { kind: 'limited'; index: number; length: Milliseconds }
  /** Another endpoint answers at the endpoint's address. */
  | { kind: 'reused-address'; index: number; length: Milliseconds };

/** Signals to processes. */
export type SignalFault = Extract<Fault, { kind: 'signals' }>;

/** A fault and the time, from the start of the soak, at which it begins. */
export interface PlannedFault {
  at: Milliseconds;
  name: string;
  fault: Fault;
}
