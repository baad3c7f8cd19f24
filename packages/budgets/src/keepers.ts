import { createId, Diagnostics, getOwner } from '@pomeloroad/core';
import type { Clock, Identity, Log, Tokens } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { ObjectStore, Row, Table } from '@pomeloroad/platform';
import type { Reservation } from './holding';
import { createKeeper } from './keeper';
import type { Keeper, KeeperStatus, RecallSummary } from './keeper';
import { createLedger } from './ledger';
import { getGrantPrefix, LedgerPrefix, parseGrant } from './rows';
import { settleKeepers } from './settlement';
import type { GrantPolicy } from './sizing';
import { BudgetTopics } from './topics';
import type { ReservationReply } from './topics';
import type { Grant, Placement, UsageRecord } from './types';

const RECALL_TIMEOUT_MS = 1500;
const CONFIRM_TIMEOUT_MS = 1000;
/** A reservation younger than this is not questioned. */
const CONFIRM_AGE_MS = 10_000;
/** How long a reservation waits for somebody to resume its request. */
const ORPHAN_AGE_MS = 5000;

/** What the budget keepers of an instance need from their surroundings. */
export interface KeepersHost {
  clock: Clock;
  log: Log;
  self: Identity;
  table: Table;
  objects: ObjectStore;
  network: PeerNetwork;
  policy: GrantPolicy;
  getDataCentres(): number;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
  /** Whether this incarnation answered lately. */
  isLive(identity: Identity): boolean;
  /** Whether this incarnation is gone for good, as far as the platform's list tells. */
  isLost(identity: Identity): boolean;
  /** Stops the request where it runs and tells its cost; `undefined` if that can't be told yet. */
  stopRequest(placements: Placement[], reserved: Tokens): Promise<Usage | undefined>;
}

/** What a stopped request used. */
export interface Usage {
  promptTokens: Tokens;
  completionTokens: Tokens;
}

/** The budget keepers of one instance. */
export interface Keepers {
  /** Writes usage records and the grants' progress. */
  settle(): Promise<void>;
  /** Returns idle tokens, and gives up grants that another instance keeps now. */
  trim(): Promise<void>;
  /** Settles reservations whose owner is lost or does not know them. */
  reap(): Promise<void>;
  /** Closes the grants of lost incarnations of this data centre, if this instance is in charge. */
  adoptLost(): Promise<void>;
  /** Closes every grant without reservations; whether none is left. */
  close(): Promise<boolean>;
  describe(): KeeperStatus[];
}

