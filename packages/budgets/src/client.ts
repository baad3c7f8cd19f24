import { Err, Ok } from 'ts-results';
import { createId, jitter, rankNodes, sleep } from '@pomeloroad/core';
import type { Clock, Identity, Milliseconds, Outcome, Random, Tokens } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { BudgetTopics } from './topics';
import type { SettlementRequest } from './topics';
import type { Placement, ReservationError, UsageDraft, UsageRecord } from './types';

const CALL_MARGIN_MS = 500;
const SETTLE_TIMEOUT_MS = 1000;
const PLACE_TIMEOUT_MS = 3000;
const FIRST_RETRY_MS = 50;
const LAST_RETRY_MS = 2000;
const KEEPERS_TO_TRY = 3;
/** Longer than it takes a successor to take a lost keeper's grant over. */
const SETTLE_PATIENCE_MS = 60_000;

/** What the client needs from its surroundings. */
export interface BudgetClientHost {
  clock: Clock;
  random: Random;
  self: Identity;
  network: PeerNetwork;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
}

/** Tokens held for a request of this instance. */
export interface HeldReservation {
  id: string;
  budget: string;
  /** Name of the instance that holds the tokens. */
  keeper: string;
  tokens: Tokens;
  /** The placement that was noted with the reservation. */
  placement: Placement | undefined;
  /** Must succeed before anything of the request is sent to the endpoint. */
  place(placement: Placement): Promise<boolean>;
  /** Ends the reservation; without a record nothing was used. Returns at once. */
  settle(record: UsageRecord | undefined): void;
}

/** A reservation that another instance made. */
export interface HeldElsewhere {
  budget: string;
  reservation: string;
  keeper: string;
  tokens: Tokens;
}

/** Reserves tokens with the keepers of this data centre. */
export interface BudgetClient {
  reserve(
    draft: UsageDraft,
    tokens: Tokens,
    patience: Milliseconds,
    placement?: Placement,
  ): Promise<Outcome<HeldReservation, ReservationError>>;
  /** Takes over a reservation of a lost instance; `undefined` if it was settled already. */
  adopt(held: HeldElsewhere): Promise<HeldReservation | undefined>;
  /** Settlements that no keeper has confirmed yet. */
  pending(): number;
}

/** Creates the client and answers the keepers' questions about reservations. */
export function createBudgetClient(host: BudgetClientHost): BudgetClient {
  const { clock, random, self, network } = host;
  const known = new Set<string>();
  let settling = 0;

  network.handle(BudgetTopics.confirm, async (_from, { reservations }) =>
    reservations.filter((id) => !known.has(id)),
  );

  async function reserveWith(
    keeper: Identity,
    draft: UsageDraft,
    tokens: Tokens,
    patience: Milliseconds,
    placement?: Placement,
  ) {
    const id = createId();
    const { budget } = draft;
    known.add(id);
    const request = { id, budget, tokens, patience, owner: self, draft, placement };
    const timeout = patience + CALL_MARGIN_MS;
    const { instance } = keeper;
    const reply = await network.call(instance, BudgetTopics.reserve, request, timeout);
    if (reply.err) {
      known.delete(id);
      return Err({ kind: 'silent' as const, message: reply.val.message });
    }
    const answer = reply.val;
    if (answer.kind === 'reserved') {
      return Ok(hold(keeper, id, budget, tokens, answer.isPlaced ? placement : undefined));
    }
    known.delete(id);
    return Err(answer);
  }

  function hold(
    keeper: Identity,
    id: string,
    budget: string,
    tokens: Tokens,
    noted?: Placement,
  ): HeldReservation {
    let isOpen = true;
    return {
      id,
      budget,
      keeper: keeper.instance,
      tokens,
      placement: noted,
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
    settling += 1;
    const request = { budget, reservation, record };
    const deadline = clock.elapsed() + SETTLE_PATIENCE_MS;
    let delay = FIRST_RETRY_MS;
    let isSettled = false;
    while (!isSettled && clock.elapsed() < deadline) {
      isSettled = await settleOnce(keeper, request);
      if (!isSettled) await sleep(clock, jitter(random, delay));
      delay = Math.min(delay * 2, LAST_RETRY_MS);
    }
    known.delete(reservation);
    settling -= 1;
  }

  // Once the keeper is lost, its successor holds the reservation; any peer may be that.
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
    async reserve(draft, tokens, patience, placement) {
      const ranked = rankNodes(draft.budget, host.getLocalInstances());
      const keepers = ranked
        .map((instance) => network.getIdentity(instance))
        .filter((identity) => identity !== undefined)
        .slice(0, KEEPERS_TO_TRY);
      let message = 'no budget keeper in this data centre answers';
      for (const keeper of keepers) {
        const outcome = await reserveWith(keeper, draft, tokens, patience, placement);
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
      known.add(reservation);
      const request = { budget, reservation, owner: self };
      const reply = await network.call(keeper, BudgetTopics.adopt, request, PLACE_TIMEOUT_MS);
      if (reply.ok && reply.val) return hold(identity, reservation, budget, tokens);
      known.delete(reservation);
      return undefined;
    },
    pending: () => settling,
  };
}
