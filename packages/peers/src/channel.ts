import type { WebSocket } from 'ws';
import { decodeFrame, encodeFrame } from './frames';
import type { Frame } from './frames';

/** Sends and receives frames over one connection and counts its bytes. */
export interface Channel {
  /** Sends a frame, or drops it if the connection is closed. */
  send(frame: Frame): void;
  /** Waits for the next frame; `undefined` once the connection is closed. */
  receive(): Promise<Frame | undefined>;
  /** Terminates the connection without a closing handshake. */
  close(): void;
  bytesSent(): number;
  bytesReceived(): number;
}

/** Reads frames one by one from a connection and terminates it if a message is not a frame. */
export function createChannel(socket: WebSocket): Channel {
  const frames: Frame[] = [];
  let isClosed = false;
  let sent = 0;
  let received = 0;
  let wake: (() => void) | undefined;

  function signal(): void {
    wake?.();
    wake = undefined;
  }

  function waitForSignal(): Promise<void> {
    return new Promise((resolve) => {
      wake = resolve;
    });
  }

  socket.on('message', (data: Buffer) => {
    received += data.length;
    const frame = decodeFrame(data);
    if (frame) frames.push(frame);
    else socket.terminate();
    signal();
  });
  socket.on('error', () => socket.terminate());
  socket.on('close', () => {
    isClosed = true;
    signal();
  });

  return {
    send(frame) {
      if (isClosed) return;
      const data = encodeFrame(frame);
      sent += data.length;
      socket.send(data, () => undefined);
    },
    async receive() {
      while (frames.length === 0) {
        if (isClosed) return undefined;
        await waitForSignal();
      }
      return frames.shift();
    },
    close: () => socket.terminate(),
    bytesSent: () => sent,
    bytesReceived: () => received,
  };
}
