import type { Attempt } from './callers';
import type { Deployment } from './deployments';
import type { StandinRecord } from './record';
import type { TraceEvent } from './trace';
import type { Observations } from './watcher';

/** Everything that is known of a replay and that it is judged by. */
export interface Evidence {
  deployment: Deployment;
  events: TraceEvent[];
  attempts: Attempt[];
  record: StandinRecord;
  observations: Observations;
  /** Endpoints that were drained or announced as leaving, and when. */
  leaving: { endpoint: string; at: Date }[];
  /** Graceful shutdowns of instances, with their start, end and exit code. */
  shutdowns: { instance: string; from: Date; to: Date; code: number | null }[];
  /** Partitions between data centres. */
  partitions: Partition[];
  /** Configuration versions whose apply succeeded, and when the operator got the answer. */
  applied: { version: number; at: Date }[];
}

/** A period during which some data centres reached neither the others nor the platform. */
export interface Partition {
  sites: string[];
  from: Date;
  to: Date;
  /** Unspent tokens in open grants of these data centres at the start, by budget. */
  held: Map<string, number>;
}

/** The actions of a replay with their times and results. */
export type ActionLog = Pick<
  Evidence,
  'attempts' | 'leaving' | 'shutdowns' | 'applied' | 'partitions'
>;
