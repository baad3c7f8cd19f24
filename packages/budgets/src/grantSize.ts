import { Diagnostics } from '@pomeloroad/core';
import type { Diagnostic, Outcome, Tokens } from '@pomeloroad/core';
import type { Sizer } from './grantPlans';
import type { GrantWitness } from './grantWitness';
import type { HeldGrant } from './heldGrant';
import type { Keeper, KeeperHost } from './keeperTypes';
import type { RateMeter } from './rate';
import type { ReservationQueue } from './reservationQueue';
import { getGrantGrowth, getIdleLimit } from './sizing';
import type { BudgetRow, Grant, LedgerError } from './types';

/** Ratio to which the largest recent reservation decays with each request. */
const PEAK_DECAY_RATIO = 0.9;

/** Dependencies of the size of a keeper's grant. */
export interface GrantSizeHost extends Pick<
  KeeperHost,
  'ledger' | 'policy' | 'getDataCentres' | 'isTableUnreachable'
> {
  budget: string;
  queue: ReservationQueue;
  /** Rate at which tokens are spent. */
  rate: RateMeter;
  witness: GrantWitness;
  /** The grant that the keeper holds at present. */
  getHeld(): HeldGrant;
  /** Tokens that the waiting requests need beyond what is free. */
  getShortage(): Tokens;
  /** Runs a step that writes the grant's row once the earlier ones have ended. */
  runExclusively<T>(step: () => Promise<T>): Promise<T>;
  /** Drops the grant, since a successor has closed it. */
  abandonGrant(): void;
  logGrant(event: Diagnostic, size: Tokens): void;
}

/** The size of a keeper's grant, which follows what requests need. */
export interface GrantSize extends Pick<Keeper, 'trim' | 'growEarly'> {
  /** Counts a request among those that the idle tokens are to be enough for. */
  noteRequest(tokens: Tokens): void;
  /** Grows the grant as far as the budget allows. */
  grow(): Promise<Outcome<Grant, LedgerError>>;
  /** Shrinks the grant, at most down to the tokens in use, and returns the number released. */
  shrinkTo(getKept: () => Tokens): Promise<Tokens>;
}

/** Creates the size of a grant that is not written yet or was inherited. */
export function createGrantSize(host: GrantSizeHost): GrantSize {
  const { budget, ledger, policy, queue, rate, witness } = host;
  const { getHeld, getShortage, runExclusively, abandonGrant, logGrant } = host;
  /** Largest recent reservation; it decays with each request. */
  let recentPeakTokens = 0;
  /** Free tokens after the last change of the grant's size. */
  let freeAfterResize = 0;

  function grow(): Promise<Outcome<Grant, LedgerError>> {
    return runExclusively(async () => {
      const row = await ledger.readBudget(budget);
      if (row.err) return row;
      if (getHeld().grant().version === 0) await witness.open();
      const held = getHeld();
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
    const held = getHeld();
    if (isOfDropped(outcome, held)) return;
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

  async function shrinkTo(getKept: () => Tokens): Promise<Tokens> {
    return runExclusively(async () => {
      const before = getHeld();
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

  return {
    noteRequest(tokens) {
      recentPeakTokens = Math.max(recentPeakTokens * PEAK_DECAY_RATIO, tokens);
    },
    grow,
    shrinkTo,
    async trim() {
      const held = getHeld();
      const limit = getIdleLimit(policy, rate.perSecond(), recentPeakTokens);
      if (queue.count() > 0 || held.free() <= limit) return;
      await shrinkTo(() => getHeld().spent() + getHeld().reserved() + Math.ceil(limit / 2));
    },
    async growEarly() {
      const held = getHeld();
      if (policy.kind !== 'adaptive' || held.grant().version === 0) return;
      if (queue.count() > 0 || host.isTableUnreachable()) return;
      if (held.free() < freeAfterResize / 2) await grow();
    },
  };
}

/** Returns whether a written grant is one that was dropped while the write was waited for. */
export function isOfDropped(outcome: Outcome<Grant, LedgerError>, held: HeldGrant): boolean {
  return outcome.ok && outcome.val.id !== held.grant().id;
}
