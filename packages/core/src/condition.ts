/** A condition variable: tasks wait until the state that they check may have changed. */
export interface Condition {
  /** Wakes every waiting task. */
  notify(): void;
  /** Resolves at the next `notify`. */
  wait(): Promise<void>;
}

/** Creates a condition without waiting tasks. */
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
