import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { BeginReply, BeginRequest, RequestName, RunState } from './types';

/** At this number of entries, each stored one evicts the oldest finished one. */
const MAX_ENTRIES = 100_000;

/** State of a request that has an idempotency key. */
export interface RequestEntry {
  digest: string;
  /** The incarnation that runs the request, or answers for it if it has finished. */
  runner: Identity;
  /** Id of the run. */
  request: string;
  isIdempotent: boolean;
  isFinished: boolean;
  /** Present when the request is placed on an endpoint. */
  state?: RunState;
}

/** Dependencies of the request entries. */
export interface RequestEntriesHost {
  clock: Clock;
  /** How long the entry of a finished request is kept. */
  retention: Milliseconds;
  /** Whether this incarnation may still act. */
  isLive(identity: Identity): boolean;
}

/** Entries of named requests in the memory of one instance, by account and idempotency key. */
export interface RequestEntries {
  /**
   * Adds an entry if the name is unknown, or if the run must be resumed or may be repeated. Returns
   * what the caller must do: run, resume, attach to another run, or refuse.
   */
  begin(request: BeginRequest): BeginReply;
  /**
   * Returns what `begin` would reply, without adding an entry. Returns `undefined` if the name is
   * unknown, or if its run is lost and may be repeated.
   */
  find(request: BeginRequest): BeginReply | undefined;
  /** Returns whether a finished run is the one that counts: the first one of its name. */
  confirm(request: BeginRequest): boolean;
  /** Sets where a run is placed. Ignored if the name belongs to another run. */
  setState(name: RequestName, request: string, state: RunState): void;
  /** Marks a run as finished; deletes its entry if `isKept` is false. */
  finish(name: RequestName, request: string, isKept: boolean): void;
  /**
   * Stores an entry that another instance sent. It replaces an entry of the same run, because the
   * sender's state is newer, but not an entry of another run.
   */
  insert(name: RequestName, entry: RequestEntry): void;
  list(): { name: RequestName; entry: RequestEntry }[];
}

/** Creates an empty set of entries that evicts finished requests by age and by number. */
export function createRequestEntries({
  clock,
  retention,
  isLive,
}: RequestEntriesHost): RequestEntries {
  const entries = new Map<string, { name: RequestName; entry: RequestEntry }>();

  function get(name: RequestName): RequestEntry | undefined {
    return entries.get(getEntryId(name))?.entry;
  }

  function set(name: RequestName, entry: RequestEntry): void {
    if (entries.size >= MAX_ENTRIES) evictOldestFinished();
    entries.set(getEntryId(name), { name, entry });
    if (entry.isFinished) scheduleExpiry(name, entry);
  }

  function evictOldestFinished(): void {
    const oldest = [...entries].find(([, { entry }]) => entry.isFinished);
    if (oldest) entries.delete(oldest[0]);
  }

  function scheduleExpiry(name: RequestName, entry: RequestEntry): void {
    clock.after(retention, () => {
      if (get(name) === entry) entries.delete(getEntryId(name));
    });
  }

  function addEntry(begun: BeginRequest, state?: RunState): void {
    const { name, digest, runner, request, isIdempotent } = begun;
    set(name, { digest, runner, request, isIdempotent, isFinished: false, state });
  }

  function finish(name: RequestName, request: string, isKept: boolean): void {
    const entry = get(name);
    if (entry?.request !== request) return;
    if (isKept) set(name, { ...entry, isFinished: true });
    else entries.delete(getEntryId(name));
  }

  function find(request: BeginRequest): BeginReply | undefined {
    const entry = get(request.name);
    if (!entry) return undefined;
    if (entry.digest !== request.digest) return { kind: 'mismatch' };
    const { runner, state, isIdempotent } = entry;
    // The same run asks again because the reply to its first call was lost.
    if (entry.request === request.request) return { kind: 'run' };
    if (isLive(runner)) return { kind: 'attach', runner, request: entry.request };
    // Resuming a stream sends the request to no endpoint again, so it is safe without idempotency.
    if (state) return { kind: 'resume', request: entry.request, state };
    return isIdempotent ? undefined : { kind: 'lost' };
  }

  return {
    begin(request) {
      const found = find(request);
      if (!found) addEntry(request);
      if (found?.kind === 'resume') addEntry(request, found.state);
      return found ?? { kind: 'run' };
    },
    find,
    confirm(request) {
      const entry = get(request.name);
      if (entry) return entry.request === request.request;
      addEntry(request);
      finish(request.name, request.request, true);
      return true;
    },
    setState(name, request, state) {
      const entry = get(name);
      if (entry?.request === request) set(name, { ...entry, state });
    },
    finish,
    insert(name, entry) {
      const known = get(name);
      if (!known || known.request === entry.request) set(name, entry);
    },
    list: () => [...entries.values()],
  };
}

function getEntryId({ account, key }: RequestName): string {
  return JSON.stringify([account, key]);
}
