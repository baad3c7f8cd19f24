import { startStatedLimits } from './statedLimits';
import type { StatedLimitKind, StatedLimits, StatedLimitsHost } from './statedLimits';

/** Dependencies of sharing limits among the instances that run. */
export interface SharedLimitsHost extends Omit<StatedLimitsHost, 'apply'> {
  instance: string;
  /** Returns the names of the instances that run; empty until they are known. */
  listInstances(): string[];
}

/** How one kind of limit is shared. */
export interface LimitSharing {
  /** Returns the part of an endpoint's limit that belongs to this instance. */
  getShare(endpoint: string, limit: number, instances: readonly string[]): number;
  /** Called with the shares of all limited endpoints, when they may have changed. */
  setShares(shares: Map<string, number>): void;
}

/** Starts sharing the limits of one kind that endpoints name to any instance. */
export function startSharedLimits(
  host: SharedLimitsHost,
  kind: StatedLimitKind,
  { getShare, setShares }: LimitSharing,
): StatedLimits {
  function apply(limits: ReadonlyMap<string, number>): void {
    const instances = host.listInstances();
    const shares = new Map<string, number>();
    limits.forEach((limit, endpoint) => shares.set(endpoint, getShare(endpoint, limit, instances)));
    setShares(shares);
  }

  return startStatedLimits({ ...host, apply }, kind);
}
