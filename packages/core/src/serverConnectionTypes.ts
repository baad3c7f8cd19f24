import type { ServerResponse } from 'node:http';
import type { WaitingBodies } from './waitingBodies';

/** A connection of a server, with the requests that are accepted on it. */
export interface ServerConnection {
  bodies: WaitingBodies;
  /** Takes the input over from Node's parser, which gets it bit by bit. */
  readAhead(): void;
  /** Parses no more in this turn, so that whoever serves a request can close the connection first. */
  yieldInput(): void;
  isDropping(): boolean;
  /** Whether the latest accepted request's response is the last one. */
  isEnding(): boolean;
  isLatest(response: ServerResponse): boolean;
  accept(response: ServerResponse): void;
  /** Holds the bytes of an accepted request's answer until it is sent. */
  holdAnswer(response: ServerResponse, bytes: number): void;
  /** Calls back when the body of the latest request turns out to be unreadable, or is not read on for want of memory. */
  onAbandoned(callback: (fault: AbandonedBody) => void): void;
  /** Drops what still arrives. */
  dropInput(): void;
  /**
   * Closes the connection once the accepted requests are answered; the status, if there is one, is
   * sent last.
   */
  refuse(status: number | undefined): void;
  /** Resolves at once unless the connection is being closed; then, once it has closed. */
  waitUntilClosed(): Promise<void>;
  /**
   * Makes up for the listeners that Node takes off a socket that asks for a tunnel or for another
   * protocol; returns a function that removes them again.
   */
  restoreListeners(): () => void;
  /**
   * Holds the input, of which the pieces were read already, and calls back for a new parser once all
   * accepted requests are answered, unless the connection closes then.
   */
  parseLater(pieces: Buffer[], parse: () => void): void;
}

/** Why a body is not read to its end. */
export type AbandonedBody = 'unreadable' | 'no-memory';
