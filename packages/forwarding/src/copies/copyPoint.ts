import { createConfirmationPoint, isCountedId } from '../attempts/resumePoint';
import type { ResumePoint } from '../attempts/resumePoint';
import type { Run } from '../run';

/**
 * Returns where the holder of a copy is to go on: after the last event that the caller has. Before the first one it is
 * asked for what the endpoint was asked for that began the run.
 */
export function createCopyPoint<Payload>({ events, lastEventId }: Run<Payload>): ResumePoint {
  if (events > 0 && lastEventId !== undefined && isCountedId(lastEventId)) {
    return createConfirmationPoint(lastEventId);
  }
  return { after: lastEventId, repeated: undefined };
}
