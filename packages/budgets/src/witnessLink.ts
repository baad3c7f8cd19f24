import { rankNodes } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Holding, Reservation } from './holding';
import { WitnessTopics } from './topics';
import type { WitnessLog } from './topics';
import type { SettledRecord } from './types';

const NOTE_TIMEOUT_MS = 500;

/** What the link to a witness needs from its surroundings. */
export interface WitnessLinkHost {
  self: Identity;
  network: PeerNetwork;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
}

/** Outcome of a note: `sealed` if a successor has closed the log. */
export type NoteOutcome = 'noted' | 'sealed' | 'unreachable';

/** Speaks to the witnesses of the grants that this instance holds. */
export interface WitnessLink {
  /** The best peer of this data centre to witness a budget's grant, other than a failed one. */
  pick(budget: string, failed?: Identity): Identity | undefined;
  /** Whether the witness answers, in the same incarnation. */
  isPresent(witness: Identity): boolean;
  /** Gives the witness all that it must know; with `isWhole` no further note is needed. */
  open(holding: Holding, witness: Identity, isWhole: boolean): Promise<NoteOutcome>;
  note(holding: Holding, reservation: Reservation): Promise<NoteOutcome>;
  end(
    holding: Holding,
    reservation: string,
    record: SettledRecord | undefined,
  ): Promise<NoteOutcome>;
  drop(holding: Holding): void;
  /** Closes the log of a lost holder's grant; `undefined` if there is none to go by. */
  seal(grant: string, witness: Identity): Promise<SealOutcome>;
}

/** What a seal yields. */
export type SealOutcome =
  | { kind: 'log'; log: WitnessLog }
  /** The witness has no log. */
  | { kind: 'whole' }
  | { kind: 'unreachable' };

/** Creates the link. */
export function createWitnessLink(host: WitnessLinkHost): WitnessLink {
  const { self, network } = host;

  function isPresent(witness: Identity): boolean {
    return network.getIdentity(witness.instance)?.incarnation === witness.incarnation;
  }

  async function tell(
    holding: Holding,
    send: (instance: string) => Promise<{ ok: boolean; val: unknown }>,
  ): Promise<NoteOutcome> {
    const { witness } = holding.grant().row;
    if (!witness) return 'noted';
    if (!isPresent(witness)) return 'unreachable';
    const reply = await send(witness.instance);
    if (!reply.ok) return 'unreachable';
    return reply.val ? 'noted' : 'sealed';
  }

  return {
    isPresent,
    pick(budget, failed) {
      const excluded = [self.instance, failed?.instance];
      const others = host.getLocalInstances().filter((instance) => !excluded.includes(instance));
      const [first] = rankNodes(budget, others);
      return first === undefined ? undefined : network.getIdentity(first);
    },
    async open(holding, witness, isWhole) {
      const { id: grant } = holding.grant();
      const reservations = [...holding.reservations().values()];
      const log = { reservations, records: holding.unsettled(), isWhole };
      const request = { grant, log };
      const { instance } = witness;
      const reply = await network.call(instance, WitnessTopics.open, request, NOTE_TIMEOUT_MS);
      if (reply.err) return 'unreachable';
      return reply.val ? 'noted' : 'sealed';
    },
    note: (holding, reservation) =>
      tell(holding, (instance) => {
        const request = { grant: holding.grant().id, reservation };
        return network.call(instance, WitnessTopics.note, request, NOTE_TIMEOUT_MS);
      }),
    end: (holding, reservation, record) =>
      tell(holding, (instance) => {
        const { id: grant, row } = holding.grant();
        const request = { grant, reservation, record, settled: row.sequence };
        return network.call(instance, WitnessTopics.end, request, NOTE_TIMEOUT_MS);
      }),
    drop(holding) {
      const { id: grant, row } = holding.grant();
      if (!row.witness) return;
      network.call(row.witness.instance, WitnessTopics.drop, { grant }, NOTE_TIMEOUT_MS);
    },
    async seal(grant, witness) {
      if (!isPresent(witness)) return { kind: 'unreachable' };
      const { seal } = WitnessTopics;
      const reply = await network.call(witness.instance, seal, { grant }, NOTE_TIMEOUT_MS);
      if (reply.err) return { kind: 'unreachable' };
      return reply.val ? { kind: 'log', log: reply.val } : { kind: 'whole' };
    },
  };
}
