import { Packr } from 'msgpackr';
import type { Identity } from '@pomeloroad/core';

/** Range of peer protocol versions that this program supports. */
export const ProtocolVersions = { oldest: 1, newest: 1 } as const;

/** A message on a connection between two instances. */
export type Frame =
  | { kind: 'challenge'; nonce: string }
  | {
      kind: 'hello';
      oldest: number;
      newest: number;
      identity: Identity;
      nonce: string;
      proof: string;
    }
  | { kind: 'welcome'; version: number; identity: Identity; proof: string }
  | { kind: 'reject'; reason: string }
  | { kind: 'call'; id: number; topic: string; body: unknown }
  | { kind: 'reply'; id: number; body: unknown }
  | { kind: 'failure'; id: number; message: string }
  | { kind: 'ping' }
  | { kind: 'pong' };

const packr = new Packr({ useRecords: false });

/** Encodes a frame as MessagePack. */
export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/** Decodes a frame; returns `undefined` if the bytes are not a frame. */
export function decodeFrame(data: Buffer): Frame | undefined {
  try {
    const value: unknown = packr.unpack(data);
    return isFrame(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function isFrame(value: unknown): value is Frame {
  return typeof value === 'object' && value !== null && 'kind' in value;
}
