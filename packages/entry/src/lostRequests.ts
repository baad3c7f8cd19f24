import type { Keepers, Placement, Usage } from '@pomeloroad/budgets';
import type { Identity, Tokens } from '@pomeloroad/core';
import type { BeginReply, BeginRequest } from '@pomeloroad/requests';
import type { EngineClient } from './engineTypes';

/** Knowledge of this instance that finding requests of lost instances depends on. */
export interface LostRequestHost {
  self: Identity;
  keepers: Keepers;
  isLive(identity: Identity): boolean;
}

/**
 * Returns where a request goes on whose instance is lost; `undefined` if no keeper here knows. A
 * keeper's reservation of a request whose owner is not live tells where its stream runs.
 */
export function findLostRequest(
  { self, keepers, isLive }: LostRequestHost,
  { name, digest }: BeginRequest,
): BeginReply | undefined {
  const [orphaned] = keepers
    .findReservationsByKey(name.account, name.key)
    .filter((reservation) => !isLive(reservation.owner));
  const placement = orphaned?.placements[orphaned.placements.length - 1];
  if (!orphaned || !placement || placement.stream === '') return undefined;
  if (orphaned.draft.digest !== digest) return { kind: 'mismatch' };
  const { id: reservation, tokens, draft } = orphaned;
  const state = { placement, budget: draft.budget, reservation, keeper: self.instance, tokens };
  return { kind: 'resume', request: draft.request, state };
}

/** Returns what the request used; `undefined` if an endpoint does not confirm that it stopped. */
export async function stopLostRequest(
  engine: EngineClient,
  placements: Placement[],
  reserved: Tokens,
): Promise<Usage | undefined> {
  const used: Usage = { promptTokens: 0, completionTokens: 0 };
  for (const { address, stream } of placements) {
    // A plain service keeps no record of its runs. The call may have run, so it is charged in full.
    if (stream === '') return { promptTokens: reserved, completionTokens: 0 };
    const stopped = await engine.stop(address, stream);
    if (stopped.err) return undefined;
    used.promptTokens += stopped.val.promptTokens;
    used.completionTokens += stopped.val.completionTokens;
  }
  return used;
}
