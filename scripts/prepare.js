/* Installs and builds whatever is missing, so that each npm script works on a fresh clone. */
const { execFileSync } = require('node:child_process');
const fs = require('node:fs');
const path = require('node:path');

const root = path.join(__dirname, '..');
const quiet = process.argv.includes('--quiet');

function run(command, args) {
  // Progress goes to stderr, so that a script's own standard output stays machine readable.
  execFileSync(command, args, { cwd: root, stdio: ['ignore', quiet ? 'ignore' : 2, 2] });
}

function isInstalled() {
  const marker = path.join(root, 'node_modules', '.package-lock.json');
  const lock = path.join(root, 'package-lock.json');
  if (!fs.existsSync(marker)) return false;
  return fs.statSync(marker).mtimeMs >= fs.statSync(lock).mtimeMs;
}

if (!isInstalled()) {
  run('npm', ['ci']);
  fs.utimesSync(path.join(root, 'node_modules', '.package-lock.json'), new Date(), new Date());
}
run(process.execPath, [path.join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b']);
