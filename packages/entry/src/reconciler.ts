import { getOwner } from '@pomeloroad/core';
import type { Clock, Identity } from '@pomeloroad/core';
import { parseSegment, SEGMENT_PREFIX } from '@pomeloroad/budgets';
import type { Ledger, SettledRecord } from '@pomeloroad/budgets';
import type { ObjectStore } from '@pomeloroad/storage';
import type { RequestRegistry } from '@pomeloroad/requests';

const DAY_MS = 86_400_000;
const DAY_LENGTH = 10;

/** What reconciliation needs from its surroundings. */
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
 * Charges each named request once, also if two sides of a partition ran it. Works on the stored
 * usage records, so it does not matter which instances survived.
 */
export interface Reconciler {
  /** Asks which provisional runs count, and gives the charges of the others back. */
  poll(): Promise<void>;
  /** Provisional runs read, but not decided yet. */
  pending(): number;
}

/** Creates a reconciler that has read nothing yet. */
export function createReconciler(host: ReconcilerHost): Reconciler {
  const { clock, self, ledger, objects, registry } = host;
  const seen = new Set<string>();
  let undecided: SettledRecord[] = [];

  function isInCharge(): boolean {
    return getOwner('reconciliation', host.getLocalInstances()) === self.instance;
  }

  // A segment belongs to the day of its settlement; late ones of yesterday are read as well.
  function getPrefixes(): string[] {
    const now = clock.now().getTime();
    const days = [now, now - DAY_MS].map((time) => new Date(time).toISOString());
    return days.map((day) => `${SEGMENT_PREFIX}${day.slice(0, DAY_LENGTH)}/${self.dataCentre}/`);
  }

  async function readNew(): Promise<void> {
    const lists = await Promise.all(getPrefixes().map((prefix) => objects.list(prefix)));
    const names = lists.flatMap((list) => (list.ok ? list.val : []));
    const unread = names.filter((name) => !seen.has(name));
    await Promise.all(unread.map(readSegment));
  }

  async function readSegment(name: string): Promise<void> {
    const segment = await objects.get(name);
    if (segment.err) return;
    seen.add(name);
    const records = parseSegment(segment.val ?? '').filter((record) => record.isProvisional);
    undecided.push(...records.filter((record) => record.key !== undefined));
  }

  async function isDecided(record: SettledRecord): Promise<boolean> {
    const { account, key = '', digest = '', request, budget, tokens } = record;
    const name = { account, key };
    const begun = { name, digest, isIdempotent: true, runner: self, request };
    const counts = await registry.confirm(begun);
    if (counts === undefined) return false;
    if (counts) return true;
    return (await ledger.credit(budget, request, tokens)).ok;
  }

  return {
    async poll() {
      if (!isInCharge() || !registry.isFleetComplete()) return;
      await readNew();
      const checked = undecided;
      const decided = await Promise.all(checked.map(isDecided));
      undecided = undecided.filter((record) => !decided[checked.indexOf(record)]);
    },
    pending: () => undecided.length,
  };
}
