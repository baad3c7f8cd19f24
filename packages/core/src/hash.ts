import { createHash, createHmac, timingSafeEqual } from 'node:crypto';

const FIELD_HASH_BYTES = 16;

/** Returns the SHA-256 hash of the text in hexadecimal. */
export function hashText(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns 128 bits of the SHA-256 hash of the texts, each by itself, and of the data, in base64url. */
export function hashFields(texts: readonly string[], data: Buffer): string {
  const hash = createHash('sha256').update(JSON.stringify(texts)).update(data).digest();
  return hash.subarray(0, FIELD_HASH_BYTES).toString('base64url');
}

/** Returns the HMAC-SHA-256 of the text in base64url. */
export function signText(key: string, text: string): string {
  return createHmac('sha256', key).update(text).digest('base64url');
}

/** Whether two texts are equal. The time that this takes depends on their lengths only. */
export function isSameText(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Returns the nodes in order of their rendezvous hash for the key; the first one owns it. */
export function rankNodes(key: string, nodes: readonly string[]): string[] {
  const weights = nodes.map((node) => ({ node, weight: getWeight(key, node) }));
  weights.sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1));
  return weights.map((entry) => entry.node);
}

/** Returns the node that owns the key by rendezvous hashing, or `undefined` without nodes. */
export function getOwner(key: string, nodes: readonly string[]): string | undefined {
  let owner: string | undefined;
  let best = -1;
  nodes.forEach((node) => {
    const weight = getWeight(key, node);
    if (weight > best || (weight === best && owner !== undefined && node < owner)) {
      owner = node;
      best = weight;
    }
  });
  return owner;
}

function getWeight(key: string, node: string): number {
  return createHash('sha1').update(`${key}\n${node}`).digest().readUIntBE(0, 6);
}
