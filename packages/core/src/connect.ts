import net from 'node:net';
import type { Duplex } from 'node:stream';
import { Err, Ok, Result } from 'ts-results';
import type { Clock, Milliseconds, Outcome } from './types';
import { splitAddress } from './http';

/**
 * An open connection. Whoever opened it emits `retired`, and sets `isRetired`, once its way is not to be
 * used for further requests.
 */
export interface Connection extends Duplex {
  /** Missing once the connection was reset. */
  remoteAddress?: string | undefined;
  isRetired?: boolean;
  /** Whether another instance carries it, whose end cuts it as a reset by its target does. */
  isCarried?: boolean;
  /** Time of `clock.elapsed()` when it opened, if whoever opened it tells. */
  openedAt?: Milliseconds;
}

/** Why a connection did not open. Nothing was sent on it. */
export interface ConnectError {
  /** `refused`: the address answered that nothing listens there. `late`: it did not answer in time. */
  kind: 'refused' | 'late' | 'failed';
  message: string;
}

/** Opens a TCP connection to `ip:port` within the timeout. Never rejects, whatever the address is. */
export async function connect(
  clock: Clock,
  address: string,
  timeout: Milliseconds,
): Promise<Outcome<net.Socket, ConnectError>> {
  const opened = Result.wrap<net.Socket, Error>(() => net.connect(splitAddress(address)));
  if (opened.err) return Err({ kind: 'failed', message: opened.val.message });
  const socket = opened.val;
  return new Promise((resolve) => {
    const timer = clock.after(timeout, () =>
      fail({ kind: 'late', message: 'connection timed out' }),
    );
    function fail(error: ConnectError): void {
      timer.cancel();
      socket.destroy();
      resolve(Err(error));
    }
    function handleError({ code, message }: NodeJS.ErrnoException): void {
      fail({ kind: code === 'ECONNREFUSED' ? 'refused' : 'failed', message });
    }
    socket.once('error', handleError);
    socket.once('connect', () => {
      timer.cancel();
      socket.off('error', handleError);
      resolve(Ok(socket));
    });
  });
}
