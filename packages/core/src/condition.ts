/** Lets tasks wait until something that they watch may have changed. */
export interface Condition {
  /** Wakes every waiting task. */
  notify(): void;
  /** Resolves at the next `notify`. */
  wait(): Promise<void>;
}

/** Creates a condition on which nobody waits yet. */
export function createCondition(): Condition {
  let waiters: (() => void)[] = [];
  return {
    notify() {
      const woken = waiters;
      waiters = [];
      woken.forEach((wake) => wake());
    },
    wait: () =>
      new Promise((resolve) => {
        waiters.push(resolve);
      }),
  };
}
