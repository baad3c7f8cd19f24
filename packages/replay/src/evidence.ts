import type { Attempt } from './callers';
import type { Deployment } from './deployments';
import type { StandinRecord } from './record';
import type { TraceEvent } from './trace';
import type { Observations } from './watcher';

/** Everything that a replay saw. */
export interface Evidence {
  deployment: Deployment;
  events: TraceEvent[];
  attempts: Attempt[];
  record: StandinRecord;
  observations: Observations;
  /** Endpoints that were told to leave, and when. */
  leaving: { endpoint: string; at: Date }[];
  /** Instances that were shut down gracefully, when, and how they exited. */
  shutdowns: { instance: string; from: Date; to: Date; code: number | null }[];
  /** Data centres that were cut off, when, and what the ledger held then. */
  partitions: Partition[];
  /** Versions that an operator was told to be in force, and when it was told. */
  applied: { version: number; at: Date }[];
}

/** A time during which some data centres saw neither the others nor the platform. */
export interface Partition {
  sites: string[];
  from: Date;
  to: Date;
  /** Tokens in open grants of the cut data centres, by budget. */
  held: Map<string, number>;
}

/** What the replay itself did and saw. */
export type Notes = Pick<Evidence, 'attempts' | 'leaving' | 'shutdowns' | 'applied' | 'partitions'>;
