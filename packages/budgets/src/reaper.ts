import { Diagnostics, groupBy } from '@pomeloroad/core';
import type { Clock, Identity, Log, Milliseconds, Tokens } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Reservation } from './heldGrant';
import type { Keeper } from './keeperTypes';
import { BudgetTopics } from './topics';
import type { Placement, UsageRecord } from './types';

const CONFIRM_TIMEOUT_MS = 1000;
/** The owner is not asked to confirm reservations younger than this. */
const CONFIRM_MIN_AGE_MS = 10_000;
/** Younger reservations are neither confirmed nor settled for a lost owner. */
const ORPHAN_MIN_AGE_MS = 5000;
/** How long a retry may take over a request with an idempotency key from a lost instance. */
const TAKE_OVER_WINDOW_MS = 12_000;

const NO_USAGE: Usage = { promptTokens: 0, completionTokens: 0 };

/** Services that ending the reservations of others depends on. */
export interface ReaperHost {
  clock: Clock;
  log: Log;
  network: PeerNetwork;
  /** Whether the incarnation answered recently. */
  isLive(identity: Identity): boolean;
  /** Stops a request on its endpoints and returns what it used; `undefined` if not known yet. */
  stopRequest(placements: Placement[], reserved: Tokens): Promise<Usage | undefined>;
}

/** Tokens that a stopped request used. */
export interface Usage {
  promptTokens: Tokens;
  completionTokens: Tokens;
}

/** Ends reservations that their owners will not settle. */
export interface Reaper {
  /** Settles the keeper's reservations whose owner is lost or does not know them. */
  reap(keeper: Keeper): Promise<void>;
}

/** Creates a reaper for all keepers of an instance. */
export function createReaper(host: ReaperHost): Reaper {
  const { clock, log, network } = host;
  /** When each owner of reservations was first seen not to be live, by incarnation. */
  const lostSince = new Map<string, Milliseconds>();

  async function reap(keeper: Keeper): Promise<void> {
    const old = keeper.reservations().filter((r) => clock.elapsed() - r.at > ORPHAN_MIN_AGE_MS);
    const lost = old.filter((reservation) => isAbandoned(reservation));
    const live = old.filter((reservation) => host.isLive(reservation.owner));
    await Promise.all(lost.map((reservation) => settleOrphan(keeper, reservation)));
    await confirmReservations(keeper, live);
  }

  // A reservation with an idempotency key is kept for a while, as a retry may take it over.
  function isAbandoned({ owner, draft }: Reservation): boolean {
    if (host.isLive(owner)) {
      lostSince.delete(owner.incarnation);
      return false;
    }
    const since = lostSince.get(owner.incarnation) ?? clock.elapsed();
    lostSince.set(owner.incarnation, since);
    return draft.key === undefined || clock.elapsed() - since >= TAKE_OVER_WINDOW_MS;
  }

  async function settleOrphan(keeper: Keeper, reservation: Reservation): Promise<void> {
    const { id, placements, draft, tokens: reserved } = reservation;
    const usage = placements.length === 0 ? NO_USAGE : await host.stopRequest(placements, reserved);
    if (!usage || host.isLive(reservation.owner)) return;
    const { promptTokens, completionTokens } = usage;
    log(Diagnostics.reservationOrphaned, { reservation: id, promptTokens, completionTokens });
    const tokens = promptTokens + completionTokens;
    const record: UsageRecord = { ...draft, ...usage, tokens, at: clock.now().toISOString() };
    await keeper.settle(id, record);
  }

  async function confirmReservations(keeper: Keeper, reservations: Reservation[]): Promise<void> {
    const old = reservations.filter(({ at }) => clock.elapsed() - at > CONFIRM_MIN_AGE_MS);
    const byOwner = groupBy(old, (reservation) => reservation.owner.instance);
    const confirmations = [...byOwner].map(async ([owner, owned]) => {
      const request = { reservations: owned.map(({ id }) => id) };
      const reply = await network.call(owner, BudgetTopics.confirm, request, CONFIRM_TIMEOUT_MS);
      if (reply.err) return;
      await Promise.all(reply.val.map((id) => keeper.settle(id, undefined)));
    });
    await Promise.all(confirmations);
  }

  return { reap };
}
