import net from 'node:net';
import tls from 'node:tls';
import type { Socket } from 'node:net';
import { splitAddress } from '@pomeloroad/core';

/** One answer as it was read from the wire. */
export interface PlainAnswer {
  status: number;
  body: string;
  /** Whether its framing says that it is complete. */
  isWhole: boolean;
}

/** A caller that sends bytes as they are and reads what comes. */
export interface PlainCaller {
  socket: Socket;
  /** Returns all that has come. */
  text(): string;
  /** Resolves once the connection has closed, to whether it was closed in order rather than reset. */
  closed: Promise<boolean>;
}

/** Connects to `ip:port`, with TLS that trusts anyone if `isSecure`. */
export function openPlainCaller(address: string, isSecure = false): PlainCaller {
  const target = splitAddress(address);
  const socket = isSecure
    ? tls.connect({ ...target, rejectUnauthorized: false })
    : net.connect(target);
  let text = '';
  socket.on('data', (data: Buffer) => {
    text += data.toString('latin1');
  });
  socket.on('error', () => undefined);
  const closed = new Promise<boolean>((resolve) => {
    socket.once('close', (hadError) => resolve(!hadError));
  });
  return { socket, text: () => text, closed };
}

/** Returns the answers that the text holds, in order; the last one may lack its end. */
export function parseAnswers(text: string): PlainAnswer[] {
  const answers: PlainAnswer[] = [];
  let rest = text;
  while (rest !== '') {
    const end = rest.indexOf('\r\n\r\n');
    const head = end < 0 ? rest : rest.slice(0, end);
    const { body, isWhole, after } = readBody(head, end < 0 ? '' : rest.slice(end + 4));
    answers.push({ status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]), body, isWhole });
    rest = after;
  }
  return answers;
}

function readBody(head: string, rest: string) {
  if (/transfer-encoding: chunked/i.test(head)) return readChunks(rest);
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  const body = rest.slice(0, length);
  return { body, isWhole: body.length === length, after: rest.slice(length) };
}

function readChunks(text: string) {
  let body = '';
  let rest = text;
  for (;;) {
    const start = rest.indexOf('\r\n') + 2;
    const size = parseInt(rest, 16);
    if (start < 2 || !(size >= 0)) return { body, isWhole: false, after: '' };
    if (size === 0) return { body, isWhole: true, after: rest.slice(start + 2) };
    body += rest.slice(start, start + size);
    rest = rest.slice(start + size + 2);
  }
}
