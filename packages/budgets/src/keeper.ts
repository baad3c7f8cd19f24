import { Ok } from 'ts-results';
import { createCondition, Diagnostics } from '@pomeloroad/core';
import type { Diagnostic, Outcome, Tokens } from '@pomeloroad/core';
import { createGrantRefill } from './grantRefill';
import { createGrantSize, isOfDropped } from './grantSize';
import { createGrantWitness } from './grantWitness';
import { createGrant, createHeldGrant } from './heldGrant';
import type { Keeper, KeeperHost } from './keeperTypes';
import { createRateMeter } from './rate';
import { createReservationQueue } from './reservationQueue';
import type { WitnessLog } from './topics';
import type { Grant, LedgerError, ReservationRequest, SettledRecord, UsageRecord } from './types';

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
  const { clock, log, ledger, self, witnesses } = host;
  const rate = createRateMeter(clock, RATE_TIME_CONSTANT_MS);
  const changed = createCondition();
  const queue = createReservationQueue(clock, tryReserve);
  let held = inherited
    ? createHeldGrant(inherited.grant, inherited.log)
    : createHeldGrant(createGrant(self, budget));
  /** Records of ended reservations by identifier, kept to recognize repeated settlements. */
  const ended = new Map<string, SettledRecord | undefined>();
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

  const size = createGrantSize({
    ...host,
    budget,
    queue,
    rate,
    witness,
    getHeld: () => held,
    getShortage,
    runExclusively,
    abandonGrant,
    logGrant,
  });

  const refill = createGrantRefill({
    budget,
    clock,
    ledger,
    queue,
    changed,
    getHeld: () => held,
    getShortage,
    grow: size.grow,
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

  // Applies the outcome of a write of the row that left its size as it was.
  function applySettlement(outcome: Outcome<Grant, LedgerError>): void {
    if (isOfDropped(outcome, held)) return;
    if (outcome.ok) held.applySettlement(outcome.val);
    else if (outcome.val.kind === 'sealed') abandonGrant();
  }

  // Drops a grant that another instance has closed because it considered this one lost.
  // Nothing more may be spent from it.
  function abandonGrant(): void {
    logGrant(Diagnostics.lostGrantClosed, held.grant().row.size);
    ended.clear();
    held = createHeldGrant(createGrant(self, budget));
  }

  function logGrant(event: Diagnostic, tokens: Tokens): void {
    log(event, { budget, grant: held.grant().id, size: tokens, spent: held.spent() });
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
      size.noteRequest(request.tokens);
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
      queue.count() > 0 && !mustYield ? Promise.resolve(0) : size.shrinkTo(() => 0),
    trim: size.trim,
    hasReservation: (reservation) => held.reservations().has(reservation) || ended.has(reservation),
    growEarly: size.growEarly,
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
