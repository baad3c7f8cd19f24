import type { Outcome, RunStatus } from '@pomeloroad/core';

/** A row of the table service; each write raises its version by one. */
export interface Row {
  key: string;
  version: number;
  value: unknown;
}

/** A condition of a transaction: the row has this version; 0 means that it does not exist. */
export interface Check {
  key: string;
  version: number;
}

/** A new value of a row; `undefined`, or no value at all, removes the row. */
export interface Write {
  key: string;
  value: unknown;
}

/** Writes that take effect together, and only if every check holds. */
export interface Transaction {
  checks: Check[];
  writes: Write[];
}

/** Why a transaction did not commit. `unknown`: it may have, or may yet take effect. */
export type CommitError =
  | { kind: 'conflict'; keys: string[] }
  | { kind: 'unavailable'; message: string }
  | { kind: 'unknown'; message: string };

/** A read without an answer. */
export interface ReadError {
  kind: 'unavailable';
  message: string;
}

/** The platform's transactional table service. */
export interface Table {
  commit(transaction: Transaction): Promise<Outcome<void, CommitError>>;
  /** Reads rows in one consistent view; rows that do not exist are left out. */
  read(keys: string[]): Promise<Outcome<Row[], ReadError>>;
  /** Reads every row whose key starts with the prefix, in key order. */
  scan(prefix: string): Promise<Outcome<Row[], ReadError>>;
}

/** A write to the object store without an answer. */
export interface ObjectError {
  kind: 'unavailable';
  ran: RunStatus;
  message: string;
}

/** The platform's object store. */
export interface ObjectStore {
  put(name: string, body: string): Promise<Outcome<void, ObjectError>>;
  /** Reads an object; `undefined` if there is none of this name. */
  get(name: string): Promise<Outcome<string | undefined, ObjectError>>;
  /** Names with this prefix, in order. */
  list(prefix: string): Promise<Outcome<string[], ObjectError>>;
}

/** What a member of the platform's list is. */
export type MemberRole = 'instance' | 'endpoint';

/** An entry of the platform's membership list. */
export interface Member {
  name: string;
  role: MemberRole;
  dataCentre: string;
  /** IP number and port for peers of the fleet, or of the endpoint. */
  address: string;
  incarnation: string;
  state: 'live' | 'leaving';
}

/** The platform's membership list; it lags. */
export interface Membership {
  list(): Promise<Outcome<Member[], ReadError>>;
  /** Announces this process, or that it is leaving. Must be repeated to stay listed. */
  announce(member: Member): Promise<Outcome<void, ReadError>>;
  withdraw(member: Member): Promise<Outcome<void, ReadError>>;
}

/** The platform's services as one. */
export interface Platform {
  table: Table;
  objects: ObjectStore;
  membership: Membership;
}