/** Creates the keepers and answers their messages. */
export function createKeepers(host: KeepersHost): Keepers {
  const { clock, log, self, network, table } = host;
  const ledger = createLedger({ clock, table });
  const keepers = new Map<string, Keeper>();

  network.handle(BudgetTopics.reserve, async (_from, request) => {
    const outcome = await getKeeper(request.budget).reserve(request);
    const reply: ReservationReply = outcome.ok
      ? { kind: 'reserved' }
      : { kind: 'refused', error: outcome.val };
    return reply;
  });
  network.handle(BudgetTopics.settle, async (_from, { budget, reservation, record }) => {
    keepers.get(budget)?.settle(reservation, record);
  });
  network.handle(
    BudgetTopics.place,
    async (_from, { budget, reservation, placement }) =>
      keepers.get(budget)?.place(reservation, placement) ?? false,
  );
  network.handle(
    BudgetTopics.adopt,
    async (_from, { budget, reservation, owner }) =>
      keepers.get(budget)?.adopt(reservation, owner) ?? false,
  );
  network.handle(BudgetTopics.recall, async (from, { budget }) => {
    const keeper = keepers.get(budget);
    if (!keeper) return { released: 0, reserved: 0 };
    // Of two keepers short of the same budget one must yield, or neither could serve.
    const released = await keeper.release(from.instance < self.instance);
    const { reserved, free } = keeper.describe();
    return { released, reserved: reserved + free };
  });

  function getKeeper(budget: string): Keeper {
    const known = keepers.get(budget);
    if (known) return known;
    const keeper = createKeeper({ ...host, ledger, recall }, budget);
    keepers.set(budget, keeper);
    return keeper;
  }

  async function recall(budget: string, grants: string[], tokens: Tokens): Promise<RecallSummary> {
    const holders = [...new Set(grants.map(getGrantHolder))].filter((h) => h !== self.instance);
    const replies = await Promise.all(
      holders.map((holder) =>
        network.call(holder, BudgetTopics.recall, { budget, tokens }, RECALL_TIMEOUT_MS),
      ),
    );
    const summary: RecallSummary = { released: 0, pending: 0 };
    replies.forEach((reply) => {
      summary.released += reply.ok ? reply.val.released : 0;
      // What an unreachable holder has is out of reach: waiting for it would only delay the answer.
      summary.pending += reply.ok ? reply.val.reserved : 0;
    });
    return summary;
  }

  async function reapKeeper(keeper: Keeper): Promise<void> {
    const old = keeper.reservations().filter((r) => clock.elapsed() - r.at > ORPHAN_AGE_MS);
    const lost = old.filter((reservation) => !host.isLive(reservation.owner));
    const live = old.filter((reservation) => host.isLive(reservation.owner));
    await Promise.all(lost.map((reservation) => settleOrphan(keeper, reservation)));
    await confirmReservations(keeper, live);
  }

  async function settleOrphan(keeper: Keeper, reservation: Reservation): Promise<void> {
    const { id, placements, draft, tokens: reserved } = reservation;
    const usage = placements.length === 0 ? NO_USAGE : await host.stopRequest(placements, reserved);
    if (!usage || host.isLive(reservation.owner)) return;
    const { promptTokens, completionTokens } = usage;
    log(Diagnostics.reservationOrphaned, { reservation: id, promptTokens, completionTokens });
    const tokens = promptTokens + completionTokens;
    const record: UsageRecord = { ...draft, ...usage, tokens, at: clock.now().toISOString() };
    keeper.settle(id, record);
  }

  async function confirmReservations(keeper: Keeper, reservations: Reservation[]): Promise<void> {
    const byOwner = new Map<string, string[]>();
    reservations
      .filter((reservation) => clock.elapsed() - reservation.at > CONFIRM_AGE_MS)
      .forEach(({ id, owner }) => {
        byOwner.set(owner.instance, [...(byOwner.get(owner.instance) ?? []), id]);
      });
    const confirmations = [...byOwner].map(async ([owner, ids]) => {
      const request = { reservations: ids };
      const reply = await network.call(owner, BudgetTopics.confirm, request, CONFIRM_TIMEOUT_MS);
      if (reply.ok) reply.val.forEach((id) => keeper.settle(id, undefined));
    });
    await Promise.all(confirmations);
  }

  async function trimKeeper(budget: string, keeper: Keeper): Promise<void> {
    const owner = getOwner(budget, host.getLocalInstances());
    if (owner === undefined || owner === self.instance) {
      await keeper.trim();
      return;
    }
    await keeper.release(false);
    await keeper.close();
  }

  return {
    settle: () => settleKeepers({ ...host, segmentId: createId }, [...keepers.values()]),
    async trim() {
      await Promise.all([...keepers].map(([budget, keeper]) => trimKeeper(budget, keeper)));
    },
    async reap() {
      await Promise.all([...keepers.values()].map(reapKeeper));
    },
    async adoptLost() {
      if (getOwner('grants', host.getLocalInstances()) !== self.instance) return;
      const rows = await table.scan(getGrantPrefix(self.dataCentre));
      if (rows.err) return;
      const grants = rows.val.map(toGrant).filter((grant) => host.isLost(grant.row.holder));
      await Promise.all(grants.map(sealGrant));
    },
    async close() {
      const closed = await Promise.all([...keepers.values()].map((keeper) => keeper.close()));
      return closed.every((isClosed) => isClosed);
    },
    describe: () => [...keepers.values()].map((keeper) => keeper.describe()),
  };

  async function sealGrant(grant: Grant): Promise<void> {
    const outcome = await ledger.seal(grant, (row) => row.size);
    if (outcome.err) return;
    const { writtenOff } = outcome.val.row;
    log(Diagnostics.grantAdopted, { grant: grant.id, writtenOff });
  }
}

function toGrant(row: Row): Grant {
  const id = row.key.slice(LedgerPrefix.grant.length);
  return { id, version: row.version, row: parseGrant(row) };
}

const NO_USAGE: Usage = { promptTokens: 0, completionTokens: 0 };

/** The instance that opened the grant, from the grant's identifier. */
function getGrantHolder(id: string): string {
  return id.split('/')[1] ?? '';
}
