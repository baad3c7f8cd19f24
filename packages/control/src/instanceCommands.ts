import { z } from 'zod';
import { StatusSchema } from './answers';
import { callOperatorsInterface } from './client';
import type { OperatorTarget } from './client';
import { createFailure, createSuccess, ExitCode, formatTable } from './output';
import type { CommandResult } from './output';
import { fetchParsed, reportError } from './results';

/** Starts or ends the draining of an endpoint; a draining endpoint gets no new requests. */
export async function drainEndpoint(
  target: OperatorTarget,
  endpoint: string,
  isDraining: boolean,
): Promise<CommandResult> {
  const body = JSON.stringify({ endpoint, isDraining });
  const answer = await callOperatorsInterface(target, 'POST', '/v1/drains', body);
  if (answer.err) return createFailure(ExitCode.unavailable, answer.val);
  if (answer.val.status !== 200) return reportError(answer.val);
  const text = isDraining ? `${endpoint} gets no new work` : `${endpoint} works again`;
  return createSuccess(text, answer.val.body);
}

/** Shows the state of an instance and its view of its peers and the endpoints. */
export async function showStatus(target: OperatorTarget): Promise<CommandResult> {
  const status = await fetchParsed(target, '/v1/status', StatusSchema);
  if (status.err) return status.val;
  const { identity, configuration, requests, peers, endpoints } = status.val;
  const doubt = configuration.isInDoubt ? ', in doubt' : '';
  const head =
    `instance ${identity.instance} in ${identity.dataCentre}, ` +
    `configuration ${configuration.version}${doubt}, ` +
    `${requests.running} running, ${requests.waiting} waiting`;
  const peerRows = peers.map((peer) => [peer.instance, peer.dataCentre, peer.state]);
  const endpointRows = endpoints.map(({ endpoint, ...view }) => [
    endpoint.name,
    endpoint.kind,
    endpoint.dataCentre,
    `${view.inFlight + view.othersInFlight}/${endpoint.concurrency}`,
    describeEndpointState(view.isLeaving, view.isFailing),
  ]);
  const text = [
    head,
    formatTable(['peer', 'data centre', 'state'], peerRows),
    formatTable(['endpoint', 'kind', 'data centre', 'load', 'state'], endpointRows),
  ].join('\n\n');
  return createSuccess(text, status.val);
}

function describeEndpointState(isLeaving: boolean, isFailing: boolean): string {
  if (isLeaving) return 'leaving';
  return isFailing ? 'failing' : 'live';
}

/** Shows the complete state of an instance as JSON. */
export async function dumpState(target: OperatorTarget): Promise<CommandResult> {
  const dump = await fetchParsed(target, '/dump', z.unknown());
  if (dump.err) return dump.val;
  return createSuccess(JSON.stringify(dump.val, undefined, 2), dump.val);
}
