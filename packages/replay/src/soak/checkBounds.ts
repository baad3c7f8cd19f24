import type { Milliseconds } from '@pomeloroad/core';

/** Status of a success. */
export const STATUS_OK = 200;
/** Time before a moment in which nothing may have disturbed a process that a bound holds for. */
export const CONTACT_MS: Milliseconds = 3000;
