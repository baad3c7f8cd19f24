import { callHttp } from '@pomeloroad/core';
import { pause } from './pause';
import type { Stage, StageInstance } from './stage';

const POLL_MS = 50;
const HEALTH_TIMEOUT_MS = 1000;

/** What an instance says about its configuration. */
interface Dump {
  identity: { incarnation: string };
  configuration: { version: number };
}

/** What watching the instances from outside showed. */
export interface Observations {
  /** Times that an instance served a lower version than it had served before. */
  configReverts: number;
  /** When each version was first in force on each instance. */
  inForceAt: Map<number, Map<string, Date>>;
}

/** Plays the balancer's health check and watches the versions in force. */
export interface Watcher {
  observations: Observations;
  stop(): void;
}

/** Starts watching all instances. */
export function startWatcher(stage: Stage): Watcher {
  const observations: Observations = { configReverts: 0, inForceAt: new Map() };
  const highest = new Map<string, number>();
  let isStopped = false;

  async function watch(instance: StageInstance): Promise<void> {
    while (!isStopped) {
      await checkHealth(instance);
      await checkVersion(instance);
      await pause(POLL_MS);
    }
  }

  async function checkHealth(instance: StageInstance): Promise<void> {
    const watched = instance;
    const url = `${instance.operatorsUrl}/health/ready`;
    const answer = await callHttp({ method: 'GET', url, timeout: HEALTH_TIMEOUT_MS });
    watched.isReady = answer.ok && answer.val.status === 200;
  }

  async function checkVersion(instance: StageInstance): Promise<void> {
    const answer = await stage.callOperator(instance, 'GET', '/dump');
    if (answer?.status !== 200) return;
    const { identity, configuration } = answer.body as Dump;
    const { version } = configuration;
    const known = highest.get(identity.incarnation) ?? 0;
    if (version < known) observations.configReverts += 1;
    if (version > known) noteVersion(instance.name, version);
    highest.set(identity.incarnation, Math.max(known, version));
  }

  function noteVersion(instance: string, version: number): void {
    const seen = observations.inForceAt.get(version) ?? new Map<string, Date>();
    if (!seen.has(instance)) seen.set(instance, new Date());
    observations.inForceAt.set(version, seen);
  }

  stage.instances.forEach((instance) => watch(instance));
  return {
    observations,
    stop() {
      isStopped = true;
    },
  };
}
