import path from 'node:path';

const ROOT = path.join(__dirname, '..', '..', '..');

/** The program of an instance. */
export const INSTANCE_PROGRAM = path.join(ROOT, 'packages', 'entry', 'dist', 'main.js');

/** The program of the stand-ins. */
export const STANDINS_PROGRAM = path.join(ROOT, 'packages', 'standins', 'dist', 'main.js');

/** The program of the fault proxy. */
export const PROXY_PROGRAM = path.join(__dirname, 'proxyMain.js');

/** The recorded trace of a deployment. */
export function getTracePath(deployment: string): string {
  return path.join(ROOT, 'packages', 'replay', 'traces', `${deployment}.jsonl`);
}
