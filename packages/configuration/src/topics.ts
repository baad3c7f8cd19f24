import { createTopic } from '@pomeloroad/peers';
import type { VersionRow } from './types';

/** A version with the text of its file. */
export interface VersionFile {
  version: VersionRow;
  text: string;
}

/** What an instance is told about a version. */
export type Notice =
  | { kind: 'stage'; file: VersionFile }
  | { kind: 'accept'; file: VersionFile }
  | { kind: 'withdraw'; version: number }
  /** Endpoints that operators drain, with the time of the order. */
  | { kind: 'drains'; drains: Record<string, string> };

/** Whether an instance did as told. */
export interface Acknowledgement {
  instance: string;
  isDone: boolean;
  reason: string;
}

/** A notice that a relay passes on to instances of its data centre. */
export interface RelayRequest {
  notice: Notice;
  instances: string[];
}

/** What an instance knows of the configuration. */
export interface VersionState {
  inForce?: VersionFile;
  staged?: VersionFile;
}

/** Messages between configuration relays and instances. */
export const ConfigurationTopics = {
  notice: createTopic<Notice, Acknowledgement>('configuration.notice'),
  relay: createTopic<RelayRequest, Acknowledgement[]>('configuration.relay'),
  state: createTopic<Record<string, never>, VersionState>('configuration.state'),
} as const;
