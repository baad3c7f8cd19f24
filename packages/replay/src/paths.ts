import path from 'node:path';

/** Path of the repository. */
export const ROOT = path.join(__dirname, '..', '..', '..');

/** Path of the program of an instance. */
export const INSTANCE_PROGRAM = path.join(ROOT, 'packages', 'entry', 'dist', 'main.js');

/** Path of the program of the stand-ins. */
export const STANDINS_PROGRAM = path.join(ROOT, 'packages', 'standins', 'dist', 'main.js');

/** Path of the program that is deployed on the operators' platform; `npm run bundle` builds it. */
export const BUNDLED_PROGRAM = path.join(ROOT, 'target', 'pomeloroad.js');

/** Path of the program of the fault proxy. */
export const PROXY_PROGRAM = path.join(__dirname, 'proxyMain.js');

/** Returns the path of the recorded trace of a deployment. */
export function getTracePath(deployment: string): string {
  return path.join(ROOT, 'packages', 'replay', 'traces', `${deployment}.jsonl`);
}
