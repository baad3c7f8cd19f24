import type { Socket } from 'node:net';
import { holdInput } from './heldInput';

/** A new parser for a connection, which gets the input that is held until it may begin. */
export interface LaterParser {
  /** Whether input is held for it. */
  isWaiting(): boolean;
  /** Holds the input, of which the pieces were read already, and calls back for the parser once it may begin. */
  hold(pieces: Buffer[], parse: () => void): void;
  /** Lets the parser begin if it may; does nothing if no input is held. */
  schedule(): void;
  /** Calls back no more. */
  cancel(): void;
}

/** What decides on the parser. */
export interface LaterParserHost {
  /** Whether it may begin now; `schedule` must be called once it may. */
  mayBegin(): boolean;
  /** Notes bytes that are held, or fewer than none that are not any more. */
  hold(bytes: number): void;
}

/** Creates the later parser of a connection, for which nothing is held. */
export function createLaterParser(socket: Socket, host: LaterParserHost): LaterParser {
  /** Gives the connection a new parser for the input that is held, if any is. */
  let parseHeld: (() => void) | undefined;

  // Node still handles the latest response's end, or the parser that it has taken off, in this turn.
  function schedule(): void {
    if (parseHeld && host.mayBegin()) setImmediate(endHold);
  }

  function endHold(): void {
    const parse = parseHeld;
    parseHeld = undefined;
    if (!socket.destroyed && !socket.readableEnded) parse?.();
  }

  return {
    isWaiting: () => parseHeld !== undefined,
    hold(pieces, parse) {
      const held = holdInput(socket, pieces, host.hold);
      parseHeld = () => {
        held.giveBack();
        parse();
        socket.resume();
      };
      schedule();
    },
    schedule,
    cancel() {
      parseHeld = undefined;
    },
  };
}
