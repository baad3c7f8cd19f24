import type { Milliseconds, Random } from '@pomeloroad/core';
import type { ActionLog } from './evidence';
import type { Rule } from './faultProxy';
import type { Testbed } from './testbed';

/** What the faults of one replay share. */
export interface FaultContext {
  testbed: Testbed;
  actionLog: ActionLog;
  random: Random;
  /** Time from the start of the replay to the first fault. */
  start: Milliseconds;
  /** Length of a partition or outage. */
  partition: Milliseconds;
  /**
   * Time from the start of the replay at which the membership list shows an endpoint as leaving.
   * Instances cannot learn of it while the list is unreachable.
   */
  membershipLeaveAt: Milliseconds;
  rules: RuleSet;
}

/** The active rules of the proxy, shared by concurrent faults. */
export interface RuleSet {
  add(rules: Rule[]): Promise<void>;
  remove(rules: Rule[]): Promise<void>;
}

/** Creates a set without rules. */
export function createRuleSet(testbed: Testbed): RuleSet {
  let active: Rule[] = [];
  return {
    async add(rules) {
      active = [...active, ...rules];
      await testbed.setRules(active);
    },
    async remove(rules) {
      active = active.filter((rule) => !rules.includes(rule));
      await testbed.setRules(active);
    },
  };
}
