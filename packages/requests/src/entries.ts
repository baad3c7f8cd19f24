import type { Clock, Identity, Milliseconds } from '@pomeloroad/core';
import type { BeginReply, BeginRequest, RequestName, RunState } from './types';

const ENTRIES_LIMIT = 100_000;

/** What is known of a named request. */
export interface Entry {
  digest: string;
  runner: Identity;
  request: string;
  isIdempotent: boolean;
  isFinished: boolean;
  state?: RunState;
}

/** What the entries need from their surroundings. */
export interface EntriesHost {
  clock: Clock;
  /** How long a finished request is remembered. */
  retention: Milliseconds;
  isLive(identity: Identity): boolean;
}

/** Named requests by name, in the memory of one instance. */
export interface Entries {
  /** Enters a request that is not known, or tells who runs it. */
  begin(request: BeginRequest): BeginReply;
  /** Tells who runs a request; `undefined` if it is not known. Enters nothing. */
  find(request: BeginRequest): BeginReply | undefined;
  /** Whether the finished run counts: the first one of a name does. */
  confirm(request: BeginRequest): boolean;
  setState(name: RequestName, request: string, state: RunState): void;
  finish(name: RequestName, request: string, isKept: boolean): void;
  /** Takes an entry of another instance over; its word on its own request is newer. */
  insert(name: RequestName, entry: Entry): void;
  list(): { name: RequestName; entry: Entry }[];
}

/** Creates an empty collection. */
export function createEntries({ clock, retention, isLive }: EntriesHost): Entries {
  const entries = new Map<string, { name: RequestName; entry: Entry }>();

  function get(name: RequestName): Entry | undefined {
    return entries.get(getId(name))?.entry;
  }

  function set(name: RequestName, entry: Entry): void {
    if (entries.size >= ENTRIES_LIMIT) dropOldestFinished();
    entries.set(getId(name), { name, entry });
    if (entry.isFinished) expire(name, entry);
  }

  function dropOldestFinished(): void {
    const oldest = [...entries].find(([, { entry }]) => entry.isFinished);
    if (oldest) entries.delete(oldest[0]);
  }

  function expire(name: RequestName, entry: Entry): void {
    clock.after(retention, () => {
      if (get(name) === entry) entries.delete(getId(name));
    });
  }

  function enter(begun: BeginRequest, state?: RunState): void {
    const { name, digest, runner, request, isIdempotent } = begun;
    set(name, { digest, runner, request, isIdempotent, isFinished: false, state });
  }

  function finish(name: RequestName, request: string, isKept: boolean): void {
    const entry = get(name);
    if (entry?.request !== request) return;
    if (isKept) set(name, { ...entry, isFinished: true });
    else entries.delete(getId(name));
  }

  function find(request: BeginRequest): BeginReply | undefined {
    const entry = get(request.name);
    if (!entry) return undefined;
    if (entry.digest !== request.digest) return { kind: 'mismatch' };
    const { runner, state, isIdempotent } = entry;
    // Asked again for the same run, after an answer was lost.
    if (entry.request === request.request) return { kind: 'run' };
    if (isLive(runner)) return { kind: 'attach', runner, request: entry.request };
    // Following a stream sends nothing again, so it is allowed for any request.
    if (state) return { kind: 'resume', request: entry.request, state };
    return isIdempotent ? undefined : { kind: 'lost' };
  }

  return {
    begin(request) {
      const found = find(request);
      if (!found) enter(request);
      if (found?.kind === 'resume') enter(request, found.state);
      return found ?? { kind: 'run' };
    },
    find,
    confirm(request) {
      const entry = get(request.name);
      if (entry) return entry.request === request.request;
      enter(request);
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

function getId({ account, key }: RequestName): string {
  return JSON.stringify([account, key]);
}
