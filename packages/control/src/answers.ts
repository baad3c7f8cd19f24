import { z } from 'zod';

/** The configuration file in force. */
export const StoredConfigurationSchema = z.object({ version: z.number(), text: z.string() });

/** A version of the configuration. */
export const VersionSchema = z.object({
  version: z.number(),
  digest: z.string(),
  at: z.string(),
  author: z.string(),
});

/** The accepted versions. */
export const HistorySchema = z.object({ result: z.array(VersionSchema) });

/** The account of one budget; all amounts in tokens. */
export const BudgetAccountSchema = z.object({
  budget: z.string(),
  toppedUp: z.number(),
  billed: z.number(),
  credited: z.number(),
  writtenOff: z.number(),
  held: z.number(),
  unallocated: z.number(),
});

const FaultsSchema = z.array(z.object({ key: z.string(), message: z.string() }));

/** Budgets and billed requests; with faults, the records are not the bill that the ledger states. */
export const UsageSchema = z.object({
  accounts: z.array(BudgetAccountSchema),
  records: z.array(
    z.object({
      at: z.string(),
      account: z.string(),
      budget: z.string(),
      request: z.string(),
      key: z.string().optional(),
      model: z.string(),
      promptTokens: z.number(),
      completionTokens: z.number(),
      tokens: z.number(),
    }),
  ),
  faults: FaultsSchema,
});

/** The outcome of an audit of the ledger. */
export const AuditSchema = z.object({
  accounts: z.array(BudgetAccountSchema),
  faults: FaultsSchema,
  records: z.number(),
});

/** An instance’s own state and its view of peers and endpoints. */
export const StatusSchema = z.looseObject({
  identity: z.object({ instance: z.string(), dataCentre: z.string(), incarnation: z.string() }),
  configuration: z.object({ version: z.number(), isInDoubt: z.boolean(), isRelay: z.boolean() }),
  requests: z.object({ open: z.number(), running: z.number(), waiting: z.number() }),
  peers: z.array(z.object({ instance: z.string(), dataCentre: z.string(), state: z.string() })),
  endpoints: z.array(
    z.object({
      endpoint: z.object({
        name: z.string(),
        kind: z.string(),
        dataCentre: z.string(),
        concurrency: z.number(),
      }),
      inFlight: z.number(),
      othersInFlight: z.number(),
      isLeaving: z.boolean(),
      isFailing: z.boolean(),
    }),
  ),
});

/** Why a configuration file was not applied. */
export const ApplyFailureSchema = z.object({
  error: z.looseObject({
    kind: z.string(),
    message: z.string().optional(),
    version: z.number().optional(),
    accepted: VersionSchema.optional(),
    proposed: VersionSchema.optional(),
    silent: z.array(z.object({ instance: z.string(), reason: z.string() })).optional(),
    faults: z
      .array(
        z.object({ line: z.number(), column: z.number(), path: z.string(), message: z.string() }),
      )
      .optional(),
  }),
});
