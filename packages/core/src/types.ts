import type { Result } from 'ts-results';

/** A count of model tokens. */
export type Tokens = number;

/** A duration in milliseconds. */
export type Milliseconds = number;

/** Where an instance or an endpoint stands. */
export interface Place {
  dataCentre: string;
  /** IP number and port, `127.0.0.1:7000`. */
  address: string;
}

/** One life of an instance: a restart under the same name is another incarnation. */
export interface Identity {
  instance: string;
  incarnation: string;
  dataCentre: string;
}

/** Source of time; passed in so that tests can drive it. */
export interface Clock {
  /** Wall-clock time, for records and logs only. */
  now(): Date;
  /** Milliseconds on a clock that never steps back. */
  elapsed(): Milliseconds;
  /** Calls back once after the delay. */
  after(delay: Milliseconds, callback: () => void): Timer;
}

/** A pending callback of a `Clock`. */
export interface Timer {
  cancel(): void;
}

/** Source of randomness; seeded in tests. */
export interface Random {
  /** An integer between both bounds, each included. */
  integer(from: number, to: number): number;
  /** A number from 0 up to but not including 1. */
  fraction(): number;
}

/** Whether a refused or failed request was run by an endpoint. */
export type Ran = 'no' | 'unknown';

/** Outcome of a fallible step. */
export type Outcome<T, E> = Result<T, E>;
