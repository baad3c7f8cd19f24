import { match } from 'ts-pattern';
import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import type { ForwardHost } from '../forwardTypes';
import type { EndpointRecord, EndpointStatement } from '../types';

type StatementHost = Pick<
  ForwardHost<unknown>,
  'clock' | 'log' | 'directory' | 'endpoints' | 'rateLimits' | 'slotShares'
>;

/**
 * Keeps to what an endpoint says of itself in the head of an answer. `sentAt` is the time of
 * `clock.elapsed()` when its request was sent.
 */
export function applyStatements(
  host: StatementHost,
  name: string,
  endpoint: EndpointRecord,
  statements: EndpointStatement[],
  sentAt: Milliseconds,
): void {
  let limit: number | undefined;
  let rejections: number | undefined;
  statements.forEach((statement) =>
    match(statement)
      .with({ kind: 'rate-limit' }, (stated) => {
        limit = stated.limit;
      })
      .with({ kind: 'leaving' }, () => host.directory.markLeaving(endpoint))
      .with({ kind: 'pause' }, ({ duration }) => pause(host, name, duration))
      .with({ kind: 'brittle' }, (stated) => {
        rejections = stated.rejections;
      })
      .exhaustive(),
  );
  host.rateLimits.note(name, limit, sentAt);
  host.slotShares.note(name, rejections, sentAt);
}

function pause(
  { clock, log, endpoints }: StatementHost,
  name: string,
  duration: Milliseconds,
): void {
  log(Diagnostics.endpointPaused, { endpoint: name, duration });
  endpoints.pause(name, clock.elapsed() + duration);
}
