import { Err, Ok } from 'ts-results';
import { createId, jitter, rankNodes, sleep } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds, Outcome, Random, Tokens } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { BudgetTopics } from './topics';
import type { SettlementRequest } from './topics';
import type { Placement, ReservationError, UsageDraft, UsageRecord } from './types';

/** Time that a call to a keeper may take beyond the patience of its reservation. */
const RESERVE_CALL_MARGIN_MS = 500;
const SETTLE_TIMEOUT_MS = 1000;
const PLACE_TIMEOUT_MS = 3000;
const SETTLE_BACKOFF_MIN_MS = 50;
const SETTLE_BACKOFF_MAX_MS = 2000;
const MAX_KEEPERS_TRIED = 3;
/** Longer than a successor takes to take over the grant of a lost keeper. */
const SETTLE_RETRY_LIMIT_MS = 60_000;

/** Services and settings that the budget client depends on. */
export interface BudgetClientHost {
  clock: Clock;
  random: Random;
  self: Identity;
  network: PeerNetwork;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
}

/** Tokens that a keeper has reserved for a request of this instance. */
export interface HeldReservation {
  id: string;
  budget: string;
  /** Name of the instance that holds the tokens. */
  keeper: string;
  tokens: Tokens;
  /** The placement that was noted together with the reservation, if any. */
  placement: Placement | undefined;
  /** Notes a placement; must resolve to true before anything of the request is sent there. */
  place(placement: Placement): Promise<boolean>;
  /** Ends the reservation in the background; without a record nothing was used. */
  settle(record: UsageRecord | undefined): void;
}

/** Refers to a reservation that another instance made. */
export interface RemoteReservation {
  budget: string;
  reservation: string;
  keeper: string;
  tokens: Tokens;
}

/** Returns where the request of a reservation is about to run. */
export type CreatePlacement = (reservation: string) => Placement;

/**
 * Returns the name of an attempt's stream under a reservation. Another reservation has another one:
 * its keeper, which may know of it alone, must not bill the stream that ran under this one.
 */
export function nameStream(attempt: string, reservation: string): string {
  return `${attempt}.${reservation}`;
}

/** Reserves tokens with the keepers of this data centre. */
export interface BudgetClient {
  /**
   * Reserves tokens with the first keeper that can. `exhausted` is final; after any other error the
   * next keeper is tried, and `unreachable` is returned if none is left. `createPlacement` returns
   * the placement to note for a reservation; it must name a stream of the reservation's own.
   */
  reserve(
    draft: UsageDraft,
    tokens: Tokens,
    patience: Milliseconds,
    createPlacement?: CreatePlacement,
  ): Promise<Outcome<HeldReservation, ReservationError>>;
  /** Takes over a reservation of a lost instance; `undefined` if its keeper does not confirm it. */
  adopt(held: RemoteReservation): Promise<HeldReservation | undefined>;
  /** Returns the number of settlements that no keeper has confirmed yet. */
  countPendingSettlements(): number;
}

