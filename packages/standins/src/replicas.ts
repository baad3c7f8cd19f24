import type { IncomingMessage, ServerResponse } from 'node:http';
import { callHttp, hashText, readBody, sleep, writeJson } from '@pomeloroad/core';
import type { Clock, Milliseconds, Random } from '@pomeloroad/core';
import type { StandinReply } from './faults';

/** Time for which a replica is kept after its last part. */
export const REPLICA_TTL_MS: Milliseconds = 5000;
const PART_INTERVAL_MS: Milliseconds = 200;
const CALL_TIMEOUT_MS: Milliseconds = 1000;
/** One part in this many finds no room at the endpoint that it is sent to. */
const NO_ROOM_RATIO = 12;
const REPLICAS_MAX = 64;
const MOVE_PATH = '/v1/kv-move';
const HANDLE_PATH = '/v1/kv-handle/';
/** Where endpoints send each other replicas. */
const REPLICA_PATH = '/standin/replicas/';

/** A run of which replicas are made. */
export interface ReplicatedRun {
  request: string;
  /** Returns the number of its last event. */
  getNumber(): number;
  /** Stops it and closes its stream without its end. */
  cut(): void;
}

/** Dependencies of the replicas of an endpoint. */
export interface ReplicasHost {
  clock: Clock;
  /** Draws which parts find no room. */
  random: Random;
  /** Address at which others reach the endpoint. */
  address: string;
  /** Returns the run of the request, if it is under way. */
  findRun(request: string): ReplicatedRun | undefined;
}

/** Replicas of runs: those that an endpoint keeps, and those that it sends to others. */
export interface Replicas {
  /** Serves a call that concerns replicas; returns whether the request is one. */
  serve(request: IncomingMessage, response: ServerResponse): boolean;
  /** Takes out the replica with the name, `ADDRESS/ID`; returns whether there was one. */
  take(name: string): boolean;
  /**
   * Sends a replica of the request's run to the address, again and again. The returned function ends that, and
   * drops the replica of a run that is whole.
   */
  startBackup(request: string, address: string): (isWhole: boolean) => Promise<void>;
}

interface Replica {
  /** Elapsed time of the clock at which it is dropped. */
  expiresAt: Milliseconds;
  /** Address of the endpoint that has it too, so that it is used once. */
  peer: string;
  /** Whether this endpoint has it; else only the other one. */
  isHere: boolean;
}

interface MoveOrder {
  id: string;
  /** Address of the endpoint that the run moves to. */
  to: string;
  /** Whether the run stops first. */
  last?: boolean;
}

/** Creates the replicas of an endpoint; they are lost with its process. */
export function createReplicas(host: ReplicasHost): Replicas {
  const { clock, random, address: own } = host;
  const replicas = new Map<string, Replica>();
  const moving = new Set<string>();

  function keep(name: string, peer: string, isHere = true): void {
    replicas.set(name, { expiresAt: clock.elapsed() + REPLICA_TTL_MS, peer, isHere });
  }

  // One that finds no room any more is dropped.
  function accept(name: string, peer: string): boolean {
    const hasRoom = replicas.size < REPLICAS_MAX && random.integer(1, NO_ROOM_RATIO) > 1;
    if (hasRoom) keep(name, peer);
    else replicas.delete(name);
    return hasRoom;
  }

  function dropExpired(): void {
    replicas.forEach(({ expiresAt }, name) => {
      if (expiresAt < clock.elapsed()) replicas.delete(name);
    });
  }

  async function answer(request: IncomingMessage, path: string): Promise<StandinReply> {
    const body = String(await readBody(request));
    if (path === MOVE_PATH) return move(JSON.parse(body) as MoveOrder);
    if (path.startsWith(HANDLE_PATH)) {
      const name = `${own}/${path.slice(HANDLE_PATH.length)}`;
      await drop(name);
      return { status: 200, body: {} };
    }
    const name = decodeURIComponent(path.slice(REPLICA_PATH.length));
    if (request.method === 'PUT') return { status: accept(name, body) ? 200 : 503, body: {} };
    replicas.delete(name);
    return { status: 200, body: {} };
  }

  async function move({ id, to, last = false }: MoveOrder): Promise<StandinReply> {
    const run = host.findRun(id);
    if (!run) return { status: 404, body: {} };
    if (moving.has(id)) return { status: 409, body: {} };
    moving.add(id);
    const handle = hashText(`${own} ${id}`).slice(0, 16);
    if (last) run.cut();
    keep(`${own}/${handle}`, to, last);
    const isAccepted = await call('PUT', to, `${own}/${handle}`);
    moving.delete(id);
    if (!isAccepted) return { status: 503, body: last ? { handle } : {} };
    return { status: 200, body: { handle, created: run.getNumber() } };
  }

  async function drop(name: string): Promise<void> {
    const peer = replicas.get(name)?.peer;
    replicas.delete(name);
    if (peer) await call('DELETE', peer, name);
  }

  async function call(method: 'PUT' | 'DELETE', peer: string, name: string): Promise<boolean> {
    const url = `http://${peer}${REPLICA_PATH}${encodeURIComponent(name)}`;
    const body = method === 'PUT' ? own : undefined;
    const sent = await callHttp({ method, url, body, timeout: CALL_TIMEOUT_MS });
    return sent.ok && sent.val.status === 200;
  }

  return {
    serve(request, response) {
      const path = request.url ?? '';
      const paths = [MOVE_PATH, HANDLE_PATH, REPLICA_PATH];
      if (!paths.some((known) => path.startsWith(known))) return false;
      dropExpired();
      answer(request, path).then(
        ({ status, body }) => writeJson(response, status, body),
        () => writeJson(response, 400, {}),
      );
      return true;
    },
    take(name) {
      dropExpired();
      if (replicas.get(name)?.isHere !== true) return false;
      drop(name);
      return true;
    },
    startBackup(request, address) {
      const name = `${address}/${request}`;
      let isEnded = false;
      let sending: Promise<boolean> = Promise.resolve(false);
      const sendParts = async () => {
        while (!isEnded) {
          sending = call('PUT', address, name);
          await sending;
          await sleep(clock, PART_INTERVAL_MS);
        }
      };
      sendParts();
      return async (isWhole) => {
        isEnded = true;
        await sending;
        if (isWhole) await call('DELETE', address, name);
      };
    },
  };
}
