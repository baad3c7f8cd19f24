import type { Outcome, RunStatus, Tokens } from '@pomeloroad/core';
import type { LoadReport } from '@pomeloroad/routing';

/** An event of an engine's stream. */
export type EngineEvent =
  /**
   * Event number `index` of the stream, from 0 on; its text is empty if it has none. `finish` is the
   * engine's word for why the text ends there.
   */
  | { kind: 'delta'; index: number; text: string; finish?: string | undefined }
  /** The end. Without a number it follows the event before it on the same connection. */
  | {
      kind: 'usage';
      index?: number | undefined;
      promptTokens: Tokens;
      completionTokens: Tokens;
      finish?: string | undefined;
    };

/** Why a call of an engine failed. `ran` says whether the engine ran the request. */
export interface EngineError {
  kind: 'busy' | 'rejected' | 'failed';
  ran: RunStatus;
  message: string;
}

/** The usage of a stopped stream, and whether it had finished or never started. */
export interface StoppedUsage {
  state: 'finished' | 'cancelled' | 'never';
  promptTokens: Tokens;
  completionTokens: Tokens;
}

/** A request for a stream of an engine. */
export interface EngineCall {
  address: string;
  stream: string;
  body: Record<string, unknown>;
  priority: number;
  /** Whether to open a new connection; if that fails, the request certainly did not run. */
  hasOwnConnection: boolean;
  signal: AbortSignal;
}

/** Receives the events of a stream. The next event is read after the promise has resolved. */
export type EngineSink = (event: EngineEvent) => Promise<void>;

/** A client of the model engines' HTTP interface. */
export interface EngineClient {
  /** Runs a stream to its end. Silence ends neither this call nor `resume`; the signal does. */
  run(call: EngineCall, sink: EngineSink): Promise<Outcome<void, EngineError>>;
  /** Reads a started stream from the event after index `after`. */
  resume(call: EngineCall, after: number, sink: EngineSink): Promise<Outcome<void, EngineError>>;
  /** Stops a stream and returns its usage. If it is not known, a later start is refused. */
  stop(address: string, stream: string): Promise<Outcome<StoppedUsage, EngineError>>;
  /** Sends an order with the fencing token of its issuer's lease. */
  order(address: string, fencing: number, order: object): Promise<Outcome<void, EngineError>>;
  getLoad(address: string): Promise<Outcome<LoadReport, EngineError>>;
}
