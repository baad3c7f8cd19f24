import {
  createId,
  createLineWriter,
  createLog,
  createSystemClock,
  createSystemRandom,
  Diagnostics,
} from '@pomeloroad/core';
import type { Clock, Identity, Log, Random } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { createBatchTable, createHttpPlatform } from '@pomeloroad/storage';
import type { Platform, Table } from '@pomeloroad/storage';
import { createInstanceNetwork } from './instanceNetwork';
import type { Settings } from './settings';

const STDOUT_FD = 1;
const WRITE_RETRY_TIMEOUT_MS = 5000;

/** What all other parts of an instance stand on. */
export interface InstanceBase {
  clock: Clock;
  random: Random;
  self: Identity;
  log: Log;
  platform: Platform;
  /** The platform's table, with the writes of this instance collected and limited. */
  table: Table;
  network: PeerNetwork;
  /** Whether the table service does not answer. */
  isTableUnavailable(): boolean;
}

/** Creates the base of an instance, which does not listen yet. */
export function createInstanceBase(settings: Settings): InstanceBase {
  const clock = createSystemClock();
  const random = createSystemRandom();
  const { instance, dataCentre } = settings;
  const self: Identity = { instance, dataCentre, incarnation: createId() };
  const lineWriter = createLineWriter(clock, STDOUT_FD);
  const log = createLog(clock, settings.logLevel, { ...self }, lineWriter.write);
  let isTableUnavailable = false;

  const platform = createHttpPlatform(
    {
      clock,
      onAvailability(service, isAvailable) {
        if (service === 'table') isTableUnavailable = !isAvailable;
        const { platformRecovered, platformUnavailable } = Diagnostics;
        log(isAvailable ? platformRecovered : platformUnavailable, { service });
      },
    },
    { ...settings, timeout: settings.platformTimeout },
  );
  const table = createBatchTable({ clock, random }, platform.table, {
    writesPerSecond: settings.writesPerSecond,
    patience: WRITE_RETRY_TIMEOUT_MS,
  });
  const network = createInstanceNetwork({ clock, random, log }, self, settings);
  const isUnavailable = () => isTableUnavailable;
  return { clock, random, self, log, platform, table, network, isTableUnavailable: isUnavailable };
}
