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
  /** Replace an older list of drained endpoints. */
  | ({ kind: 'drains' } & DrainList);

/** The endpoints that operators drain. */
export interface DrainList {
  /** Version of the table's row. */
  version: number;
  /** Time of the order by endpoint. */
  drains: Record<string, string>;
}

/** Asks the relay for a list of drained endpoints newer than this version. */
export interface DrainsRequest {
  version: number;
}

/** The relay's reply to a request for a newer list of drained endpoints. */
export type DrainsReply =
  | { kind: 'newer'; list: DrainList }
  | { kind: 'current' }
  /** The instance asked is not the relay, so its own list may be old. */
  | { kind: 'not-relay' };

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
  drains: createTopic<DrainsRequest, DrainsReply>('configuration.drains'),
  state: createTopic<Record<string, never>, VersionState>('configuration.state'),
} as const;
