import type { Identity, Milliseconds, Outcome, RunStatus } from '@pomeloroad/core';

/** An instance of the fleet and the address at which it accepts peer connections. */
export interface Peer {
  identity: Identity;
  /** IP address and port of its peer listener. */
  address: string;
}

/** A kind of call between instances, with the types of its request and reply. */
export interface Topic<Request, Reply> {
  name: string;
  /** Only carries the type; never set. */
  readonly request?: Request;
  /** Only carries the type; never set. */
  readonly reply?: Reply;
}

/** Declares a topic; `name` identifies it on the wire. */
export function createTopic<Request, Reply = void>(name: string): Topic<Request, Reply> {
  return { name };
}

/** Why a call got no reply; `ran` tells whether the peer may have acted on it. */
export interface PeerError {
  kind: 'unreachable' | 'timeout' | 'failed';
  ran: RunStatus;
  message: string;
}

/** Answers the calls of one topic. */
export type Handler<Request, Reply> = (from: Identity, request: Request) => Promise<Reply>;

/** Authenticated calls between the instances of the fleet. */
export interface PeerNetwork {
  /** Starts listening; resolves to the address in use. */
  listen(): Promise<string>;
  /** Calls a peer by its instance name; a call to this instance runs its own handler. */
  call<Request, Reply>(
    instance: string,
    topic: Topic<Request, Reply>,
    request: Request,
    timeout: Milliseconds,
  ): Promise<Outcome<Reply, PeerError>>;
  /** Sets the handler of a topic. */
  handle<Request, Reply>(topic: Topic<Request, Reply>, handler: Handler<Request, Reply>): void;
  /** Sets which peers to keep connections to and closes connections to all others. */
  setPeers(peers: Peer[]): void;
  /** Whether there is a connection to the instance; always true for this instance. */
  isConnected(instance: string): boolean;
  /** Identity of a connected peer or of this instance; `undefined` without a connection. */
  getIdentity(instance: string): Identity | undefined;
  onConnect(listener: (identity: Identity) => void): void;
  onDisconnect(listener: (identity: Identity) => void): void;
  /** Returns the state of each peer connection, for the state dump. */
  describe(): PeerStatus[];
  close(): Promise<void>;
}

/** State of the connection to a peer, as shown in the state dump. */
export interface PeerStatus {
  instance: string;
  dataCentre: string;
  address: string;
  state: 'connecting' | 'connected';
  bytesSent: number;
  bytesReceived: number;
}
