import type { IncomingMessage, ServerResponse } from 'node:http';
import type { MemoryAccount, MemoryHolder, MemoryShare } from './memoryAccount';

/** Memory of a request until it is answered, besides its head and body. */
const REQUEST_BYTES = 8 * 1024;
/** Memory of a byte of a head: heads are strings, which lie in the heap and are joined while they arrive. */
const HEAD_RATIO = 2;

/** What one connection of a server has of the account. */
export interface ConnectionMemory extends MemoryShare {
  /** Holds bytes that arrived and are not parsed; fewer than none frees them. */
  holdAhead(bytes: number): void;
  /** Holds bytes that the parser got of a head that has not ended. */
  holdHead(bytes: number): void;
  /** Frees what is held of that head. */
  endHead(): void;
  /** Holds the bytes of an accepted request's answer until it is sent. */
  holdAnswer(response: ServerResponse, bytes: number): void;
}

/** The connection that holds the memory. */
export interface ConnectionHolder extends Pick<MemoryHolder, 'resume' | 'refuse'> {
  /** Whether the body of the latest request is still to come. */
  isReading(): boolean;
  /** Whether several requests are not answered. */
  hasSeveral(): boolean;
}

/** Adds a connection that holds nothing to the account. */
export function openConnectionMemory(
  account: MemoryAccount,
  connection: ConnectionHolder,
): ConnectionMemory {
  /** Bytes that arrived and are not parsed. */
  let aheadBytes = 0;
  /** Bytes that the parser got since the latest request, of a head that has not ended. */
  let headBytes = 0;
  /** Bytes of answers that are not sent in full. */
  let answerBytes = 0;
  const share = account.open({
    resume: connection.resume,
    isBringing: () => aheadBytes + headBytes > 0 || connection.isReading(),
    mayRefuse: () =>
      aheadBytes + headBytes + answerBytes > 0 || connection.hasSeveral() || connection.isReading(),
    refuse: connection.refuse,
  });

  return {
    ...share,
    holdAhead(bytes) {
      aheadBytes += bytes;
      share.hold(bytes);
    },
    holdHead(bytes) {
      headBytes += bytes * HEAD_RATIO;
      share.hold(bytes * HEAD_RATIO);
    },
    endHead() {
      share.hold(-headBytes);
      headBytes = 0;
    },
    holdAnswer(response, bytes) {
      const hold = (change: number) => {
        answerBytes += change;
        share.hold(change);
      };
      response.once('finish', () => hold(-bytes));
      hold(bytes);
    },
  };
}

/** Returns the memory that a request takes until it is answered, besides its body. */
export function measureRequest({ rawHeaders, url = '' }: IncomingMessage): number {
  const headLength = rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
  return HEAD_RATIO * headLength + REQUEST_BYTES;
}
