import type { Result } from 'ts-results';

/** A count of model tokens. */
export type Tokens = number;

/** A duration in milliseconds. */
export type Milliseconds = number;

/** Data centre and network address of an instance or an endpoint. */
export interface Place {
  dataCentre: string;
  /** IP number and port, `127.0.0.1:7000`. */
  address: string;
}

/** Identity of one run of an instance. A restart under the same name has another incarnation. */
export interface Identity {
  instance: string;
  incarnation: string;
  dataCentre: string;
}

/** Source of time, passed in so that tests can control it. */
export interface Clock {
  /** Wall-clock time, for records and logs only. */
  now(): Date;
  /** Time on a monotonic clock with an arbitrary start. */
  elapsed(): Milliseconds;
  /**
   * Time of `elapsed()` for which the process has had nothing to do, but waited. What it reads after working for a time may
   * have arrived at any moment of that time.
   */
  idle(): Milliseconds;
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

/** Whether the endpoint, peer or store ran a refused or failed request: `no` is certain. */
export type RunStatus = 'no' | 'unknown';

/** Result of an operation that may fail: a value or an error. */
export type Outcome<T, E> = Result<T, E>;
