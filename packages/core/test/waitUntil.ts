const POLL_MS = 10;

/** Resolves when the condition holds. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
