// Installs the dependencies if they are missing or older than the lock file, then builds. Other npm
// scripts run it first, so that they work on a fresh clone.
const { execFileSync } = require('node:child_process');
const fs = require('node:fs');
const path = require('node:path');

const root = path.join(__dirname, '..');
const isQuiet = process.argv.includes('--quiet');

function run(command, args) {
  // Progress goes to standard error, because programs parse the standard output of some scripts.
  execFileSync(command, args, { cwd: root, stdio: ['ignore', isQuiet ? 'ignore' : 2, 2] });
}

function isInstalled() {
  const installMarker = path.join(root, 'node_modules', '.package-lock.json');
  const lockFile = path.join(root, 'package-lock.json');
  if (!fs.existsSync(installMarker)) return false;
  return fs.statSync(installMarker).mtimeMs >= fs.statSync(lockFile).mtimeMs;
}

if (!isInstalled()) {
  run('npm', ['ci']);
  fs.utimesSync(path.join(root, 'node_modules', '.package-lock.json'), new Date(), new Date());
}
run(process.execPath, [path.join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b']);
