import { createId, getOwner } from '@pomeloroad/core';
import type { Identity, Tokens } from '@pomeloroad/core';
import type { ObjectStore, Row, Table } from '@pomeloroad/storage';
import { createGrantAdoption } from './grantAdoption';
import type { Reservation } from './heldGrant';
import { createKeeper } from './keeper';
import type { Keeper, KeeperStatus, RecallSummary } from './keeperTypes';
import { createLedger } from './ledger';
import { createReaper } from './reaper';
import type { ReaperHost } from './reaper';
import { getGrantKey, parseGrant } from './rows';
import { settleKeepers } from './settlement';
import type { GrantPolicy } from './sizing';
import { BudgetTopics } from './topics';
import type { ReservationReply, SettlementReply } from './topics';
import type { ReservationError, UsageRecord } from './types';
import { createWitness } from './witness';
import { createWitnessLink } from './witnessLink';

const RECALL_TIMEOUT_MS = 1500;

/** Services and settings that the budget keepers of an instance depend on. */
export interface KeepersHost extends ReaperHost {
  self: Identity;
  table: Table;
  objects: ObjectStore;
  policy: GrantPolicy;
  /** Number of data centres that share the budgets. */
  getDataCentres(): number;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
  /** Whether the table service does not answer. */
  isTableUnreachable(): boolean;
  /** Whether the incarnation has left for good, according to the membership list. */
  isLost(identity: Identity): boolean;
}

/** The budget keepers of one instance. */
export interface Keepers {
  /** Stores unsettled usage records and updates the rows of their grants. */
  settle(): Promise<void>;
  /** Returns idle tokens, and closes unused grants of budgets that another instance keeps now. */
  trim(): Promise<void>;
  /**
   * Settles reservations whose owner is lost or does not know them. Also maintains the witnesses,
   * grows grants early and closes inherited grants that are no longer used.
   */
  reap(): Promise<void>;
  /** Returns an account's reservations with this key that may have been sent to an endpoint. */
  findReservationsByKey(account: string, key: string): Reservation[];
  /** Takes over or closes grants of lost local holders, if this instance is in charge of that. */
  adoptLost(): Promise<void>;
  /** Stops accepting reservations and closes unused grants; returns whether no grant is left. */
  close(): Promise<boolean>;
  /**
   * Returns how many open grants name this instance as their witness and have a holder that is out
   * of reach. Without the witness's log, a lost holder's whole grant is charged.
   */
  countOrphanedLogs(): Promise<number>;
  /** Returns the state of each keeper for the state dump. */
  describe(): KeeperStatus[];
  /** Returns how many grants of peers this instance witnesses, and how many of them are sealed. */
  describeWitness(): { grants: number; sealed: number };
}

