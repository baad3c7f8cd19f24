import type { Clock, Milliseconds } from '@pomeloroad/core';
import { MemberSchema } from '@pomeloroad/storage';
import type { Member } from '@pomeloroad/storage';
import type { RequestHandler } from './faults';

const MEMBERS_PATH = '/v1/members';

/** Delays of the membership list. */
export interface MembershipOptions {
  /** Delay until a change of the list becomes visible to readers. */
  lag: Milliseconds;
  /** Time after its last announcement at which a member is dropped from the list. */
  expiry: Milliseconds;
}

/** Creates the handler of a membership list whose readers see announcements after the lag. */
export function createMembershipService(clock: Clock, options: MembershipOptions): RequestHandler {
  const members = new Map<string, { member: Member; announcedAt: Milliseconds }>();
  let published: Member[] = [];

  function schedulePublication(): void {
    const listed = [...members.values()]
      .filter(({ announcedAt }) => clock.elapsed() - announcedAt < options.expiry)
      .map(({ member }) => member);
    clock.after(options.lag, () => {
      published = listed;
    });
  }

  return async (request, url, body) => {
    schedulePublication();
    if (url.pathname === MEMBERS_PATH) return { status: 200, body: { members: published } };
    if (!url.pathname.startsWith(`${MEMBERS_PATH}/`)) return undefined;
    const name = decodeURIComponent(url.pathname.slice(MEMBERS_PATH.length + 1));
    if (request.method === 'PUT') {
      members.set(name, {
        member: MemberSchema.parse(JSON.parse(body)),
        announcedAt: clock.elapsed(),
      });
    } else {
      const incarnation = url.searchParams.get('incarnation');
      if (members.get(name)?.member.incarnation === incarnation) members.delete(name);
    }
    schedulePublication();
    return { status: 200, body: {} };
  };
}