/** Creates the client and answers the keepers' requests to confirm reservations. */
export function createBudgetClient(host: BudgetClientHost): BudgetClient {
  const { clock, random, self, network } = host;
  /** Reservations of this instance that are not settled yet. */
  const ownReservations = new Set<string>();
  let pendingCount = 0;

  network.handle(BudgetTopics.confirm, async (_from, { reservations }) =>
    reservations.filter((id) => !ownReservations.has(id)),
  );

  async function reserveWith(
    keeper: Identity,
    draft: UsageDraft,
    tokens: Tokens,
    patience: Milliseconds,
    createPlacement?: CreatePlacement,
  ) {
    const id = createId();
    const placement = createPlacement?.(id);
    const { budget } = draft;
    ownReservations.add(id);
    const request = { id, budget, tokens, patience, owner: self, draft, placement };
    const timeout = patience + RESERVE_CALL_MARGIN_MS;
    const { instance } = keeper;
    const reply = await network.call(instance, BudgetTopics.reserve, request, timeout);
    if (reply.err) {
      ownReservations.delete(id);
      return Err({ kind: 'silent' as const, message: reply.val.message });
    }
    const answer = reply.val;
    if (answer.kind === 'reserved') {
      return Ok(createHandle(keeper, id, budget, tokens, answer.isPlaced ? placement : undefined));
    }
    ownReservations.delete(id);
    return Err(answer);
  }

  function createHandle(
    keeper: Identity,
    id: string,
    budget: string,
    tokens: Tokens,
    notedPlacement?: Placement,
  ): HeldReservation {
    let isOpen = true;
    return {
      id,
      budget,
      keeper: keeper.instance,
      tokens,
      placement: notedPlacement,
      async place(placement) {
        const request = { budget, reservation: id, placement };
        const { instance } = keeper;
        const reply = await network.call(instance, BudgetTopics.place, request, PLACE_TIMEOUT_MS);
        return reply.ok && reply.val;
      },
      settle(record) {
        if (!isOpen) return;
        isOpen = false;
        settleUntilConfirmed(keeper, id, budget, record);
      },
    };
  }

  async function settleUntilConfirmed(
    keeper: Identity,
    reservation: string,
    budget: string,
    record: UsageRecord | undefined,
  ): Promise<void> {
    pendingCount += 1;
    const request = { budget, reservation, record };
    const deadline = clock.elapsed() + SETTLE_RETRY_LIMIT_MS;
    let delay = SETTLE_BACKOFF_MIN_MS;
    let isSettled = false;
    while (!isSettled && clock.elapsed() < deadline) {
      isSettled = await settleOnce(keeper, request);
      if (!isSettled) await sleep(clock, jitter(random, delay));
      delay = Math.min(delay * 2, SETTLE_BACKOFF_MAX_MS);
    }
    ownReservations.delete(reservation);
    pendingCount -= 1;
  }

  // If the keeper is lost, its successor has the reservation. Any peer may be the successor.
  async function settleOnce(keeper: Identity, request: SettlementRequest): Promise<boolean> {
    const present = network.getIdentity(keeper.instance);
    if (present?.incarnation === keeper.incarnation) {
      if (await settleWith(keeper.instance, request)) return true;
    }
    const others = host.getLocalInstances().filter((name) => name !== keeper.instance);
    const replies = await Promise.all(others.map((name) => settleWith(name, request)));
    return replies.includes(true);
  }

  async function settleWith(instance: string, request: SettlementRequest): Promise<boolean> {
    const { settle } = BudgetTopics;
    const reply = await network.call(instance, settle, request, SETTLE_TIMEOUT_MS);
    return reply.ok && reply.val === 'settled';
  }

  return {
    async reserve(draft, tokens, patience, createPlacement) {
      const ranked = rankNodes(draft.budget, host.getLocalInstances());
      const keepers = ranked
        .map((instance) => network.getIdentity(instance))
        .filter((identity) => identity !== undefined)
        .slice(0, MAX_KEEPERS_TRIED);
      let message = 'no budget keeper in this data centre answers';
      for (const keeper of keepers) {
        const outcome = await reserveWith(keeper, draft, tokens, patience, createPlacement);
        if (outcome.ok) return outcome;
        const error = outcome.val.kind === 'refused' ? outcome.val.error : outcome.val;
        if (error.kind === 'exhausted') return Err(error);
        message = error.message;
      }
      return Err({ kind: 'unreachable', message });
    },
    async adopt({ budget, reservation, keeper, tokens }) {
      const identity = network.getIdentity(keeper);
      if (!identity) return undefined;
      ownReservations.add(reservation);
      const request = { budget, reservation, owner: self };
      const reply = await network.call(keeper, BudgetTopics.adopt, request, PLACE_TIMEOUT_MS);
      if (reply.ok && reply.val) return createHandle(identity, reservation, budget, tokens);
      ownReservations.delete(reservation);
      return undefined;
    },
    countPendingSettlements: () => pendingCount,
  };
}
