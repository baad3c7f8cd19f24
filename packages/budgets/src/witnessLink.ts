import { rankNodes } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { HeldGrant, Reservation } from './heldGrant';
import { WitnessTopics } from './topics';
import type { WitnessLog } from './topics';
import type { SettledRecord } from './types';

const NOTE_TIMEOUT_MS = 500;

/** Services that the witness link depends on. */
export interface WitnessLinkHost {
  self: Identity;
  network: PeerNetwork;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
}

/** Outcome of a note to a witness; `sealed` if a successor has sealed the log. */
export type NoteOutcome = 'noted' | 'sealed' | 'unreachable';

/** Sends messages to the witnesses of grants. */
export interface WitnessLink {
  /** Returns the preferred local peer to witness a budget's grant, other than the failed one. */
  pickPeer(budget: string, failed?: Identity): Identity | undefined;
  /** Whether the witness is connected and still the same incarnation. */
  isReachable(witness: Identity): boolean;
  /**
   * Sends the witness the grant's reservations and unsettled records, replacing its log. With
   * `isWhole` no further note is needed, and a successor charges the whole grant.
   */
  openLog(held: HeldGrant, witness: Identity, isWhole: boolean): Promise<NoteOutcome>;
  /** Adds a reservation to the witness's log, or updates it; `noted` without a witness. */
  noteReservation(
    held: HeldGrant,
    reservation: Reservation,
    witness: Identity | undefined,
  ): Promise<NoteOutcome>;
  /** Removes a reservation from the witness's log and adds its record, if any. */
  noteEnd(
    held: HeldGrant,
    reservation: string,
    record: SettledRecord | undefined,
    witness: Identity | undefined,
  ): Promise<NoteOutcome>;
  /** Deletes the log of a closed grant without waiting for the reply. */
  dropLog(held: HeldGrant): void;
  /** Seals the log of a lost holder's grant, so that it accepts no further note, and returns it. */
  sealLog(grant: string, witness: Identity): Promise<SealOutcome>;
}

/** Outcome of sealing a log. */
export type SealOutcome =
  | { kind: 'log'; log: WitnessLog }
  /** The witness has no log, so the whole grant must be charged. */
  | { kind: 'whole' }
  | { kind: 'unreachable' };

/** Creates the link of an instance to the witnesses of its data centre. */
export function createWitnessLink(host: WitnessLinkHost): WitnessLink {
  const { self, network } = host;

  function isReachable(witness: Identity): boolean {
    return network.getIdentity(witness.instance)?.incarnation === witness.incarnation;
  }

  async function sendNote(
    witness: Identity | undefined,
    send: (instance: string) => Promise<{ ok: boolean; val: unknown }>,
  ): Promise<NoteOutcome> {
    if (!witness) return 'noted';
    if (!isReachable(witness)) return 'unreachable';
    const reply = await send(witness.instance);
    if (!reply.ok) return 'unreachable';
    return reply.val ? 'noted' : 'sealed';
  }

  return {
    isReachable,
    pickPeer(budget, failed) {
      const excluded = [self.instance, failed?.instance];
      const others = host.getLocalInstances().filter((instance) => !excluded.includes(instance));
      const [first] = rankNodes(budget, others);
      return first === undefined ? undefined : network.getIdentity(first);
    },
    async openLog(held, witness, isWhole) {
      const { id: grant } = held.grant();
      const reservations = [...held.reservations().values()];
      const log = { reservations, records: held.unsettledRecords(), isWhole };
      const request = { grant, log };
      const { instance } = witness;
      const reply = await network.call(instance, WitnessTopics.open, request, NOTE_TIMEOUT_MS);
      if (reply.err) return 'unreachable';
      return reply.val ? 'noted' : 'sealed';
    },
    noteReservation: (held, reservation, witness) =>
      sendNote(witness, (instance) => {
        const request = { grant: held.grant().id, reservation };
        return network.call(instance, WitnessTopics.note, request, NOTE_TIMEOUT_MS);
      }),
    noteEnd: (held, reservation, record, witness) =>
      sendNote(witness, (instance) => {
        const { id: grant, row } = held.grant();
        const request = { grant, reservation, record, settled: row.sequence };
        return network.call(instance, WitnessTopics.end, request, NOTE_TIMEOUT_MS);
      }),
    dropLog(held) {
      const { id: grant, row } = held.grant();
      if (!row.witness) return;
      network.call(row.witness.instance, WitnessTopics.drop, { grant }, NOTE_TIMEOUT_MS);
    },
    async sealLog(grant, witness) {
      if (!isReachable(witness)) return { kind: 'unreachable' };
      const { seal } = WitnessTopics;
      const reply = await network.call(witness.instance, seal, { grant }, NOTE_TIMEOUT_MS);
      if (reply.err) return { kind: 'unreachable' };
      return reply.val ? { kind: 'log', log: reply.val } : { kind: 'whole' };
    },
  };
}
