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

type FieldCheck = (value: unknown) => boolean;

const isAny: FieldCheck = () => true;
const isText: FieldCheck = (value) => typeof value === 'string';
const isNumber: FieldCheck = (value) => typeof value === 'number';

const IDENTITY_FIELDS: Record<keyof Identity, FieldCheck> = {
  instance: isText,
  incarnation: isText,
  dataCentre: isText,
};

/** What the fields of each kind of frame hold. Anyone who can connect may send any of them. */
const FRAME_FIELDS: Record<Frame['kind'], Record<string, FieldCheck>> = {
  challenge: { nonce: isText },
  hello: {
    oldest: isNumber,
    newest: isNumber,
    identity: isIdentity,
    nonce: isText,
    proof: isText,
  },
  welcome: { version: isNumber, identity: isIdentity, proof: isText },
  reject: { reason: isText },
  call: { id: isNumber, topic: isText, body: isAny },
  reply: { id: isNumber, body: isAny },
  failure: { id: isNumber, message: isText },
  ping: {},
  pong: {},
};

function isFrame(value: unknown): value is Frame {
  if (typeof value !== 'object' || value === null || !('kind' in value)) return false;
  const { kind } = value;
  return isKind(kind) && hasFields(value, FRAME_FIELDS[kind]);
}

function isKind(kind: unknown): kind is Frame['kind'] {
  return typeof kind === 'string' && Object.hasOwn(FRAME_FIELDS, kind);
}

function isIdentity(value: unknown): boolean {
  return typeof value === 'object' && value !== null && hasFields(value, IDENTITY_FIELDS);
}

function hasFields(value: object, fields: Record<string, FieldCheck>): boolean {
  const values = value as Record<string, unknown>;
  return Object.entries(fields).every(([name, isValid]) => isValid(values[name]));
}
