import { execFileSync, spawnSync } from 'node:child_process';
import { mkdirSync, symlinkSync } from 'node:fs';
import path from 'node:path';
import { ROOT } from '../paths';

/** What a build of the bundled program reads. */
const SOURCES = [
  'package.json',
  'tsconfig.base.json',
  'tsconfig.bundle.json',
  'packages',
  'platform',
];

/** Whether the history has the commit; an archive of the sources or a shallow clone may not. */
export function hasRevision(revision: string): boolean {
  return spawnSync('git', ['cat-file', '-e', `${revision}^{commit}`], { cwd: ROOT }).status === 0;
}

/**
 * Builds the bundled program of a commit of the history in a folder of the directory, with the packages
 * that are installed here. Returns its path; throws if the history does not have the commit.
 */
export function buildRevision(revision: string, directory: string): string {
  const folder = path.join(directory, revision);
  const archive = `${folder}.tar`;
  mkdirSync(folder);
  execFileSync('git', ['archive', `--output=${archive}`, revision, ...SOURCES], { cwd: ROOT });
  execFileSync('tar', ['-xf', archive, '-C', folder]);
  symlinkSync(path.join(ROOT, 'node_modules'), path.join(folder, 'node_modules'));
  execFileSync('npm', ['run', '--silent', 'bundle'], { cwd: folder });
  return path.join(folder, 'target', 'pomeloroad.js');
}