/** Creates the keepers and the witness of an instance and registers their message handlers. */
export function createKeepers(host: KeepersHost): Keepers {
  const { clock, self, network, table } = host;
  const ledger = createLedger({ clock, table });
  const keepers = new Map<string, Keeper>();
  const witnesses = createWitnessLink(host);
  const witness = createWitness(clock, network);
  const reaper = createReaper(host);
  const keeperHost = { ...host, ledger, recall, witnesses };
  const adoption = createGrantAdoption({
    ...host,
    ledger,
    witnesses,
    createSuccessor: (budget, inherited) => createKeeper(keeperHost, budget, inherited),
  });
  let isClosing = false;

  network.handle(BudgetTopics.reserve, async (_from, request): Promise<ReservationReply> => {
    // A grant opened now would outlive this instance.
    if (isClosing) return { kind: 'refused', error: SHUTTING_DOWN };
    const keeper = getKeeper(request.budget);
    const outcome = await keeper.reserve(request);
    if (outcome.err) return { kind: 'refused', error: outcome.val };
    const { id, placement } = request;
    const isPlaced = placement ? await keeper.place(id, placement) : false;
    return { kind: 'reserved', isPlaced };
  });
  network.handle(BudgetTopics.settle, async (_from, { reservation, record }) =>
    settleLocally(reservation, record),
  );
  network.handle(BudgetTopics.place, async (_from, { reservation, placement }) => {
    const keeper = findHolder(reservation);
    return keeper ? keeper.place(reservation, placement) : false;
  });
  network.handle(BudgetTopics.adopt, async (_from, { reservation, owner }) => {
    const keeper = findHolder(reservation);
    return keeper ? keeper.changeOwner(reservation, owner) : false;
  });
  network.handle(BudgetTopics.recall, async (from, { budget }) => {
    const keeper = keepers.get(budget);
    if (!keeper) return { released: 0, reserved: 0 };
    // If two keepers lack tokens of the same budget, one must yield or neither could serve.
    const released = await keeper.release(from.instance < self.instance);
    const { reserved, free } = keeper.describe();
    return { released, reserved: reserved + free };
  });

  function listKeepers(): Keeper[] {
    return [...keepers.values(), ...adoption.listKeepers()];
  }

  function findHolder(reservation: string): Keeper | undefined {
    return listKeepers().find((keeper) => keeper.hasReservation(reservation));
  }

  async function settleLocally(
    reservation: string,
    record: UsageRecord | undefined,
  ): Promise<SettlementReply> {
    return findHolder(reservation)?.settle(reservation, record) ?? 'unknown';
  }

  function getKeeper(budget: string): Keeper {
    const known = keepers.get(budget);
    if (known) return known;
    const keeper = createKeeper(keeperHost, budget);
    keepers.set(budget, keeper);
    return keeper;
  }

  async function recall(budget: string, grants: string[], tokens: Tokens): Promise<RecallSummary> {
    const names = grants.map((grant) => getGrantHolder(grant).instance);
    const holders = [...new Set(names)].filter((holder) => holder !== self.instance);
    const replies = await Promise.all(
      holders.map((holder) =>
        network.call(holder, BudgetTopics.recall, { budget, tokens }, RECALL_TIMEOUT_MS),
      ),
    );
    const summary: RecallSummary = { released: 0, pending: 0 };
    replies.forEach((reply) => {
      summary.released += reply.ok ? reply.val.released : 0;
      // Tokens of an unreachable holder do not count: waiting for them only delays the refusal.
      summary.pending += reply.ok ? reply.val.reserved : 0;
    });
    return summary;
  }

  function isWitnessed(row: Row): boolean {
    return parseGrant(row).witness?.incarnation === self.incarnation;
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
    settle: () => settleKeepers({ ...host, createSegmentId: createId }, listKeepers()),
    async trim() {
      await Promise.all([...keepers].map(([budget, keeper]) => trimKeeper(budget, keeper)));
    },
    async reap() {
      const isTableUnreachable = host.isTableUnreachable();
      await Promise.all(listKeepers().map((keeper) => keeper.maintainWitness(isTableUnreachable)));
      await Promise.all([...keepers.values()].map((keeper) => keeper.growEarly()));
      await Promise.all(listKeepers().map(reaper.reap));
      await adoption.closeUnused();
    },
    findReservationsByKey: (account, key) =>
      listKeepers()
        .flatMap((keeper) => keeper.reservations())
        .filter(({ draft }) => draft.account === account && draft.key === key)
        .filter(({ placements }) => placements.length > 0),
    adoptLost: adoption.adoptLost,
    async close() {
      isClosing = true;
      const closed = await Promise.all(listKeepers().map((keeper) => keeper.close()));
      return closed.every((isClosed) => isClosed);
    },
    async countOrphanedLogs() {
      const grants = witness
        .listOpenGrants()
        .filter((grant) => !witnesses.isReachable(getGrantHolder(grant)));
      if (grants.length === 0) return 0;
      // The holder may have closed the grant or named another witness without reaching this one.
      const rows = await table.read(grants.map(getGrantKey));
      if (rows.err) return grants.length;
      return rows.val.filter(isWitnessed).length;
    },
    describe: () => listKeepers().map((keeper) => keeper.describe()),
    describeWitness: witness.describe,
  };
}

const SHUTTING_DOWN: ReservationError = {
  kind: 'unreachable',
  message: 'the keeper is leaving',
};

// Returns the instance that opened the grant, which is a part of its identifier.
function getGrantHolder(id: string): Identity {
  const [dataCentre = '', instance = '', incarnation = ''] = id.split('/');
  return { instance, dataCentre, incarnation };
}
