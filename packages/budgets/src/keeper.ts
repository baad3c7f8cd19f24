import { Err, Ok } from 'ts-results';
import { createCondition, createId, Diagnostics, withTimeout } from '@pomeloroad/core';
import type { Identity, Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import { createHolding } from './holding';
import type { Sizer } from './ledger';
import { getUnallocated } from './rows';
import type { Keeper, KeeperHost } from './keeperTypes';
import { createRateMeter } from './rate';
import type { WitnessLog } from './topics';
import type { NoteOutcome } from './witnessLink';
import { getGrowth, getIdleLimit } from './sizing';
import type {
  BudgetRow,
  Grant,
  LedgerError,
  ReservationError,
  ReservationRequest,
  SettledRecord,
  UsageRecord,
} from './types';

const RATE_CONSTANT_MS = 60_000;
const FIRST_WAIT_MS = 25;
const LAST_WAIT_MS = 400;
const ENDINGS_KEPT = 1000;

interface Waiter {
  request: ReservationRequest;
  deadline: Milliseconds;
  resolve(outcome: Outcome<void, ReservationError>): void;
}

/** Creates the keeper of a budget; it opens a grant with the first reservation. */
export function createKeeper(
  host: KeeperHost,
  budget: string,
  inherited?: { grant: Grant; log: WitnessLog },
): Keeper {
  const { clock, log, ledger, policy, self, witnesses } = host;
  const rate = createRateMeter(clock, RATE_CONSTANT_MS);
  const changed = createCondition();
  let holding = inherited
    ? createHolding(inherited.grant, inherited.log)
    : createHolding(createGrant(self, budget));
  /** Reservations that ended, so that a repeated settlement is known. */
  const endings = new Map<string, SettledRecord | undefined>();
  let isWhole = false;
  let waiters: Waiter[] = [];
  let isRefilling = false;
  let typical = 0;
  /** What was free after the last change of the grant's size. */
  let stocked = 0;
  let tableTask: Promise<unknown> = Promise.resolve();

  // One table operation at a time: the grant's row has a single writer.
  function exclusively<T>(step: () => Promise<T>): Promise<T> {
    const result = tableTask.then(step);
    tableTask = result;
    return result;
  }

  async function refill(): Promise<void> {
    if (isRefilling) return;
    isRefilling = true;
    let wait = FIRST_WAIT_MS;
    while (waiters.length > 0) {
      await refillOnce();
      if (waiters.length > 0) await withTimeout(clock, wait, changed.wait(), undefined);
      wait = Math.min(wait * 2, LAST_WAIT_MS);
    }
    isRefilling = false;
  }

  async function refillOnce(): Promise<void> {
    const grown = await grow();
    serveWaiters();
    if (grown.err) {
      refuseExpired({ kind: 'unreachable', message: 'the table service does not answer' });
      return;
    }
    if (waiters.length === 0) return;
    const remaining = await recallOthers();
    serveWaiters();
    refuseHopeless(remaining);
    refuseExpired({ kind: 'exhausted', remaining });
  }

  async function recallOthers(): Promise<Tokens> {
    const row = await ledger.readBudget(budget);
    if (row.err) return Infinity;
    const others = Object.keys(row.val.open).filter((id) => id !== holding.grant().id);
    const summary = await host.recall(budget, others, getShortage());
    if (summary.released > 0) {
      await grow();
      return Infinity;
    }
    return getOwnPart() + summary.pending + getUnallocated(row.val);
  }

  function getOwnPart(): Tokens {
    return holding.free() + holding.reserved();
  }

  function getShortage(): Tokens {
    const wanted = waiters.reduce((sum, waiter) => sum + waiter.request.tokens, 0);
    return Math.max(0, wanted - holding.free());
  }

  function grow(): Promise<Outcome<Grant, LedgerError>> {
    return exclusively(async () => {
      const row = await ledger.readBudget(budget);
      if (row.err) return row;
      if (holding.grant().version === 0) await openWitness();
      const outcome = await ledger.resize(holding.grant(), growBy(row.val), holding.isUncertain());
      takeOutcome(outcome);
      return outcome;
    });
  }

  function growBy(row: BudgetRow): Sizer {
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
      return size + getGrowth(policy, demand);
    };
  }

  // A witness is named in the grant's row only after it has opened its log.
  async function openWitness(): Promise<void> {
    const witness = witnesses.pick(budget);
    const isOpen = witness && (await witnesses.open(holding, witness, false)) === 'noted';
    isWhole = false;
    holding.setWitness(isOpen ? witness : undefined);
  }

  /** Whether a successor would know what the note says, or charge the whole grant anyway. */
  async function isWitnessed(outcome: NoteOutcome): Promise<boolean> {
    if (outcome === 'noted') return true;
    if (outcome === 'sealed') {
      abandon();
      return false;
    }
    return isWhole || replaceWitness();
  }

  function replaceWitness(): Promise<boolean> {
    return exclusively(async () => {
      const witness = witnesses.pick(budget, holding.grant().row.witness);
      const isOpen = witness && (await witnesses.open(holding, witness, false)) === 'noted';
      const next = isOpen ? witness : undefined;
      const outcome = await ledger.setWitness(holding.grant(), next);
      if (outcome.ok) holding.adoptSettled(outcome.val);
      else if (outcome.val.kind === 'sealed') abandon();
      return outcome.ok;
    });
  }

  function takeOutcome(outcome: Outcome<Grant, LedgerError>): void {
    if (outcome.ok) {
      const { version, row } = outcome.val;
      if (holding.grant().version === 0 && version > 0) logGrant(Diagnostics.grantOpened, row.size);
      else if (row.size !== holding.grant().row.size) logGrant(Diagnostics.grantResized, row.size);
      holding.adopt(outcome.val);
      stocked = holding.free();
      return;
    }
    if (outcome.val.kind === 'sealed') abandon();
    else holding.markUncertain();
  }

  // Another instance took this one for dead and charged the grant: nothing more may be spent of it.
  function abandon(): void {
    logGrant(Diagnostics.lostGrantClosed, holding.grant().row.size);
    endings.clear();
    holding = createHolding(createGrant(self, budget));
  }

  function logGrant(event: (typeof Diagnostics)[keyof typeof Diagnostics], size: Tokens): void {
    log(event, { budget, grant: holding.grant().id, size, spent: holding.spent() });
  }

  function serveWaiters(): void {
    waiters = waiters.filter((waiter) => {
      if (holding.free() < waiter.request.tokens) return true;
      holding.reserve(waiter.request, clock.elapsed());
      waiter.resolve(Ok.EMPTY);
      return false;
    });
  }

  function refuseHopeless(remaining: Tokens): void {
    refuseIf((waiter) => waiter.request.tokens > remaining, { kind: 'exhausted', remaining });
  }

  function refuseExpired(error: ReservationError): void {
    refuseIf((waiter) => clock.elapsed() >= waiter.deadline, error);
  }

  function refuseIf(test: (waiter: Waiter) => boolean, error: ReservationError): void {
    const refused = waiters.filter(test);
    waiters = waiters.filter((waiter) => !refused.includes(waiter));
    refused.forEach((waiter) => waiter.resolve(Err(error)));
  }

  async function shrinkTo(getKept: () => Tokens): Promise<Tokens> {
    return exclusively(async () => {
      const before = holding;
      const kept = Math.max(getKept(), before.spent() + before.reserved());
      const released = before.limit() - kept;
      if (released <= 0 || before.grant().version === 0) return 0;
      // The tokens are out of use from here on, whatever becomes of the write.
      before.lower(kept);
      const outcome = await ledger.resize(before.grant(), () => kept, before.isUncertain());
      takeOutcome(outcome);
      return outcome.ok ? released : 0;
    });
  }

  function endReservation(id: string, record: UsageRecord | undefined): void {
    rate.add(record?.tokens ?? 0);
    endings.set(id, holding.end(id, record));
    const [oldest] = endings.keys();
    if (endings.size > ENDINGS_KEPT && oldest !== undefined) endings.delete(oldest);
    serveWaiters();
    changed.notify();
  }

  async function noteReservation(id: string): Promise<boolean> {
    const current = holding;
    const reservation = current.reservations().get(id);
    if (!reservation) return false;
    const isNoted = await isWitnessed(await witnesses.note(current, reservation));
    return isNoted && holding === current;
  }

  return {
    async reserve(request) {
      typical = Math.max(typical * 0.9, request.tokens);
      if (holding.reservations().has(request.id)) return Ok.EMPTY;
      if (waiters.length === 0 && holding.free() >= request.tokens) {
        holding.reserve(request, clock.elapsed());
        return Ok.EMPTY;
      }
      const deadline = clock.elapsed() + request.patience;
      return new Promise((resolve) => {
        waiters.push({ request, deadline, resolve });
        changed.notify();
        refill();
      });
    },
    async settle(reservation, record) {
      const current = holding;
      if (current.reservations().has(reservation)) endReservation(reservation, record);
      else if (!endings.has(reservation)) return 'unknown';
      const outcome = await witnesses.end(current, reservation, endings.get(reservation));
      return (await isWitnessed(outcome)) && holding === current ? 'settled' : 'unknown';
    },
    async place(reservation, placement) {
      if (!holding.place(reservation, placement)) return false;
      return noteReservation(reservation);
    },
    async adopt(reservation, owner) {
      if (!holding.changeOwner(reservation, owner)) return false;
      return noteReservation(reservation);
    },
    async maintainWitness(isSilent) {
      if (holding.grant().version === 0) return;
      const { witness } = holding.grant().row;
      if (!witness || !witnesses.isPresent(witness)) {
        if (!isSilent && (witness || witnesses.pick(budget))) await replaceWitness();
        return;
      }
      if (isSilent === isWhole) return;
      const outcome = await witnesses.open(holding, witness, isSilent);
      if (outcome === 'noted') isWhole = isSilent;
      if (outcome === 'sealed') abandon();
    },
    release: (mustYield) =>
      waiters.length > 0 && !mustYield ? Promise.resolve(0) : shrinkTo(() => 0),
    async trim() {
      const limit = getIdleLimit(policy, rate.perSecond(), typical);
      if (waiters.length > 0 || holding.free() <= limit) return;
      await shrinkTo(() => holding.spent() + holding.reserved() + Math.ceil(limit / 2));
    },
    holds: (reservation) => holding.reservations().has(reservation) || endings.has(reservation),
    async stockUp() {
      if (policy.kind !== 'adaptive' || holding.grant().version === 0) return;
      if (waiters.length > 0 || host.isSilent()) return;
      if (holding.free() < stocked / 2) await grow();
    },
    reservations: () => [...holding.reservations().values()],
    unsettled: () => holding.unsettled(),
    settleRow: (grant, sequence) =>
      exclusively(async () => {
        if (holding.grant().id !== grant) return;
        const records = holding.unsettled().filter((record) => record.ordinal <= sequence);
        const spent = records.reduce((sum, r) => sum + r.tokens, holding.grant().row.spent);
        const outcome = await ledger.settle(holding.grant(), spent, sequence);
        if (outcome.ok) holding.adoptSettled(outcome.val);
        else if (outcome.val.kind === 'sealed') abandon();
      }),
    isChargedWhole: () => inherited?.log.isWhole ?? false,
    close: () =>
      exclusively(async () => {
        const isUsed = holding.reservations().size > 0 || holding.unsettled().length > 0;
        if (isUsed || waiters.length > 0) return false;
        if (holding.grant().version === 0 && !holding.isUncertain()) return true;
        const spent = holding.spent();
        holding.lower(spent);
        const outcome = inherited?.log.isWhole
          ? await ledger.seal(holding.grant(), (row) => row.size)
          : await ledger.close(holding.grant(), spent, holding.sequence());
        if (outcome.err && outcome.val.kind !== 'sealed') {
          holding.markUncertain();
          return false;
        }
        logGrant(Diagnostics.grantClosed, spent);
        witnesses.drop(holding);
        holding = createHolding(createGrant(self, budget));
        return true;
      }),
    describe: () => ({
      budget,
      grant: holding.grant().id,
      size: holding.grant().row.size,
      spent: holding.spent(),
      reserved: holding.reserved(),
      free: holding.free(),
      reservations: holding.reservations().size,
      unsettled: holding.unsettled().length,
      waiting: waiters.length,
      rate: Math.round(rate.perSecond()),
    }),
  };
}

/** A grant of this holder that is not written yet. */
export function createGrant(self: Identity, budget: string, witness?: Identity): Grant {
  const id = `${self.dataCentre}/${self.instance}/${self.incarnation}/${budget}/${createId()}`;
  return {
    id,
    version: 0,
    row: {
      budget,
      holder: self,
      witness,
      size: 0,
      spent: 0,
      sequence: 0,
      state: 'open',
      writtenOff: 0,
    },
  };
}
