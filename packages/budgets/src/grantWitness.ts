import type { Identity, Outcome } from '@pomeloroad/core';
import type { HeldGrant } from './heldGrant';
import type { Ledger } from './ledger';
import type { Grant, LedgerError } from './types';
import type { NoteOutcome, WitnessLink } from './witnessLink';

/** Dependencies of the witness of a keeper's grant. */
export interface GrantWitnessHost {
  budget: string;
  ledger: Ledger;
  witnesses: WitnessLink;
  /** The grant that the keeper holds at present. */
  getHeld(): HeldGrant;
  /** Runs a step that writes the grant's row once the earlier ones have ended. */
  runExclusively<T>(step: () => Promise<T>): Promise<T>;
  /** Applies the outcome of a write of the row that left its size as it was. */
  applySettlement(outcome: Outcome<Grant, LedgerError>): void;
  /** Drops the grant, since a successor has closed it. */
  abandonGrant(): void;
}

/** The witness of a keeper's grant, whose log tells a successor what the grant's row does not. */
export interface GrantWitness {
  /** Finds a witness for a grant that is not written yet. */
  open(): Promise<void>;
  /**
   * Sends a note of a change to the witness, and to one that is about to be named. Returns whether a
   * successor would learn of the change or charge the whole grant anyway. Replaces a witness that
   * cannot be reached.
   */
  note(send: (witness: Identity | undefined) => Promise<NoteOutcome>): Promise<boolean>;
  /** Finds or replaces the witness, as `maintainWitness` of the keeper says. */
  maintain(isTableUnreachable: boolean): Promise<void>;
}

/** A peer with the log of a grant. */
interface LogKeeper {
  grant: string;
  witness: Identity;
}

/** Creates the witness of a keeper. */
export function createGrantWitness(host: GrantWitnessHost): GrantWitness {
  const { budget, ledger, witnesses, getHeld, abandonGrant } = host;
  /**
   * The witness that was told that the whole grant is charged if this holder is lost; it is not
   * certain that its log says so while that is taken back.
   */
  let told: (LogKeeper & { isCertain: boolean }) | undefined;
  /** A peer that has the grant's log and that the row may come to name, so it needs the notes too. */
  let candidate: LogKeeper | undefined;

  // Returns a peer that has opened a log, if any: a grant's row must not name a witness without one.
  async function openAtPeer(failed?: Identity): Promise<Identity | undefined> {
    const witness = witnesses.pickPeer(budget, failed);
    candidate = witness && { grant: getHeld().grant().id, witness };
    const isOpen = witness && (await witnesses.openLog(getHeld(), witness, false)) === 'noted';
    if (!isOpen) candidate = undefined;
    return isOpen ? witness : undefined;
  }

  function replace(): Promise<boolean> {
    return host.runExclusively(async () => {
      const witness = await openAtPeer(getHeld().grant().row.witness);
      const outcome = await ledger.setWitness(getHeld().grant(), witness);
      host.applySettlement(outcome);
      // The row may name the candidate even if the write failed.
      if (outcome.err) return false;
      candidate = undefined;
      told = undefined;
      return true;
    });
  }

  async function ensureNoted(atWitness: NoteOutcome, atCandidate: NoteOutcome): Promise<boolean> {
    if (atWitness === 'sealed' || atCandidate === 'sealed') {
      abandonGrant();
      return false;
    }
    const isCovered = atWitness === 'noted' || findTold()?.isCertain === true;
    return (isCovered && atCandidate === 'noted') || replace();
  }

  // The answer of a witness may come when the row names another one.
  function findTold(): typeof told {
    const { id, row } = getHeld().grant();
    const isPresent = told?.witness.incarnation === row.witness?.incarnation;
    return told?.grant === id && isPresent ? told : undefined;
  }

  function getCandidate(): Identity | undefined {
    return candidate?.grant === getHeld().grant().id ? candidate.witness : undefined;
  }

  return {
    async open() {
      const witness = await openAtPeer();
      getHeld().setWitness(witness);
      candidate = undefined;
    },
    async note(send) {
      const { witness } = getHeld().grant().row;
      return ensureNoted(...(await Promise.all([send(witness), send(getCandidate())])));
    },
    async maintain(isTableUnreachable) {
      if (getHeld().grant().version === 0) return;
      const { id: grant, row } = getHeld().grant();
      const { witness } = row;
      if (!witness || !witnesses.isReachable(witness)) {
        if (!isTableUnreachable && (witness || witnesses.pickPeer(budget))) await replace();
        return;
      }
      const before = findTold();
      if (isTableUnreachable ? before?.isCertain : !before) return;
      if (before) before.isCertain = false;
      const outcome = await witnesses.openLog(getHeld(), witness, isTableUnreachable);
      if (outcome === 'noted')
        told = isTableUnreachable ? { grant, witness, isCertain: true } : undefined;
      if (outcome === 'sealed') abandonGrant();
    },
  };
}
