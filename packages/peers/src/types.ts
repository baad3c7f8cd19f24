import type { Identity, Milliseconds, Outcome, RunStatus } from '@pomeloroad/core';

/** Where a peer of the fleet can be reached. */
export interface Peer {
  identity: Identity;
  /** IP number and port of its peer listener. */
  address: string;
}

/** A kind of message between instances, with the types of its request and reply. */
export interface Topic<Request, Reply> {
  name: string;
  /** Carries the types only; never set. */
  readonly request?: Request;
  readonly reply?: Reply;
}

/** Declares a topic. */
export function createTopic<Request, Reply = void>(name: string): Topic<Request, Reply> {
  return { name };
}

/** A call without a reply; `ran` tells whether the peer may have acted on it. */
export interface PeerError {
  kind: 'unreachable' | 'timeout' | 'failed';
  ran: RunStatus;
  message: string;
}

/** Answers the calls of one topic. */
export type Handler<Request, Reply> = (from: Identity, request: Request) => Promise<Reply>;

/** Authenticated messages between the instances of the fleet. */
export interface PeerNetwork {
  /** The address in use once listening. */
  listen(): Promise<string>;
  /** Calls a peer by its instance name; a call to oneself is answered locally. */
  call<Request, Reply>(
    instance: string,
    topic: Topic<Request, Reply>,
    request: Request,
    timeout: Milliseconds,
  ): Promise<Outcome<Reply, PeerError>>;
  handle<Request, Reply>(topic: Topic<Request, Reply>, handler: Handler<Request, Reply>): void;
  /** Replaces the set of peers to keep connections to. */
  setPeers(peers: Peer[]): void;
  /** Whether the peer answers heartbeats, or is this instance. */
  isConnected(instance: string): boolean;
  /** The identity that the peer last presented. */
  getIdentity(instance: string): Identity | undefined;
  onConnect(listener: (identity: Identity) => void): void;
  onDisconnect(listener: (identity: Identity) => void): void;
  /** The state of each peer, for the dump. */
  describe(): PeerStatus[];
  close(): Promise<void>;
}

/** A peer as the dump shows it. */
export interface PeerStatus {
  instance: string;
  dataCentre: string;
  address: string;
  state: 'connecting' | 'connected';
  bytesSent: number;
  bytesReceived: number;
}
