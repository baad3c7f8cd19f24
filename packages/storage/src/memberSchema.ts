import { z } from 'zod';
import type { Member } from './types';

/** Checks an entry of the membership list, as it is sent over HTTP. */
export const MemberSchema: z.ZodType<Member> = z.object({
  name: z.string(),
  role: z.enum(['instance', 'endpoint']),
  dataCentre: z.string(),
  address: z.string(),
  incarnation: z.string(),
  state: z.enum(['live', 'leaving']),
});
