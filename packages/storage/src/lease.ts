import { z } from 'zod';
import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { Row, Table } from './types';

const LEASE_PREFIX = 'lease/';
/** Last part of the lease that its holder does not use, in case its process runs slowly. */
const SAFETY_MARGIN_RATIO = 0.4;

/** Stored value of a lease. */
interface LeaseRow {
  holder: Identity;
  /** Fencing token: increases with each new holder; orders carry it. */
  fencing: number;
  /** Increases with each renewal, so that others see that the holder is alive. */
  renewals: number;
}

const LeaseSchema: z.ZodType<LeaseRow> = z.object({
  holder: z.object({ instance: z.string(), incarnation: z.string(), dataCentre: z.string() }),
  fencing: z.number().int(),
  renewals: z.number().int(),
});

/** Dependencies of a lease. */
export interface LeaseHost {
  clock: Clock;
  table: Table;
  self: Identity;
}

/** A lease on a name, held by at most one incarnation at a time. */
export interface Lease {
  /** Acquires or renews the lease; must be called several times within its duration. */
  acquireOrRenew(): Promise<void>;
  /** Returns the fencing token, or `undefined` if the lease is not held or is about to expire. */
  getFencingToken(): number | undefined;
}

/**
 * Creates a lease that is not held yet. Clocks are not compared between processes: another process
 * acquires the lease only after it has itself observed no renewal for the whole duration.
 */
export function createLease(host: LeaseHost, name: string, duration: Milliseconds): Lease {
  const { clock, table, self } = host;
  const key = `${LEASE_PREFIX}${name}`;
  let held: { fencing: number; until: Milliseconds } | undefined;
  let lastSeen: { version: number; at: Milliseconds } | undefined;

  async function write(row: Row | undefined, next: LeaseRow): Promise<void> {
    // Measured before the write, so that the holder's view of the lease ends before that of others.
    const startedAt = clock.elapsed();
    const checks = [{ key, version: row?.version ?? 0 }];
    const outcome = await table.commit({ checks, writes: [{ key, value: next }] });
    if (outcome.err) return;
    held = { fencing: next.fencing, until: startedAt + duration * (1 - SAFETY_MARGIN_RATIO) };
  }

  function isExpired(version: number): boolean {
    if (lastSeen?.version !== version) lastSeen = { version, at: clock.elapsed() };
    return clock.elapsed() - lastSeen.at > duration;
  }

  return {
    async acquireOrRenew() {
      const read = await table.read([key]);
      if (read.err) return;
      const [row] = read.val;
      const lease = row && LeaseSchema.parse(row.value);
      const isOwn = lease?.holder.incarnation === self.incarnation;
      if (lease && isOwn) await write(row, { ...lease, renewals: lease.renewals + 1 });
      else if (!lease || !row || isExpired(row.version)) {
        await write(row, { holder: self, fencing: (lease?.fencing ?? 0) + 1, renewals: 0 });
      }
    },
    getFencingToken: () => (held && clock.elapsed() < held.until ? held.fencing : undefined),
  };
}
