import type { HeldReservation, Ledger, UsageRecord } from '@pomeloroad/budgets';
import type { BeginRequest, Registry } from '@pomeloroad/requests';
import type { Identity } from '@pomeloroad/core';
import type { RunRequest } from './runRequest';

/** What reconciliation needs from its surroundings. */
export interface ReconcilerHost {
  self: Identity;
  ledger: Ledger;
  registry: Registry;
}

/** Charges each named request once, also if two sides of a partition ran it. */
export interface Reconciler {
  /** Ends a request's reservation; remembers a provisional run until it is known to count. */
  settle(
    request: RunRequest,
    reservation: HeldReservation | undefined,
    record: UsageRecord | undefined,
  ): void;
  /** Asks which provisional runs count, and gives the charges of the others back. */
  poll(): Promise<void>;
  pending(): number;
}

interface ProvisionalRun {
  begun: BeginRequest;
  record: UsageRecord;
}

/** Creates a reconciler without provisional runs. */
export function createReconciler({ self, ledger, registry }: ReconcilerHost): Reconciler {
  let runs: ProvisionalRun[] = [];

  async function isDone({ begun, record }: ProvisionalRun): Promise<boolean> {
    const counts = await registry.confirm(begun);
    if (counts === undefined) return false;
    if (counts) return true;
    const credited = await ledger.credit(record.budget, record.request, record.tokens);
    return credited.ok;
  }

  return {
    settle(request, reservation, record) {
      reservation?.settle(record);
      const { name, digest, isIdempotent, id } = request;
      if (!record || !name || !request.isProvisional) return;
      const begun = { name, digest, isIdempotent, runner: self, request: id };
      runs.push({ begun, record });
    },
    async poll() {
      const checked = runs;
      const done = await Promise.all(checked.map(isDone));
      runs = runs.filter((run) => !done[checked.indexOf(run)]);
    },
    pending: () => runs.length,
  };
}
