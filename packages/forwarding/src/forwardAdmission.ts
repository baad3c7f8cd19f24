import { createAdmission } from '@pomeloroad/routing';
import type { Admission, AdmissionHost } from '@pomeloroad/routing';

const ADMISSION_QUEUE_LIMIT = 500;

/** Creates an empty admission queue: requests with a prefix go where it is cached, others where least is in flight. */
export function createForwardAdmission(
  host: Omit<AdmissionHost, 'getPolicy' | 'getAccount'>,
): Admission {
  return createAdmission(
    {
      ...host,
      getPolicy: ({ prefix = [] }) => ({
        kind: prefix.length > 0 ? 'prefix-affinity' : 'least-in-flight',
      }),
      getAccount: () => undefined,
    },
    ADMISSION_QUEUE_LIMIT,
  );
}
