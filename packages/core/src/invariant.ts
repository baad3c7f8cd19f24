/** A broken invariant. The process must stop, because its state can't be trusted. */
export class InvariantError extends Error {
  override name = 'InvariantError';
}

/** Throws if the condition is false. For the program's own invariants, never for its input. */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/** Returns a value that the program's own logic guarantees to be defined; throws if it is not. */
export function checkDefined<T>(value: T | undefined, message: string): T {
  assert(value !== undefined, message);
  return value;
}
