import { callHttp } from '@pomeloroad/core';
import { pause } from './pause';
import type { Testbed, TestbedInstance } from './testbed';

const POLL_INTERVAL_MS = 50;
const HEALTH_TIMEOUT_MS = 1000;

// The part of an instance's state dump that the watcher reads.
interface InstanceDump {
  identity: { incarnation: string };
  configuration: { version: number };
}

/** Configuration versions that the instances reported during a replay. */
export interface Observations {
  /** Polls in which an incarnation reported a lower version than before. */
  configReverts: number;
  /** Time at which each version was first seen in force, by version and instance. */
  inForceAt: Map<number, Map<string, Date>>;
}

/** Polls the readiness of the instances for the balancer and their versions in force. */
export interface Watcher {
  observations: Observations;
  stop(): void;
}

/** Starts polling all instances; `isReady` of each instance follows its readiness check. */
export function startWatcher(testbed: Testbed): Watcher {
  const observations: Observations = { configReverts: 0, inForceAt: new Map() };
  const highestVersions = new Map<string, number>();
  let isStopped = false;

  async function watch(instance: TestbedInstance): Promise<void> {
    while (!isStopped) {
      await checkHealth(instance);
      await checkVersion(instance);
      await pause(POLL_INTERVAL_MS);
    }
  }

  async function checkHealth(instance: TestbedInstance): Promise<void> {
    const watched = instance;
    const url = `${instance.operatorsUrl}/health/ready`;
    const answer = await callHttp({ method: 'GET', url, timeout: HEALTH_TIMEOUT_MS });
    watched.isReady = answer.ok && answer.val.status === 200;
  }

  async function checkVersion(instance: TestbedInstance): Promise<void> {
    const answer = await testbed.callOperator(instance, 'GET', '/dump');
    if (answer?.status !== 200) return;
    const { identity, configuration } = answer.body as InstanceDump;
    const { version } = configuration;
    const highestVersion = highestVersions.get(identity.incarnation) ?? 0;
    if (version < highestVersion) observations.configReverts += 1;
    if (version > highestVersion) recordVersion(instance.name, version);
    highestVersions.set(identity.incarnation, Math.max(highestVersion, version));
  }

  function recordVersion(instance: string, version: number): void {
    const firstSeen = observations.inForceAt.get(version) ?? new Map<string, Date>();
    if (!firstSeen.has(instance)) firstSeen.set(instance, new Date());
    observations.inForceAt.set(version, firstSeen);
  }

  testbed.instances.forEach((instance) => watch(instance));
  return {
    observations,
    stop() {
      isStopped = true;
    },
  };
}
