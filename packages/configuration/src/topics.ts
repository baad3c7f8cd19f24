import { createTopic } from '@pomeloroad/peers';
import type { VersionRow } from './types';

/** A version of the configuration with the text of its file. */
export interface VersionFile {
  version: VersionRow;
  text: string;
}

/** What an instance is told about a configuration version or about drained endpoints. */
export type Notice =
  /** Check the proposed version and hold it ready. */
  | { kind: 'stage'; file: VersionFile }
  /** Serve this version from now on. */
  | { kind: 'accept'; file: VersionFile }
  /** Drop the staged version. */
  | { kind: 'withdraw'; version: number }
  /** Endpoints that operators drain, with the time of the order. */
  | { kind: 'drains'; drains: Record<string, string> };

/** Reply of an instance to a notice, or the failure to reach it. */
export interface Acknowledgement {
  instance: string;
  isDone: boolean;
  /** Why the notice was not carried out; empty if it was. */
  reason: string;
}

/** Asks a relay to send a notice to instances of its data centre. */
export interface RelayRequest {
  notice: Notice;
  instances: string[];
}

/** The version in force and the staged version of an instance. */
export interface VersionState {
  inForce?: VersionFile;
  staged?: VersionFile;
}

/** Peer messages that distribute the configuration. */
export const ConfigurationTopics = {
  notice: createTopic<Notice, Acknowledgement>('configuration.notice'),
  relay: createTopic<RelayRequest, Acknowledgement[]>('configuration.relay'),
  state: createTopic<Record<string, never>, VersionState>('configuration.state'),
} as const;
