/** Pieces below this size are copied together, since each Buffer costs some hundred bytes. */
const LARGE_PIECE_BYTES = 2048;
const FIRST_BLOCK_BYTES = 512;
const BLOCK_MAX_BYTES = 16 * 1024;

/** Bytes that arrive in pieces, held in about as much memory as they need. */
export interface JoinedPieces {
  add(piece: Buffer): void;
  /** Returns all that was added, in its order. */
  join(): Buffer;
}

/** Creates the pieces of a text of which nothing has arrived. */
export function createJoinedPieces(): JoinedPieces {
  let parts: Buffer[] = [];
  /** Block that small pieces are copied to; `used` bytes of it are. */
  let block: Buffer | undefined;
  let used = 0;
  let blockBytes = FIRST_BLOCK_BYTES;

  function endBlock(): void {
    if (block) parts.push(block.subarray(0, used));
    block = undefined;
    used = 0;
  }

  function copy(piece: Buffer): void {
    if (block && used + piece.length > block.length) endBlock();
    if (!block) {
      block = Buffer.allocUnsafeSlow(Math.max(blockBytes, piece.length));
      blockBytes = Math.min(blockBytes * 2, BLOCK_MAX_BYTES);
    }
    used += piece.copy(block, used);
  }

  return {
    add(piece) {
      if (piece.length < LARGE_PIECE_BYTES) {
        copy(piece);
        return;
      }
      endBlock();
      parts.push(piece);
    },
    join() {
      endBlock();
      const [only] = parts;
      const joined = parts.length === 1 && only ? only : Buffer.concat(parts);
      parts = [];
      return joined;
    },
  };
}
