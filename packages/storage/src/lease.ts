import { z } from 'zod';
import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { Row, Table } from './types';

const LEASE_PREFIX = 'lease/';
/** Part of the lease that its holder leaves unused, against slow processes. */
const SAFETY_SHARE = 0.4;

/** The row of a lease. */
interface LeaseRow {
  holder: Identity;
  /** Rises with each new holder; orders carry it. */
  fencing: number;
  /** Rises with each renewal, so that others see that the holder lives. */
  renewals: number;
}

const LeaseSchema: z.ZodType<LeaseRow> = z.object({
  holder: z.object({ instance: z.string(), incarnation: z.string(), dataCentre: z.string() }),
  fencing: z.number().int(),
  renewals: z.number().int(),
});

/** What a lease needs from its surroundings. */
export interface LeaseHost {
  clock: Clock;
  table: Table;
  self: Identity;
}

/** A lease on a name, held by one incarnation at a time. */
export interface Lease {
  /** Takes or renews the lease; call it several times within its duration. */
  keep(): Promise<void>;
  /** The fencing number while the lease is surely held, with time to spare. */
  getFencing(): number | undefined;
}

/**
 * Creates a lease that is not held yet. No clock is compared between processes: another one takes
 * the lease only after it has itself seen no renewal for the whole duration.
 */
export function createLease(host: LeaseHost, name: string, duration: Milliseconds): Lease {
  const { clock, table, self } = host;
  const key = `${LEASE_PREFIX}${name}`;
  let held: { fencing: number; until: Milliseconds } | undefined;
  let seen: { version: number; at: Milliseconds } | undefined;

  async function write(row: Row | undefined, next: LeaseRow): Promise<void> {
    // Counted from before the write: the holder's own view of the lease ends first.
    const startedAt = clock.elapsed();
    const checks = [{ key, version: row?.version ?? 0 }];
    const outcome = await table.commit({ checks, writes: [{ key, value: next }] });
    if (outcome.err) return;
    held = { fencing: next.fencing, until: startedAt + duration * (1 - SAFETY_SHARE) };
  }

  function isExpired(version: number): boolean {
    if (seen?.version !== version) seen = { version, at: clock.elapsed() };
    return clock.elapsed() - seen.at > duration;
  }

  return {
    async keep() {
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
    getFencing: () => (held && clock.elapsed() < held.until ? held.fencing : undefined),
  };
}
