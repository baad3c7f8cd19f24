import { z } from 'zod';
import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { Member } from '@pomeloroad/storage';
import type { Serve } from './faults';

const MEMBERS_PATH = '/v1/members';

const MemberBody: z.ZodType<Member> = z.object({
  name: z.string(),
  role: z.enum(['instance', 'endpoint']),
  dataCentre: z.string(),
  address: z.string(),
  incarnation: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** How the membership list behaves. */
export interface MembershipOptions {
  /** Age of the list that readers see. */
  lag: Milliseconds;
  /** How long a member stays listed after its last announcement. */
  expiry: Milliseconds;
}

/** Serves a membership list that lags behind the announcements. */
export function createMembershipService(clock: Clock, options: MembershipOptions): Serve {
  const members = new Map<string, { member: Member; at: Milliseconds }>();
  let published: Member[] = [];

  function publishLater(): void {
    const listed = [...members.values()]
      .filter(({ at }) => clock.elapsed() - at < options.expiry)
      .map(({ member }) => member);
    clock.after(options.lag, () => {
      published = listed;
    });
  }

  return async (request, url, body) => {
    publishLater();
    if (url.pathname === MEMBERS_PATH) return { status: 200, body: { members: published } };
    if (!url.pathname.startsWith(`${MEMBERS_PATH}/`)) return undefined;
    const name = decodeURIComponent(url.pathname.slice(MEMBERS_PATH.length + 1));
    if (request.method === 'PUT') {
      members.set(name, { member: MemberBody.parse(JSON.parse(body)), at: clock.elapsed() });
    } else {
      const incarnation = url.searchParams.get('incarnation');
      if (members.get(name)?.member.incarnation === incarnation) members.delete(name);
    }
    publishLater();
    return { status: 200, body: {} };
  };
}
