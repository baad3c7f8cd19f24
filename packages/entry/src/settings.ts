import { readFileSync } from 'node:fs';
import { Err, Ok } from 'ts-results';
import { z } from 'zod';
import { DEFAULT_MEMORY_LIMIT_BYTES } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const ENVIRONMENT_PREFIX = 'POMELOROAD_';
const MIN_SECRET_LENGTH = 16;

/** Definition of a setting, which is given as a flag or as an environment variable. */
export interface SettingDefinition<T = unknown> {
  description: string;
  /** Unit of the value; empty if it has none. */
  unit: string;
  /** Text of the default value; `undefined` if the setting is required. */
  fallback: string | undefined;
  schema: z.ZodType<T, string>;
}

function define<T>(
  schema: z.ZodType<T, string>,
  fallback: string | undefined,
  unit: string,
  description: string,
): SettingDefinition<T> {
  return { schema, fallback, unit, description };
}

const name = z.string().regex(NAME_PATTERN, 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"');
const address = z
  .string()
  .regex(ADDRESS_PATTERN, 'expected an IP number and a port, 10.0.0.1:8000');
const addressOrNone = z.literal('').or(address);
const addressList = z
  .string()
  .transform((text) => (text === '' ? [] : text.split(',')))
  .pipe(z.array(address));
const url = z.string().regex(/^https?:\/\/[^/]+$/, 'expected http://ADDRESS:PORT');
const secret = z
  .string()
  .min(MIN_SECRET_LENGTH, `expected at least ${MIN_SECRET_LENGTH} characters`);
const file = z.string().refine((path) => path === '' || isReadable(path), 'file is not readable');
const level = z.enum(['error', 'warn', 'info', 'debug']);
const grants = z.enum(['adaptive', 'even', 'central']);

// Schema of a whole number that is at least `min`.
function count(min: number): z.ZodType<number, string> {
  return z
    .string()
    .regex(/^\d+$/, 'expected a whole number')
    .transform(Number)
    .pipe(z.number().min(min, `expected ${min} or more`));
}

/** Every setting of `pomeloroad serve`. */
export const SettingDefinitions = {
  instance: define(name, undefined, '', 'name of this instance, unique in the fleet'),
  dataCentre: define(name, undefined, '', 'data centre that this instance stands in'),
  callersAddress: define(address, '127.0.0.1:8080', 'ip:port', 'where callers connect'),
  peersAddress: define(address, '127.0.0.1:8081', 'ip:port', 'where other instances connect'),
  operatorsAddress: define(address, '127.0.0.1:8082', 'ip:port', 'where operators connect'),
  advertisedAddress: define(
    addressOrNone,
    '',
    'ip:port',
    'peers address as others reach it; by default the one listened on',
  ),
  sourceAddress: define(
    z.string(),
    '',
    'ip',
    'local IP number of outgoing connections; by default the system chooses',
  ),
  seeds: define(
    addressList,
    '',
    'ip:port,…',
    'peers addresses to ask while the membership list does not answer',
  ),
  tableUrl: define(url, undefined, 'URL', 'the table service'),
  objectsUrl: define(url, undefined, 'URL', 'the object store'),
  membershipUrl: define(url, undefined, 'URL', 'the membership list'),
  platformTimeout: define(count(1), '1000', 'ms', 'how long to wait for an answer of the platform'),
  writesPerSecond: define(count(1), '20', '1/s', 'table transactions of this instance, on average'),
  fleetKey: define(secret, undefined, '', 'secret that all instances of the fleet share'),
  operatorKey: define(secret, undefined, '', 'secret that operators present'),
  tlsCert: define(file, '', 'path', 'PEM certificate for callers and operators; empty for no TLS'),
  tlsKey: define(file, '', 'path', 'PEM key of that certificate'),
  peersTlsCert: define(file, '', 'path', 'PEM certificate for peers; empty for no TLS'),
  peersTlsKey: define(file, '', 'path', 'PEM key of that certificate'),
  peersTlsAuthority: define(file, '', 'path', 'PEM certificate of the authority of all peers'),
  bodyLimit: define(count(1), '1048576', 'bytes', 'largest request body'),
  answerLimit: define(count(1), '16777216', 'bytes', 'largest answer of a plain service'),
  headerLimit: define(count(1024), '16384', 'bytes', 'largest request head'),
  memoryLimit: define(
    count(1),
    `${DEFAULT_MEMORY_LIMIT_BYTES}`,
    'bytes',
    'held for callers at most',
  ),
  connectionLimit: define(count(1), '10000', '', 'open connections of callers'),
  requestTimeout: define(count(1), '10000', 'ms', 'how long a caller may take to send its request'),
  writeTimeout: define(count(1), '60000', 'ms', 'how long a caller may take no data of its answer'),
  defaultDeadline: define(count(1), '10000', 'ms', 'how long a request may wait before it runs'),
  maxDeadline: define(count(1), '120000', 'ms', 'longest wait that a caller may ask for'),
  queueLimit: define(count(1), '2000', '', 'requests that wait for an endpoint at most'),
  stallTimeout: define(count(1), '2000', 'ms', 'silence after which a stream is followed anew'),
  firstByteTimeout: define(count(1), '30000', 'ms', 'wait for the first data of an endpoint'),
  betweenTimeout: define(count(1), '10000', 'ms', 'wait for further data of an endpoint'),
  budgetPatience: define(count(0), '5000', 'ms', 'wait for tokens in use elsewhere to come free'),
  answerRetention: define(count(1), '600000', 'ms', 'how long answers to named requests are kept'),
  answerCapacity: define(count(1), '33554432', 'bytes', 'finished answers kept at most'),
  resumeWindow: define(
    count(0),
    '10000',
    'ms',
    'how long a named request runs on without a reader',
  ),
  settleInterval: define(count(1), '1000', 'ms', 'time between settlements of usage'),
  grants: define(grants, 'adaptive', '', 'how grants are sized: adaptive, even or central'),
  grantHorizon: define(
    count(1),
    '14400',
    's',
    'how long an adaptive grant lasts at the present rate',
  ),
  drainTimeout: define(count(1), '600000', 'ms', 'how long a shutdown waits for open requests'),
  drainNotice: define(count(0), '1000', 'ms', 'time between failing readiness and closing'),
  logLevel: define(level, 'info', '', 'lowest severity logged: error, warn, info or debug'),
} as const;

/** Name of a setting. */
export type SettingName = keyof typeof SettingDefinitions;

/** Validated settings of an instance. */
export type Settings = {
  [Name in SettingName]: z.output<(typeof SettingDefinitions)[Name]['schema']>;
};

/** Why a setting is rejected. */
export interface SettingFault {
  flag: string;
  message: string;
}

/** Returns the flag of a setting, such as `--data-centre`. */
export function getFlagName(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/** Returns the environment variable of a setting, such as `POMELOROAD_DATA_CENTRE`. */
export function getEnvironmentVariableName(setting: string): string {
  return ENVIRONMENT_PREFIX + setting.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase();
}

/** Validates all settings and reports every fault; flags take precedence over the environment. */
export function parseSettings(
  flags: Record<string, unknown>,
  environment: Record<string, string | undefined>,
): Outcome<Settings, SettingFault[]> {
  const faults: SettingFault[] = [];
  const values: Record<string, unknown> = {};
  Object.entries<SettingDefinition>(SettingDefinitions).forEach(([setting, definition]) => {
    const flag = getFlagName(setting);
    const given =
      getLastValue(flags[flag.slice(2)]) ??
      environment[getEnvironmentVariableName(setting)] ??
      definition.fallback;
    if (given === undefined || given === true) {
      faults.push({ flag, message: 'is required' });
      return;
    }
    const parsed = definition.schema.safeParse(String(given));
    if (parsed.success) values[setting] = parsed.data;
    else faults.push({ flag, message: parsed.error.issues.map((i) => i.message).join('; ') });
  });
  faults.push(...findPairFaults(values));
  return faults.length > 0 ? Err(faults) : Ok(values as Settings);
}

// If a flag is given several times, its last value applies.
function getLastValue(value: unknown): unknown {
  return Array.isArray(value) ? value[value.length - 1] : value;
}

function findPairFaults(values: Record<string, unknown>): SettingFault[] {
  const pairs: [SettingName, SettingName][] = [
    ['tlsCert', 'tlsKey'],
    ['peersTlsCert', 'peersTlsKey'],
    ['peersTlsCert', 'peersTlsAuthority'],
  ];
  return pairs
    .filter(([left, right]) => Boolean(values[left]) !== Boolean(values[right]))
    .map(([left, right]) => ({
      flag: getFlagName(left),
      message: `goes together with ${getFlagName(right)}`,
    }));
}

function isReadable(path: string): boolean {
  try {
    readFileSync(path);
    return true;
  } catch {
    return false;
  }
}
