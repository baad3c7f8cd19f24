import type { Outcome, RunStatus } from '@pomeloroad/core';

/** A row of the table service; each write increments its version. */
export interface Row {
  key: string;
  version: number;
  value: unknown;
}

/** A condition that the row has this version; 0 means that it does not exist. */
export interface Check {
  key: string;
  version: number;
}

/** A new value of a row; `undefined` or a missing value removes the row. */
export interface Write {
  key: string;
  value: unknown;
}

/** Writes that take effect together, and only if every check holds. */
export interface Transaction {
  checks: Check[];
  writes: Write[];
}

/** Why a transaction did not commit. `unknown`: it may have taken effect, or still may. */
export type CommitError =
  | { kind: 'conflict'; keys: string[] }
  | { kind: 'unavailable'; message: string }
  | { kind: 'unknown'; message: string };

/** A call to a service that was not answered. */
export interface ReadError {
  kind: 'unavailable';
  message: string;
}

/** The platform's transactional table service. */
export interface Table {
  /** Commits the transaction; a conflict names the keys whose checks failed. */
  commit(transaction: Transaction): Promise<Outcome<void, CommitError>>;
  /** Reads rows in one consistent view; rows that do not exist are left out. */
  read(keys: string[]): Promise<Outcome<Row[], ReadError>>;
  /** Reads every row whose key starts with the prefix, in key order. */
  scan(prefix: string): Promise<Outcome<Row[], ReadError>>;
}

/** A call to the object store that was not answered; `ran` is `no` only if it had no effect. */
export interface ObjectError {
  kind: 'unavailable';
  ran: RunStatus;
  message: string;
}

/** The platform's object store. */
export interface ObjectStore {
  /** Creates or replaces an object. */
  put(name: string, body: string): Promise<Outcome<void, ObjectError>>;
  /** Reads an object; resolves to `undefined` if there is none with this name. */
  get(name: string): Promise<Outcome<string | undefined, ObjectError>>;
  /** Lists the names with this prefix, in order. */
  list(prefix: string): Promise<Outcome<string[], ObjectError>>;
}

/** Kind of a member in the platform's membership list. */
export type MemberRole = 'instance' | 'endpoint';

/** An entry of the platform's membership list. */
export interface Member {
  name: string;
  role: MemberRole;
  dataCentre: string;
  /** `ip:port` at which an instance serves its peers, or at which an endpoint serves requests. */
  address: string;
  incarnation: string;
  state: 'live' | 'leaving';
}

/** The platform's membership list, which may be out of date. */
export interface Membership {
  /** Lists the announced members. */
  list(): Promise<Outcome<Member[], ReadError>>;
  /** Announces this process, or that it is leaving. Must be repeated for it to stay listed. */
  announce(member: Member): Promise<Outcome<void, ReadError>>;
  /** Removes this incarnation from the list. */
  withdraw(member: Member): Promise<Outcome<void, ReadError>>;
}

/** Clients of all services of the platform. */
export interface Platform {
  table: Table;
  objects: ObjectStore;
  membership: Membership;
}
