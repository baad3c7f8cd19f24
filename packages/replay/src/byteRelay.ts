import type net from 'node:net';
import { MS_PER_SECOND } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';

const NO_BYTES = Buffer.alloc(0);

/** How a connection ends: closed in order, reset, or closed in order towards the receiver only. */
export type CutKind = 'close' | 'reset' | 'half-close';

/** What the proxy does to bytes from one group of processes to another. */
export type Effect =
  /** Bytes are dropped on open and new connections; connections are still accepted. */
  | { kind: 'blackhole' }
  /** Open connections are closed, and new ones as soon as they are accepted. */
  | { kind: 'reset' }
  /** Bytes are forwarded after a delay. */
  | { kind: 'delay'; delay: Milliseconds }
  /** Bytes are forwarded at a limited rate. */
  | { kind: 'slow'; bytesPerSecond: number }
  /** Bytes of this direction are dropped for good; those of the other direction pass. */
  | { kind: 'one-way' }
  /** A connection ends once it has forwarded this many more bytes; 0 ends open ones at once. */
  | { kind: 'cut'; after: number; cut: CutKind };

/** Forwards the bytes of one direction of a connection, under the effect in force. */
export interface ByteRelay {
  /** Drops all further bytes and does not pass on the end of the connection. */
  silence(): void;
  /** Ends the connection. */
  cut(kind: CutKind): void;
}

interface QueuedStep {
  dueAt: Milliseconds;
  apply(): void;
}

/**
 * Forwards bytes, the end and the reset of the input to the output, in order. `silenceBoth` silences
 * both directions.
 */
export function createByteRelay(
  clock: Clock,
  input: net.Socket,
  output: net.Socket,
  getEffect: () => Effect | undefined,
  silenceBoth: () => void,
): ByteRelay {
  const queue: QueuedStep[] = [];
  let dueAt: Milliseconds = 0;
  let isSilent = false;
  let bytesUntilCut: number | undefined;

  function forward(data: Buffer): void {
    const effect = getEffect();
    if (effect?.kind === 'blackhole') silenceBoth();
    // What TCP has lost can't be followed by later bytes of the same connection.
    if (effect?.kind === 'one-way') isSilent = true;
    if (isSilent) return;
    if (effect?.kind === 'cut') {
      forwardUntilCut(data, effect);
      return;
    }
    bytesUntilCut = undefined;
    schedule(data, () => writeWithBackpressure(input, output, data));
  }

  function forwardUntilCut(data: Buffer, effect: Extract<Effect, { kind: 'cut' }>): void {
    bytesUntilCut ??= effect.after;
    const part = data.subarray(0, bytesUntilCut);
    bytesUntilCut -= part.length;
    schedule(part, () => writeWithBackpressure(input, output, part));
    if (bytesUntilCut === 0) cut(effect.cut);
  }

  function cut(kind: CutKind): void {
    schedule(NO_BYTES, () => {
      if (kind === 'reset') [input, output].forEach((socket) => socket.resetAndDestroy());
      else output.end();
      if (kind === 'close') input.end();
    });
    isSilent = true;
    input.resume();
  }

  // Steps are applied in order, also when a delay has ended.
  function schedule(data: Buffer, apply: () => void): void {
    const effect = getEffect();
    const now = clock.elapsed();
    const start = effect?.kind === 'slow' ? Math.max(now, dueAt) : now;
    dueAt = Math.max(dueAt, start + getDelay(effect, data.length));
    queue.push({ dueAt, apply });
    if (queue.length === 1) applyDue();
  }

  function applyDue(): void {
    const [next] = queue;
    if (!next) return;
    const wait = next.dueAt - clock.elapsed();
    if (wait > 0) {
      clock.after(wait, applyDue);
      return;
    }
    next.apply();
    queue.shift();
    applyDue();
  }

  function passOn(apply: () => void): void {
    if (isSilent) return;
    schedule(NO_BYTES, apply);
  }

  input.on('data', forward);
  input.on('end', () => passOn(() => output.end()));
  input.on('error', () => passOn(() => output.resetAndDestroy()));
  input.on('close', () => passOn(() => output.destroySoon()));
  return {
    silence() {
      isSilent = true;
    },
    cut,
  };
}

function getDelay(effect: Effect | undefined, bytes: number): Milliseconds {
  if (effect?.kind === 'delay') return effect.delay;
  if (effect?.kind === 'slow') return (bytes / effect.bytesPerSecond) * MS_PER_SECOND;
  return 0;
}

// Writes to the output and pauses the input until a full output buffer has drained.
function writeWithBackpressure(input: net.Socket, output: net.Socket, data: Buffer): void {
  if (output.destroyed || output.writableEnded || output.write(data)) return;
  input.pause();
  output.once('drain', () => input.resume());
}
