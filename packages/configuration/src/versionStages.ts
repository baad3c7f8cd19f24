import { Diagnostics, hashText } from '@pomeloroad/core';
import type { Clock, Log, Milliseconds } from '@pomeloroad/core';
import { intersectConfigurations } from './intersect';
import { parseConfiguration } from './parse';
import type { VersionFile } from './topics';
import type { Configuration } from './types';

/**
 * Time after which a staged version that was neither accepted nor withdrawn is in doubt. From then
 * on, the instance serves only what both the version in force and the staged one allow.
 */
const DECISION_TIMEOUT_MS = 3000;
/** Dependencies of the stages of versions. */
export interface VersionStagesHost {
  clock: Clock;
  log: Log;
  /** Called after the served configuration may have changed. */
  onChange(): void;
}

/** The version in force at this instance and the one that may follow it. */
export interface VersionStages {
  /** Returns the configuration to serve; `undefined` until a first version is known. */
  getConfiguration(): Configuration | undefined;
  /** Number of the version in force; 0 if there is none. */
  getVersion(): number;
  getInForce(): VersionFile | undefined;
  getStaged(): VersionFile | undefined;
  /** Whether the staged version is in doubt, so that only what it allows too is served. */
  isInDoubt(): boolean;
  /** Keeps a later version ready to be installed; returns why it can't be. */
  stage(file: VersionFile): string | undefined;
  /** Puts a version in force, unless a later one is; returns why it can't be. */
  install(file: VersionFile): string | undefined;
  /** Drops the staged version if it has the number. */
  dropStaged(version: number): undefined;
  /** Begins the doubt about a version that has been staged for too long. */
  checkDecisionTimeout(): void;
}

/** A version file with its parsed configuration. */
interface LoadedVersion {
  file: VersionFile;
  configuration: Configuration;
}

/** Creates the stages without any version. */
export function createVersionStages({ clock, log, onChange }: VersionStagesHost): VersionStages {
  let inForce: LoadedVersion | undefined;
  let staged: (LoadedVersion & { at: Milliseconds }) | undefined;
  /** Served while the staged version is in doubt: what it and the version in force both allow. */
  let common: Configuration | undefined;

  function stage(file: VersionFile): string | undefined {
    const { version } = file.version;
    if (version <= getVersion()) return `serves version ${getVersion()}`;
    if (staged && staged.file.version.version > version) return 'a later version is staged';
    const loaded = load(file);
    if (!loaded) return 'the file does not pass the checks of this instance';
    staged = { ...loaded, at: clock.elapsed() };
    log(Diagnostics.configurationStaged, { version });
    return undefined;
  }

  function install(file: VersionFile): string | undefined {
    const { version } = file.version;
    if (version <= getVersion()) return undefined;
    const loaded = staged?.file.version.digest === file.version.digest ? staged : load(file);
    if (!loaded) return 'the file does not pass the checks of this instance';
    inForce = { file, configuration: loaded.configuration };
    if (staged && staged.file.version.version <= version) staged = undefined;
    common = undefined;
    log(Diagnostics.configurationAccepted, { version });
    onChange();
    return undefined;
  }

  function dropStaged(version: number): undefined {
    if (staged?.file.version.version !== version) return;
    staged = undefined;
    common = undefined;
    log(Diagnostics.configurationWithdrawn, { version });
    onChange();
  }

  function getVersion(): number {
    return inForce?.file.version.version ?? 0;
  }

  function checkDecisionTimeout(): void {
    if (!staged || common || clock.elapsed() - staged.at < DECISION_TIMEOUT_MS) return;
    log(Diagnostics.configurationInDoubt, { version: staged.file.version.version });
    if (inForce) common = intersectConfigurations(inForce.configuration, staged.configuration);
    onChange();
  }

  return {
    getConfiguration: () => common ?? inForce?.configuration,
    getVersion,
    getInForce: () => inForce?.file,
    getStaged: () => staged?.file,
    isInDoubt: () => common !== undefined,
    stage,
    install,
    dropStaged,
    checkDecisionTimeout,
  };
}

// Returns `undefined` if the digest does not match or the file has faults.
function load(file: VersionFile): LoadedVersion | undefined {
  if (hashText(file.text) !== file.version.digest) return undefined;
  const parsed = parseConfiguration(file.text);
  return parsed.ok ? { file, configuration: parsed.val } : undefined;
}
