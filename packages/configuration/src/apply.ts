import { Err, Ok } from 'ts-results';
import type { Identity, Outcome } from '@pomeloroad/core';
import type { Distributor } from './distributor';
import { parseConfiguration } from './parse';
import type { ConfigurationStore, ConfigurationStoreError } from './store';
import type { Acknowledgement, VersionFile } from './topics';
import type { ConfigurationFault, VersionRow } from './types';

/** Why a configuration file was not applied. */
export type ApplyError =
  /** The file does not pass the checks. */
  | { kind: 'invalid'; faults: ConfigurationFault[] }
  /** Another version was proposed or accepted since the base version. */
  | { kind: 'conflict'; accepted?: VersionRow; proposed?: VersionRow }
  /** Some instances did not stage the file; it was withdrawn. */
  | { kind: 'unanswered'; silent: Acknowledgement[] }
  /** The platform does not answer; the file was not applied. */
  | { kind: 'unavailable'; message: string }
  /** Whether the version was accepted is not known here; the version in force shows it later. */
  | { kind: 'undecided'; version: number; message: string };

/** Dependencies of `applyConfiguration`. */
export interface ApplyHost {
  store: ConfigurationStore;
  distributor: Distributor;
  /** Every instance that must stage the file: those on the membership list and connected peers. */
  listInstances(): Promise<Outcome<Identity[], { message: string }>>;
}

/**
 * Applies a configuration file on every instance or on none, by two-phase commit. Every instance
 * stages the proposed version; the store then accepts it, or withdraws it if one did not stage it.
 */
export async function applyConfiguration(
  host: ApplyHost,
  base: number,
  text: string,
  author: string,
): Promise<Outcome<VersionRow, ApplyError>> {
  const parsed = parseConfiguration(text);
  if (parsed.err) return Err({ kind: 'invalid', faults: parsed.val });
  const proposed = await host.store.propose(base, text, author);
  if (proposed.err) return Err(toApplyError(proposed.val));
  const file = proposed.val;
  const listed = await host.listInstances();
  if (listed.err) return withdraw(host, file, [], []);
  const instances = listed.val;
  const replies = await host.distributor.announce({ kind: 'stage', file }, instances);
  const silent = replies.filter((reply) => !reply.isDone);
  if (silent.length > 0) return withdraw(host, file, instances, silent);
  return accept(host, file, instances);
}

async function accept(
  host: ApplyHost,
  file: VersionFile,
  instances: Identity[],
): Promise<Outcome<VersionRow, ApplyError>> {
  const { version } = file;
  const accepted = await host.store.accept(version);
  if (accepted.err) {
    if (accepted.val.kind === 'superseded') return Err(toApplyError(accepted.val));
    const { message } = accepted.val;
    return Err({ kind: 'undecided', version: version.version, message });
  }
  await host.distributor.announce({ kind: 'accept', file }, instances);
  return Ok(version);
}

async function withdraw(
  host: ApplyHost,
  file: VersionFile,
  instances: Identity[],
  silent: Acknowledgement[],
): Promise<Outcome<VersionRow, ApplyError>> {
  const { version } = file;
  const withdrawn = await host.store.withdraw(version);
  if (withdrawn.err && withdrawn.val.kind === 'unavailable') {
    const { message } = withdrawn.val;
    return Err({ kind: 'undecided', version: version.version, message });
  }
  const notice = { kind: 'withdraw', version: version.version } as const;
  await host.distributor.announce(notice, instances);
  if (instances.length === 0) {
    return Err({ kind: 'unavailable', message: 'the membership list does not answer' });
  }
  return Err({ kind: 'unanswered', silent });
}

function toApplyError(error: ConfigurationStoreError): ApplyError {
  if (error.kind === 'unavailable') return error;
  const { accepted, proposed } = error.head;
  return { kind: 'conflict', accepted, proposed };
}
