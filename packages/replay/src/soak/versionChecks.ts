import type { Milliseconds } from '@pomeloroad/core';
import { listVersions } from '@pomeloroad/standins';
import { CONTACT_MS, STATUS_OK } from './checkBounds';
import type { CheckOutcome } from './checks';
import { getService } from './configuration';
import type { FaultLog } from './faultLog';
import { countEvents } from './requestRecord';
import type { RequestRecord } from './requestRecord';

/** Time until instances know of an endpoint that is listed. */
const LISTING_MS: Milliseconds = 2000;
/** Number of taken up streams from which on their share is checked. */
const TAKE_UPS_MIN = 12;
/** Endpoints of a version that have to serve, so that its streams go on. */
const ENDPOINTS_MIN = 2;
/** Least ratio of the share of taken up streams that go on to that of new ones that begin. */
const RATIO_MIN = 0.5;

/** Checks that a stream holds events of one version, also over its caller's tries. */
export function checkOneVersion({ work, answer, heldVersions, runs }: RequestRecord): CheckOutcome {
  const isJoined = runs.length > 1 || heldVersions.length > 0;
  const isStream = work.route.startsWith('stream') && answer?.status === STATUS_OK;
  if (!isStream || !isJoined || countEvents(answer.body) === 0) return 'skipped';
  const versions = new Set([...heldVersions, ...listVersions(answer.body)]);
  return versions.size === 1 ? 'held' : { message: `holds events of ${[...versions].join(', ')}` };
}

/** An endpoint and the Unix times between which it is listed with a version. */
interface Listing {
  endpoint: string;
  service: string;
  version: string;
  from: number;
  to: number;
}

/** How many streams were asked for, and how many of them brought events. */
export interface StreamShare {
  asked: number;
  served: number;
}

/** Which versions served when, and how many streams began and went on meanwhile. */
export interface VersionHistory {
  list(endpoint: string, service: string, version: string, at: number): void;
  /** The endpoint announces that it leaves, or its process has ended. */
  unlist(endpoint: string, at: number): void;
  add(record: RequestRecord): void;
  /** Streams that began and that were taken up while two endpoints of their version served. */
  shares: { begun: StreamShare; takenUp: StreamShare };
  /** Checks the share of the taken up streams that went on. */
  check(): CheckOutcome;
}

/** Creates an empty history. */
export function createVersionHistory(faults: FaultLog): VersionHistory {
  const listings: Listing[] = [];
  const begun: StreamShare = { asked: 0, served: 0 };
  const takenUp: StreamShare = { asked: 0, served: 0 };

  function unlist(endpoint: string, at: number): void {
    const last = listings.filter((listing) => listing.endpoint === endpoint).at(-1);
    if (last && last.to === Infinity) last.to = at;
  }

  // Endpoints that serve the version throughout, as far as instances can know.
  function countServing(wanted: string, version: string, from: number, to: number): number {
    const serving = listings.filter((listing) => {
      const isListed = listing.from + LISTING_MS < from && listing.to > to;
      const isWanted = listing.service === wanted && listing.version === version;
      return isWanted && isListed && !faults.isDisturbed([listing.endpoint], from - CONTACT_MS, to);
    });
    return serving.length;
  }

  return {
    shares: { begun, takenUp },
    list(endpoint, service, version, at) {
      unlist(endpoint, at);
      listings.push({ endpoint, service, version, from: at, to: Infinity });
    },
    unlist,
    add(record) {
      const { work, answer, account, patience, sentAt, endedAt, heldVersions, instance } = record;
      const isPatient = patience === undefined && record.timeLimit === undefined;
      const isSound = work.fault === 'none' && isPatient && account === 'rich';
      if (work.route !== 'stream' || !isSound || endedAt === undefined) return;
      if (faults.isDisturbed([instance, 'store'], sentAt - CONTACT_MS, endedAt)) return;
      const isServing = (version: string) =>
        countServing(getService(work.route), version, sentAt, endedAt) >= ENDPOINTS_MIN;
      const versions = listings.map((listing) => listing.version);
      if (!(heldVersions.length > 0 ? heldVersions : versions).some(isServing)) return;
      const share = heldVersions.length > 0 ? takenUp : begun;
      share.asked += 1;
      if (answer?.status === STATUS_OK && countEvents(answer.body) > 0) share.served += 1;
    },
    check() {
      if (takenUp.asked < TAKE_UPS_MIN || begun.asked === 0) return 'skipped';
      const ratio = takenUp.served / takenUp.asked / (begun.served / begun.asked);
      if (ratio >= RATIO_MIN) return 'held';
      const goOn = `${takenUp.served} of ${takenUp.asked} streams that were taken up go on`;
      return { message: `${goOn}, ${begun.served} of ${begun.asked} new ones begin` };
    },
  };
}
