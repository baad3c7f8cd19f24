import { getOwner, groupBy } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import { ConfigurationTopics } from './topics';
import type { Acknowledgement, Notice, RelayRequest } from './topics';

const NOTICE_TIMEOUT_MS = 1000;

/** Sends notices of the configuration to other instances. */
export interface NoticeSender {
  /** Sends a notice to each instance itself, as the relay of a data centre does. */
  relay(request: RelayRequest): Promise<Acknowledgement[]>;
  /**
   * Sends a notice to the given instances, through one relay in each data centre. Returns one
   * acknowledgement for each instance.
   */
  announce(notice: Notice, instances: Identity[]): Promise<Acknowledgement[]>;
}

/** Creates a sender over the connections to the other instances. */
export function createNoticeSender(network: PeerNetwork): NoticeSender {
  async function announce(notice: Notice, instances: Identity[]): Promise<Acknowledgement[]> {
    const groups = groupByDataCentre(instances);
    const replies = await Promise.all(groups.map((group) => announceToGroup(notice, group)));
    return replies.flat();
  }

  async function announceToGroup(notice: Notice, instances: string[]): Promise<Acknowledgement[]> {
    const relayInstance = getRelay(instances.filter((instance) => network.isConnected(instance)));
    if (relayInstance === undefined) {
      return instances.map((instance) => ({ instance, isDone: false, reason: 'unreachable' }));
    }
    const timeout = NOTICE_TIMEOUT_MS * 2;
    const request = { notice, instances };
    const reply = await network.call(relayInstance, ConfigurationTopics.relay, request, timeout);
    if (reply.ok) return reply.val;
    const reason = reply.val.message;
    return instances.map((instance) => ({ instance, isDone: false, reason }));
  }

  async function relay({ notice, instances }: RelayRequest): Promise<Acknowledgement[]> {
    return Promise.all(instances.map((instance) => sendNotice(instance, notice)));
  }

  async function sendNotice(instance: string, notice: Notice): Promise<Acknowledgement> {
    const { notice: topic } = ConfigurationTopics;
    const reply = await network.call(instance, topic, notice, NOTICE_TIMEOUT_MS);
    return reply.ok ? reply.val : { instance, isDone: false, reason: reply.val.message };
  }

  return { relay, announce };
}

/** Selects the instance that distributes notices within a group, the same one on every instance. */
export function getRelay(instances: string[]): string | undefined {
  return getOwner('configuration', instances);
}

function groupByDataCentre(instances: Identity[]): string[][] {
  const groups = groupBy(instances, ({ dataCentre }) => dataCentre);
  return [...groups.values()].map((group) => group.map(({ instance }) => instance));
}
