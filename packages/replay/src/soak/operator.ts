import { createRandom, sleep } from '@pomeloroad/core';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import { createAccounts, getProbeKey, getProbeRoute, putConfiguration } from './configuration';
import type { Evidence } from './evidence';
import type { Fleet } from './fleet';
import type { Sender } from './sender';

const CHANGE_INTERVAL_MIN_MS: Milliseconds = 1500;
const CHANGE_INTERVAL_MAX_MS: Milliseconds = 6000;
const PROBE_INTERVAL_MS: Milliseconds = 250;
const RETRY_DELAY_MS: Milliseconds = 100;
const VERSION_STEP_MAX = 5;

/** Dependencies of the operator. */
export interface OperatorHost {
  clock: Clock;
  fleet: Fleet;
  evidence: Evidence;
  sender: Sender;
  seed: number;
  /** Whether the configurations say that endpoints of streams replicate runs. */
  hasReplicas: boolean;
  signal: AbortSignal;
}

/** An operator that writes configurations and asks instances for routes that changed. */
export interface Operator {
  /** Writes the first configuration. */
  start(): Promise<void>;
  /** Changes routes, keys and budgets until the signal is aborted. */
  run(): Promise<void>;
  /** Writes a configuration whose streams are at the other service, or at their own again. */
  moveStreams(isMoved: boolean): Promise<void>;
}

/** Creates an operator; the same seed gives the same changes. */
export function createOperator(host: OperatorHost): Operator {
  const { clock, fleet, evidence, sender, signal } = host;
  const random = createRandom(host.seed);
  let version = 0;
  let previous = 0;
  let probes = 0;
  let hasMovedStreams = false;
  let writing = Promise.resolve();

  // One write after the other: versions only rise.
  function write(): Promise<void> {
    writing = writing.then(writeNext);
    return writing;
  }

  async function writeNext(): Promise<void> {
    const next = version + random.integer(1, VERSION_STEP_MAX);
    // A budget that is on its way may be spent already.
    createAccounts(next).forEach(({ name, prepaid }) => evidence.totals.setBudget(name, prepaid));
    evidence.history.beginWrite();
    const variant = { hasReplicas: host.hasReplicas, hasMovedStreams };
    const put = () => putConfiguration(fleet.store, next, variant);
    while (!(await put())) await sleep(clock, RETRY_DELAY_MS);
    evidence.history.acknowledge(getProbeRoute(next));
    previous = version;
    version = next;
  }

  async function change(): Promise<void> {
    while (!signal.aborted) {
      const delay = random.integer(CHANGE_INTERVAL_MIN_MS, CHANGE_INTERVAL_MAX_MS);
      await sleep(clock, delay, signal);
      if (!signal.aborted) await write();
    }
  }

  // Asks all instances in turn, also for the route that was removed last.
  async function probe(): Promise<void> {
    while (!signal.aborted) {
      await sleep(clock, PROBE_INTERVAL_MS, signal);
      const asked = probes % 2 === 0 || previous === 0 ? version : previous;
      const instance = fleet.instances[Math.floor(probes / 2) % fleet.instances.length];
      probes += 1;
      if (!instance) return;
      await sender.send({
        id: `probe-${probes}`,
        work: {
          route: getProbeRoute(asked),
          framing: 'length',
          events: 1,
          pause: 0,
          fault: 'none',
        },
        account: 'rich',
        key: getProbeKey(asked),
        inputTokens: 1,
        resumeAfter: 0,
        heldVersions: [],
        instance,
      });
    }
  }

  return {
    start: write,
    async run() {
      await Promise.all([change(), probe()]);
    },
    moveStreams(isMoved) {
      hasMovedStreams = isMoved;
      return write();
    },
  };
}
