import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results';
import { hashText } from '@pomeloroad/core';
import type { Outcome } from '@pomeloroad/core';
import type { Configuration, Service } from '@pomeloroad/configuration';
import { createRefusal } from '@pomeloroad/requests';
import type { Refusal } from '@pomeloroad/requests';
import { CallerHeader } from './callerHeaders';
import type { ServiceCall } from './runRequest';

const SERVICE_PATH = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Request headers that are not passed on to a plain service. */
const SKIPPED_REQUEST_HEADERS = new Set<string>([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'te',
  'transfer-encoding',
  'upgrade',
  CallerHeader.budget,
  CallerHeader.priority,
  CallerHeader.deadline,
]);

/** Methods that HTTP defines as idempotent. */
const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

/** The parts of a URL that addresses a plain service. */
export interface ServiceTarget {
  /** Name of the service. */
  name: string;
  path: string;
  /** The query with its question mark; empty if there is none. */
  query: string;
}

/** Parses the URL of a call of a plain service; returns `undefined` for any other URL. */
export function parseServiceUrl(url: string): ServiceTarget | undefined {
  const match = SERVICE_PATH.exec(url);
  if (!match) return undefined;
  const [, name = '', path = '/', query = ''] = match;
  return { name, path, query };
}

/** Returns the service with a name, or a refusal if none is configured. */
export function findService({ services }: Configuration, name: string): Outcome<Service, Refusal> {
  const service = services.find((candidate) => candidate.name === name);
  return service
    ? Ok(service)
    : Err(createRefusal('not_found', 'no', `There is no service "${name}".`));
}

/** Returns the call that a request asks for. */
export function createServiceCall(
  { method = 'GET', headers }: IncomingMessage,
  service: Service,
  { path, query }: ServiceTarget,
  body: Buffer,
): ServiceCall {
  const passedOn = Object.entries(headers)
    .filter(([name, value]) => value !== undefined && !SKIPPED_REQUEST_HEADERS.has(name))
    .map(([name, value]): [string, string] => [name, String(value)]);
  return {
    service: service.name,
    method,
    path: path + query,
    headers: Object.fromEntries(passedOn),
    body,
    tokens: service.tokensPerCall,
  };
}

/** Returns a hash of what a call asks for; a name can't be reused for another one. */
export function hashServiceCall(
  { method, body }: ServiceCall,
  { path, query }: ServiceTarget,
): string {
  return hashText(JSON.stringify([method, path, query, body.toString('base64')]));
}

/** Whether HTTP defines the call's method as idempotent. */
export function isIdempotentCall({ method }: ServiceCall): boolean {
  return IDEMPOTENT_METHODS.has(method);
}
