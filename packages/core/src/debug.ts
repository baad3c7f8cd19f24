/** A broken invariant: the process must stop, since its state can't be trusted. */
export class InvariantError extends Error {
  override name = 'InvariantError';
}

/** Asserts an invariant of the program itself, never of its input. */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/** Unwraps a value that the program's own logic guarantees. */
export function checkDefined<T>(value: T | undefined, message: string): T {
  assert(value !== undefined, message);
  return value;
}
