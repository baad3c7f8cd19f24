import type { Milliseconds } from '@pomeloroad/core';
import { CONTACT_MS, STATUS_OK } from './checkBounds';
import type { CheckOutcome } from './checks';
import type { FaultLog } from './faultLog';
import { countEvents } from './requestRecord';
import type { RequestRecord } from './requestRecord';

/** Number of requests that may still arrive after the free crashes. */
const LATE_ARRIVALS_MAX = 3;
/** Time after the last free crash from which on sound requests have to be served again. */
const SERVICE_MS: Milliseconds = 2 * CONTACT_MS;
/** Number of sound requests from which on their share is checked, and its least ratio. */
const SOUND_MIN = 20;
const RATIO_MIN = 0.5;

/** What crashes endpoints: a part of prompts, or a whole request. */
export interface CrashKind {
  /** Fault of the work that endpoints die of. */
  fault: 'crash' | 'crash-request';
  /** Crashes after which such requests are limited. */
  crashesFree: number;
  /** Whether sound requests of the route share the endpoints of bad ones. */
  isBeside(route: string): boolean;
}

/** The kinds of what crashes endpoints. */
export const CrashKinds = {
  part: { fault: 'crash', crashesFree: 5, isBeside: (route) => route.startsWith('stream') },
  request: {
    fault: 'crash-request',
    crashesFree: 3,
    isBeside: (route) => !route.startsWith('stream'),
  },
} as const satisfies Record<string, CrashKind>;

/** What became of requests that crash endpoints, and of sound ones beside them. */
export interface CrashHistory {
  addCrash(at: number): void;
  add(record: RequestRecord): void;
  /** Checks how many bad requests arrived after the free crashes. */
  checkArrivals(): CheckOutcome;
  /** Checks the share of the sound requests of the same routes that began. */
  checkSound(): CheckOutcome;
}

/** Creates an empty history. */
export function createCrashHistory(
  faults: FaultLog,
  { fault, crashesFree, isBeside }: CrashKind,
): CrashHistory {
  const crashes: number[] = [];
  const arrivals: number[] = [];
  const sound: { sentAt: number; hasBegun: boolean }[] = [];

  function listSound(from: number, to: number): boolean[] {
    return sound
      .filter(({ sentAt }) => sentAt >= from && sentAt < to)
      .map(({ hasBegun }) => hasBegun);
  }

  return {
    addCrash: (at) => crashes.push(at),
    add({ work, instance, sentAt, endedAt = sentAt, patience, answer, ...record }) {
      const { arrivals: arrived, account, timeLimit } = record;
      if (!isBeside(work.route)) return;
      const isInTouch = (at: number) =>
        !faults.isDisturbed([instance, 'store'], at - CONTACT_MS, at);
      if (work.fault === fault) arrivals.push(...arrived.filter(isInTouch));
      const isPatient = patience === undefined && timeLimit === undefined;
      if (work.fault !== 'none' || !isPatient || account !== 'rich' || !isInTouch(endedAt)) return;
      const hasBegun = answer?.status === STATUS_OK && countEvents(answer.body) > 0;
      sound.push({ sentAt, hasBegun });
    },
    checkArrivals() {
      if (crashes.length === 0) return 'skipped';
      const from = (crashes[crashesFree - 1] ?? Infinity) + CONTACT_MS;
      const late = arrivals.filter((at) => at > from).length;
      if (late <= LATE_ARRIVALS_MAX) return 'held';
      return {
        message: `${late} requests that crash endpoints came late, ${crashes.length} crashes`,
      };
    },
    checkSound() {
      const [first] = crashes;
      const last = crashes[crashesFree - 1] ?? crashes.at(-1);
      if (first === undefined || last === undefined) return 'skipped';
      const shares = [listSound(-Infinity, first), listSound(last + SERVICE_MS, Infinity)];
      if (shares.some(({ length }) => length < SOUND_MIN)) return 'skipped';
      const [before = 0, after = 0] = shares.map((s) => s.filter(Boolean).length / s.length);
      if (after >= before * RATIO_MIN) return 'held';
      return {
        message: `${after} of sound requests begin beside those that crash endpoints, ${before} before`,
      };
    },
  };
}
