import type { Clock, Tokens } from '@pomeloroad/core';
import type { UsageDraft, UsageRecord } from '@pomeloroad/budgets';
import type { RunRequest } from './runRequest';

/** Creates the part of a usage record that is known before the request runs. */
export function createUsageDraft(request: RunRequest): UsageDraft {
  const { account, budget, id, name, digest, isProvisional, work } = request;
  const model = work.kind === 'chat' ? work.chat.model : work.call.service;
  return { account, budget, request: id, key: name?.key, digest, isProvisional, model };
}

/** Creates the usage record of a request that ends now. */
export function createUsageRecord(
  clock: Clock,
  request: RunRequest,
  promptTokens: Tokens,
  completionTokens: Tokens,
): UsageRecord {
  const tokens = promptTokens + completionTokens;
  const at = clock.now().toISOString();
  return { ...createUsageDraft(request), promptTokens, completionTokens, tokens, at };
}
