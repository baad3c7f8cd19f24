/** Counts by name; a name whose count is 0 takes no memory. */
export interface Counter {
  add(name: string, amount: number): void;
  get(name: string): number;
}

/** Creates a counter of nothing. */
export function createCounter(): Counter {
  const counts = new Map<string, number>();
  return {
    add(name, amount) {
      const count = (counts.get(name) ?? 0) + amount;
      if (count > 0) counts.set(name, count);
      else counts.delete(name);
    },
    get: (name) => counts.get(name) ?? 0,
  };
}
