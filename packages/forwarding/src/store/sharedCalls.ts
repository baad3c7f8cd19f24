/**
 * Returns a function that makes the call once for all that ask while one runs. The call that answers starts
 * after the question. It must not reject.
 */
export function shareCalls<T>(call: () => Promise<T>): () => Promise<T> {
  let running: Promise<unknown> = Promise.resolve();
  let next: Promise<T> | undefined;

  async function callNext(): Promise<T> {
    await running;
    next = undefined;
    const started = call();
    running = started;
    return started;
  }

  return () => {
    next ??= callNext();
    return next;
  };
}
