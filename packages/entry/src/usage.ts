import type { Clock, Tokens } from '@pomeloroad/core';
import type { UsageDraft, UsageRecord } from '@pomeloroad/budgets';
import type { RunRequest } from './runRequest';

/** What is known of a request's usage record before it runs. */
export function createUsageDraft(request: RunRequest): UsageDraft {
  const { account, budget, id, name, digest, isProvisional, work } = request;
  const model = work.kind === 'chat' ? work.chat.model : work.call.service;
  return { account, budget, request: id, key: name?.key, digest, isProvisional, model };
}

/** The usage record of a request that has ended. */
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
