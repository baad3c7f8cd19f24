import { z } from 'zod';
import type { Account, Configuration, Endpoint, Pool, RoutingPolicy, Service } from './types';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const BUDGET_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}\*?$/;
const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;

const DEFAULT_TEMPLATE_TOKENS = 16;
const DEFAULT_OUTPUT_TOKENS = 512;
const DEFAULT_MAX_OUTPUT_TOKENS = 8192;
const DEFAULT_CONCURRENCY = 16;

const NameSchema = z
  .string()
  .regex(
    NAME_PATTERN,
    'expected 1 to 63 of a-z, 0-9, ".", "_", "-", starting with a letter or digit',
  );
const AddressSchema = z
  .string()
  .regex(ADDRESS_PATTERN, 'expected an IP number and a port, 10.0.0.1:8000');
const CountSchema = z.number().int('expected a whole number').min(0, 'expected 0 or more');
const PositiveSchema = z.number().int('expected a whole number').min(1, 'expected 1 or more');

const PolicySchema: z.ZodType<RoutingPolicy> = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('round-robin') }),
  z.strictObject({ kind: z.literal('random-two') }),
  z.strictObject({ kind: z.literal('least-in-flight') }),
  z.strictObject({ kind: z.literal('prefix-affinity') }),
]);
const DEFAULT_POLICY: RoutingPolicy = { kind: 'least-in-flight' };

const AccountSchema: z.ZodType<Account, unknown> = z.strictObject({
  name: NameSchema,
  weight: z.number().positive('expected a number above 0').default(1),
  budgets: z
    .array(z.string().regex(BUDGET_PATTERN, 'expected a budget name, or a prefix ending in "*"'))
    .min(1, 'expected at least one budget'),
  keys: z
    .array(
      z.strictObject({
        name: NameSchema,
        hash: z
          .string()
          .regex(HASH_PATTERN, 'expected a SHA-256 in hexadecimal, see pomeloctl keys'),
        budget: NameSchema,
      }),
    )
    .default([]),
});

const PoolSchema: z.ZodType<Pool, unknown> = z.strictObject({
  model: NameSchema,
  policy: PolicySchema.default(DEFAULT_POLICY),
  templateTokens: CountSchema.default(DEFAULT_TEMPLATE_TOKENS),
  defaultOutputTokens: PositiveSchema.default(DEFAULT_OUTPUT_TOKENS),
  maxOutputTokens: PositiveSchema.default(DEFAULT_MAX_OUTPUT_TOKENS),
});

const ServiceSchema: z.ZodType<Service, unknown> = z.strictObject({
  name: NameSchema,
  policy: PolicySchema.default(DEFAULT_POLICY),
  tokensPerCall: CountSchema.default(0),
});

const endpointFields = {
  name: NameSchema,
  dataCentre: NameSchema,
  address: AddressSchema,
  concurrency: PositiveSchema.default(DEFAULT_CONCURRENCY),
  leaving: z.boolean().default(false),
  checksFencing: z.boolean().default(false),
};

const EndpointSchema: z.ZodType<Endpoint, unknown> = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    ...endpointFields,
    models: z.array(NameSchema).min(1, 'expected at least one model'),
  }),
  z.strictObject({ kind: z.literal('service'), ...endpointFields, service: NameSchema }),
]);

/** Schema of a configuration file. Rejects unknown settings and fills in defaults. */
export const ConfigurationSchema: z.ZodType<Configuration, unknown> = z.strictObject({
  accounts: z.array(AccountSchema).default([]),
  pools: z.array(PoolSchema).default([]),
  services: z.array(ServiceSchema).default([]),
  endpoints: z.array(EndpointSchema).default([]),
});
