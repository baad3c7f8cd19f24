import { getOwner } from '@pomeloroad/core';
import type { Clock, Identity } from '@pomeloroad/core';
import { parseUsageSegment, USAGE_SEGMENT_PREFIX } from '@pomeloroad/budgets';
import type { Ledger, SettledRecord } from '@pomeloroad/budgets';
import type { ObjectStore } from '@pomeloroad/storage';
import type { RequestRegistry } from '@pomeloroad/requests';

const DAY_MS = 86_400_000;
const ISO_DATE_LENGTH = 10;

/** Dependencies of the reconciler. */
export interface ReconcilerHost {
  clock: Clock;
  self: Identity;
  ledger: Ledger;
  objects: ObjectStore;
  registry: RequestRegistry;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
}

/**
 * Ensures that a named request is charged once, also if both sides of a network partition ran it.
 * Reads the stored usage records, so it does not depend on the instances that wrote them.
 */
export interface Reconciler {
  /** Determines which provisional runs count and credits the charges of the others back. */
  poll(): Promise<void>;
  /** Number of provisional runs that were read but are not decided. */
  pending(): number;
}

/** Creates a reconciler that has read no usage records. */
export function createReconciler(host: ReconcilerHost): Reconciler {
  const { clock, self, ledger, objects, registry } = host;
  const processedSegments = new Set<string>();
  let undecided: SettledRecord[] = [];

  function isOwner(): boolean {
    return getOwner('reconciliation', host.getLocalInstances()) === self.instance;
  }

  // Segments are stored by the day of their settlement. Those of the previous day are listed as well,
  // because some are written late.
  function getPrefixes(): string[] {
    const now = clock.now().getTime();
    const days = [now, now - DAY_MS].map((time) => new Date(time).toISOString());
    return days.map(
      (day) => `${USAGE_SEGMENT_PREFIX}${day.slice(0, ISO_DATE_LENGTH)}/${self.dataCentre}/`,
    );
  }

  async function readNewSegments(): Promise<void> {
    const lists = await Promise.all(getPrefixes().map((prefix) => objects.list(prefix)));
    const names = lists.flatMap((list) => (list.ok ? list.val : []));
    const unread = names.filter((name) => !processedSegments.has(name));
    await Promise.all(unread.map(readSegment));
  }

  async function readSegment(name: string): Promise<void> {
    const segment = await objects.get(name);
    // A listed segment that is not found yet may still be found later.
    if (segment.err || segment.val === undefined) return;
    processedSegments.add(name);
    const records = parseUsageSegment(segment.val).filter((record) => record.isProvisional);
    undecided.push(...records.filter((record) => record.key !== undefined));
  }

  // Whether the record is decided; if its run does not count, its charge is credited back.
  async function reconcile(record: SettledRecord): Promise<boolean> {
    const { account, key = '', digest = '', request, budget, tokens } = record;
    const name = { account, key };
    const beginRequest = { name, digest, isIdempotent: true, runner: self, request };
    const isCounted = await registry.confirm(beginRequest);
    if (isCounted === undefined) return false;
    if (isCounted) return true;
    return (await ledger.credit(budget, request, tokens)).ok;
  }

  return {
    async poll() {
      if (!isOwner() || !registry.isFleetComplete()) return;
      await readNewSegments();
      const checked = undecided;
      const decided = await Promise.all(checked.map(reconcile));
      undecided = undecided.filter((record) => !decided[checked.indexOf(record)]);
    },
    pending: () => undecided.length,
  };
}
