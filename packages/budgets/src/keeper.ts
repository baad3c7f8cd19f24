import { Ok } from 'ts-results';
import { createCondition, Diagnostics } from '@pomeloroad/core';
import type { Outcome, Tokens } from '@pomeloroad/core';
import { createGrantRefill } from './grantRefill';
import { createGrantWitness } from './grantWitness';
import { createGrant, createHeldGrant } from './heldGrant';
import type { Sizer } from './grantPlans';
import type { Keeper, KeeperHost } from './keeperTypes';
import { createRateMeter } from './rate';
import { createReservationQueue } from './reservationQueue';
import type { WitnessLog } from './topics';
import { getGrantGrowth, getIdleLimit } from './sizing';
import type {
  BudgetRow,
  Grant,
  LedgerError,
  ReservationRequest,
  SettledRecord,
  UsageRecord,
} from './types';

const RATE_TIME_CONSTANT_MS = 60_000;
const MAX_ENDED_RESERVATIONS = 1000;

/**
 * Creates the keeper of a budget without writing to the table. It opens a grant for the first
 * reservation, unless it takes over an inherited grant of a lost holder.
 */
export function createKeeper(
  host: KeeperHost,
  budget: string,
  inherited?: { grant: Grant; log: WitnessLog },
): Keeper {
  const { clock, log, ledger, policy, self, witnesses } = host;
  const rate = createRateMeter(clock, RATE_TIME_CONSTANT_MS);
  const changed = createCondition();
  const queue = createReservationQueue(clock, tryReserve);
  let held = inherited
    ? createHeldGrant(inherited.grant, inherited.log)
    : createHeldGrant(createGrant(self, budget));
  /** Records of ended reservations by identifier, kept to recognize repeated settlements. */
  const ended = new Map<string, SettledRecord | undefined>();
  /** Largest recent reservation; it decays by a tenth with each request. */
  let recentPeakTokens = 0;
  /** Free tokens after the last change of the grant's size. */
  let freeAfterResize = 0;
  let lastTableTask: Promise<unknown> = Promise.resolve();

  const witness = createGrantWitness({
    budget,
    ledger,
    witnesses,
    getHeld: () => held,
    runExclusively,
    applySettlement,
    abandonGrant,
  });

  const refill = createGrantRefill({
    budget,
    clock,
    ledger,
    queue,
    changed,
    getHeld: () => held,
    getShortage,
    grow,
    recall: host.recall,
  });

  // Runs one table operation at a time, because the grant's row must have a single writer.
  function runExclusively<T>(step: () => Promise<T>): Promise<T> {
    const result = lastTableTask.then(step);
    lastTableTask = result;
    return result;
  }

  function tryReserve(request: ReservationRequest): boolean {
    if (held.free() < request.tokens) return false;
    held.reserve(request, clock.elapsed());
    return true;
  }

  function getShortage(): Tokens {
    return Math.max(0, queue.sumTokens() - held.free());
  }

  function grow(): Promise<Outcome<Grant, LedgerError>> {
    return runExclusively(async () => {
      const row = await ledger.readBudget(budget);
      if (row.err) return row;
      if (held.grant().version === 0) await witness.open();
      const outcome = await ledger.resize(held.grant(), createSizer(row.val), held.isUncertain());
      applyOutcome(outcome);
      return outcome;
    });
  }

  function createSizer(row: BudgetRow): Sizer {
    return (unallocated, size) => {
      const needed = getShortage();
      const demand = {
        needed,
        unallocated,
        size,
        toppedUp: row.toppedUp,
        rate: rate.perSecond(),
        dataCentres: host.getDataCentres(),
      };
      return size + getGrantGrowth(policy, demand);
    };
  }

  function applyOutcome(outcome: Outcome<Grant, LedgerError>): void {
    if (isOfDropped(outcome)) return;
    if (outcome.ok) {
      const { version, row } = outcome.val;
      if (held.grant().version === 0 && version > 0) logGrant(Diagnostics.grantOpened, row.size);
      else if (row.size !== held.grant().row.size) logGrant(Diagnostics.grantResized, row.size);
      held.applyResize(outcome.val);
      freeAfterResize = held.free();
      return;
    }
    if (outcome.val.kind === 'sealed') abandonGrant();
    else held.markUncertain();
  }

  // Applies the outcome of a write of the row that left its size as it was.
  function applySettlement(outcome: Outcome<Grant, LedgerError>): void {
    if (isOfDropped(outcome)) return;
    if (outcome.ok) held.applySettlement(outcome.val);
    else if (outcome.val.kind === 'sealed') abandonGrant();
  }

  // A grant may be dropped while a write of its row is waited for.
  function isOfDropped(outcome: Outcome<Grant, LedgerError>): boolean {
    return outcome.ok && outcome.val.id !== held.grant().id;
  }

  // Drops a grant that another instance has closed because it considered this one lost.
  // Nothing more may be spent from it.
  function abandonGrant(): void {
    logGrant(Diagnostics.lostGrantClosed, held.grant().row.size);
    ended.clear();
    held = createHeldGrant(createGrant(self, budget));
  }

  function logGrant(event: (typeof Diagnostics)[keyof typeof Diagnostics], size: Tokens): void {
    log(event, { budget, grant: held.grant().id, size, spent: held.spent() });
  }

  // Shrinks the grant, at most down to the tokens in use, and returns the number released.
  async function shrinkTo(getKept: () => Tokens): Promise<Tokens> {
    return runExclusively(async () => {
      const before = held;
      const kept = Math.max(getKept(), before.spent() + before.reserved());
      const released = before.limit() - kept;
      if (released <= 0 || before.grant().version === 0) return 0;
      // The released tokens stay unusable even if the write fails, since it may still take effect.
      before.lowerLimit(kept);
      const outcome = await ledger.resize(before.grant(), () => kept, before.isUncertain());
      applyOutcome(outcome);
      return outcome.ok ? released : 0;
    });
  }

  function endReservation(id: string, record: UsageRecord | undefined): void {
    rate.add(record?.tokens ?? 0);
    ended.set(id, held.endReservation(id, record));
    const [oldest] = ended.keys();
    if (ended.size > MAX_ENDED_RESERVATIONS && oldest !== undefined) ended.delete(oldest);
    queue.serve();
    changed.notify();
  }

  async function noteReservation(id: string): Promise<boolean> {
    const current = held;
    const reservation = current.reservations().get(id);
    if (!reservation) return false;
    const isNoted = await witness.note((receiver) =>
      witnesses.noteReservation(current, reservation, receiver),
    );
    return isNoted && held === current;
  }

  return {
    async reserve(request) {
      recentPeakTokens = Math.max(recentPeakTokens * 0.9, request.tokens);
      if (held.reservations().has(request.id)) return Ok.EMPTY;
      if (queue.count() === 0 && tryReserve(request)) return Ok.EMPTY;
      const waited = queue.add(request);
      changed.notify();
      refill.run();
      return waited;
    },
    async settle(reservation, record) {
      const current = held;
      if (current.reservations().has(reservation)) endReservation(reservation, record);
      else if (!ended.has(reservation)) return 'unknown';
      const isNoted = await witness.note((receiver) =>
        witnesses.noteEnd(current, reservation, ended.get(reservation), receiver),
      );
      return isNoted && held === current ? 'settled' : 'unknown';
    },
    async place(reservation, placement) {
      if (!held.place(reservation, placement)) return false;
      return noteReservation(reservation);
    },
    async changeOwner(reservation, owner) {
      if (!held.changeOwner(reservation, owner)) return false;
      return noteReservation(reservation);
    },
    maintainWitness: witness.maintain,
    release: (mustYield) =>
      queue.count() > 0 && !mustYield ? Promise.resolve(0) : shrinkTo(() => 0),
    async trim() {
      const limit = getIdleLimit(policy, rate.perSecond(), recentPeakTokens);
      if (queue.count() > 0 || held.free() <= limit) return;
      await shrinkTo(() => held.spent() + held.reserved() + Math.ceil(limit / 2));
    },
    hasReservation: (reservation) => held.reservations().has(reservation) || ended.has(reservation),
    async growEarly() {
      if (policy.kind !== 'adaptive' || held.grant().version === 0) return;
      if (queue.count() > 0 || host.isTableUnreachable()) return;
      if (held.free() < freeAfterResize / 2) await grow();
    },
    reservations: () => [...held.reservations().values()],
    unsettledRecords: () => held.unsettledRecords(),
    advanceRow: (grant, sequence) =>
      runExclusively(async () => {
        if (held.grant().id !== grant) return;
        const records = held.unsettledRecords().filter((record) => record.ordinal <= sequence);
        const spent = records.reduce((sum, r) => sum + r.tokens, held.grant().row.spent);
        const outcome = await ledger.settle(held.grant(), spent, sequence);
        applySettlement(outcome);
      }),
    isChargedInFull: () => inherited?.log.isWhole ?? false,
    close: () =>
      runExclusively(async () => {
        const isUsed = held.reservations().size > 0 || held.unsettledRecords().length > 0;
        if (isUsed || queue.count() > 0) return false;
        if (held.grant().version === 0 && !held.isUncertain()) return true;
        const spent = held.spent();
        held.lowerLimit(spent);
        const outcome = inherited?.log.isWhole
          ? await ledger.seal(held.grant(), (row) => row.size)
          : await ledger.close(held.grant(), spent, held.sequence());
        if (outcome.err && outcome.val.kind !== 'sealed') {
          held.markUncertain();
          return false;
        }
        logGrant(Diagnostics.grantClosed, spent);
        witnesses.dropLog(held);
        held = createHeldGrant(createGrant(self, budget));
        return true;
      }),
    describe: () => ({
      budget,
      grant: held.grant().id,
      size: held.grant().row.size,
      spent: held.spent(),
      reserved: held.reserved(),
      free: held.free(),
      reservations: held.reservations().size,
      unsettled: held.unsettledRecords().length,
      waiting: queue.count(),
      rate: Math.round(rate.perSecond()),
    }),
  };
}
