import type {
  ConnectError,
  Connection,
  Milliseconds,
  Outcome,
  ResponseFraming,
  Tokens,
} from '@pomeloroad/core';
import type { PromptPart } from '@pomeloroad/routing';
import type { EventBatch } from './attempts/events';
import type { ResumePoint } from './attempts/resumePoint';

/**
 * Retry class of a route. A streaming request may be retried only if its route is marked as
 * resumable.
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** A service and its relative share of a route's requests. */
export interface WeightedService {
  service: string;
  weight: number;
}

/** Forwarding rules for the requests of one host and path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: RouteKind;
  isResumable: boolean;
  /** Maximum number of endpoints on which one request may run. */
  attempts: number;
  /** Maximum time from the start of a request to its final answer. */
  timeout: Milliseconds;
  /** Target time to the answer, or to the first event of a stream. */
  objective: Milliseconds;
  /** 0 is the highest priority. */
  priority: number;
  /** Whether requests are accepted without a key. */
  isPublic: boolean;
  targets: WeightedService[];
}

/** A service as the configuration defines it. */
export interface ForwardService {
  name: string;
  /** Maximum number of model tokens in one event of a stream. */
  tokensPerEvent: Tokens;
  /** How its endpoints copy runs to each other; left out if they do not. */
  copies?: CopySettings | undefined;
}

/** How endpoints of a service copy the memory of their runs to each other. */
export interface CopySettings {
  /** Time for which a copy is kept after its last part if its run does not end. */
  keptFor: Milliseconds;
}

/** A client account with its keys and its prepaid budget. */
export interface ForwardAccount {
  name: string;
  keys: string[];
  /** Overrides the route's priority. */
  priority: number | undefined;
  /** Total number of tokens that the account may use; `undefined` if its use is not counted. */
  prepaid: Tokens | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  bodyBytes: number;
  headerTimeout: Milliseconds;
  /** Maximum idle time of a connection. */
  idleTimeout: Milliseconds;
}

/** One complete version of the configuration. */
export interface ForwardConfiguration {
  version: number;
  routes: Route[];
  services: ForwardService[];
  accounts: ForwardAccount[];
  limits: CallerLimits;
}

/** The entry that an endpoint registers for itself in the store. */
export interface EndpointRecord {
  id: string;
  /** Start of the endpoint's incarnation. Only compared: a later incarnation has a higher value. */
  born: number;
  /** Increases with each change that the endpoint reports within an incarnation. */
  sequence: number;
  service: string;
  /** IP address and port. */
  address: string;
  dataCentre: string;
  isLeaving: boolean;
  /** Maximum number of requests in flight. */
  concurrency: number;
  /** Version of the endpoint's software; a missing one is a version of its own. */
  version?: string | undefined;
}

/** A copy of a run's memory, from which one other endpoint can go on with the run. */
export interface RunCopy {
  /** Name of the endpoint that holds the copy. */
  name: string;
  endpoint: EndpointRecord;
}

/** A caller's request, independent of the protocol it came by. */
export interface ForwardRequest<Payload> {
  id: string;
  route: Route;
  service: string;
  account: string;
  /** 0 is the highest priority. */
  priority: number;
  /** Time of `clock.elapsed()` by which the answer must be final. */
  deadline: Milliseconds;
  /** Time of `clock.elapsed()` when the request arrived. */
  startedAt: Milliseconds;
  configurationVersion: number;
  /** Upper bound of the tokens that the request may use. */
  cost: Cost;
  /** Parts of the prompt in order; only the last one is not shared with other requests. */
  prefix: PromptPart[];
  /** Hash of account, method, path and body: the same whenever a caller sends the same request again. */
  fingerprint: string;
  /** Id of the last event that the caller received from an earlier stream. */
  resumeAfter: string | undefined;
  /** Id of the attempt that brought the first event of the stream that the caller takes up. */
  resumes?: string | undefined;
  /** Data that only the protocol layers interpret: method, path, headers, body. */
  payload: Payload;
}

/** Maximum number of tokens that a request may use. */
export interface Cost {
  input: Tokens;
  output: Tokens;
}

/** Status, framing and unmodified headers of an endpoint's answer. */
export interface ReplyHead {
  status: number;
  /** How the endpoint states the end of the answer. */
  framing: ResponseFraming;
  /** Alternating names and values. */
  headers: string[];
}

/** An end in order of an endpoint's answer. */
export interface AnswerEnd {
  framing: ResponseFraming;
  /** Time of `clock.elapsed()` when the end arrived. */
  at: Milliseconds;
  /** Time of `clock.idle()` when it arrived; left out of whole answers. */
  idleAt?: Milliseconds | undefined;
  /** Time from the last event of a stream to the end; `undefined` if there was none, or no stream. */
  sinceEvent?: Milliseconds | undefined;
  /** Time of `EndpointLife.getTime()` by which its connection had certainly been open, and which its process had outlived. */
  ranAt?: Milliseconds | undefined;
  /** Resolves shortly after the end to what has become of the connection; at once if it was not to be kept. */
  connection: Promise<ConnectionFate>;
}

/** What becomes of a connection with the end of an answer. */
export type ConnectionFate =
  /** It stays open for the next request. */
  | 'kept'
  /** The endpoint has closed it while it was idle, although it had not announced that. */
  | 'closed'
  /** It was closed while it took the rest of a body or the next request, or cut on its way, which tells nothing of the endpoint. */
  | 'lost'
  /** It was not to be kept. */
  | 'not kept';

/** One result of reading a stream. `data` holds only complete events. */
export type StreamStep =
  | ({ kind: 'events' } & EventBatch)
  /** The endpoint has stated that the answer is complete. */
  | ({ kind: 'complete' } & AnswerEnd)
  /** The connection was closed in order, which does not tell whether the answer is complete. */
  | ({ kind: 'closed' } & AnswerEnd)
  | { kind: 'broken'; message: string };

/** The events of one answer, read one step at a time. */
export interface EventStream {
  next(): Promise<StreamStep>;
  /** Time for which its connection was open when its head arrived; left out if that is not known. */
  connectionAge?: Milliseconds | undefined;
  /** Whether it comes from the incarnation of the entry; left out if the endpoint does not tell. */
  incarnation?: 'proved' | 'unproved' | undefined;
  /** Whether the endpoint has sent the event again that it was asked to repeat. */
  hasRepeated(): boolean;
  /** Closes the connection; resolves once it is closed and another attempt may start. */
  close(): Promise<void>;
}

/** An answer that was read to its end. */
export interface WholeAnswer {
  head: ReplyHead;
  body: Buffer;
}

/** A validated answer of an endpoint. */
export type Reply =
  | ({ kind: 'whole'; end: AnswerEnd } & WholeAnswer)
  | { kind: 'stream'; head: ReplyHead; stream: EventStream };

/** Why an attempt got no answer. */
export type SendError =
  /**
   * No connection could be made to the incarnation, so nothing was sent; `isLate` if it was not refused but took too
   * long, `isReplaced` if it leads to a later incarnation, `isReached` if it opened.
   */
  | {
      kind: 'unreachable';
      message: string;
      isLate?: boolean;
      isReplaced?: boolean;
      isReached?: boolean;
    }
  /** Another endpoint now uses the address; the request was not run. */
  | { kind: 'replaced'; message: string }
  /**
   * The endpoint reported that it did not run the request; `lacksCopy` if it gave no other reason than that it
   * has not the copy from which it was to go on.
   */
  | { kind: 'declined'; message: string; lacksCopy?: boolean }
  /** Nothing was sent, because endpoints crash under the request or a part of its prompt. */
  | { kind: 'withheld'; message: string }
  /** Nothing was sent, because the request can't be written in the endpoint's protocol. */
  | { kind: 'unsendable'; message: string }
  /** A whole answer came, but something speaks against its end, which another endpoint may tell. */
  | { kind: 'doubted'; message: string; answer: WholeAnswer }
  /** The connection failed after the request was sent, so the request may have run. */
  | { kind: 'broken'; message: string };

/** What an endpoint says of itself in the head of an answer. */
export type EndpointStatement =
  /** It takes so many requests a second from all instances together. */
  | { kind: 'rate-limit'; limit: number }
  /** It is leaving, and is to get no new requests. */
  | { kind: 'leaving' }
  /** It rejected the request, and wants no other one from this instance for the time. */
  | { kind: 'pause'; duration: Milliseconds }
  /** It fails if it has to reject more than so many requests a second. */
  | { kind: 'brittle'; rejections: number };

/**
 * Which process an attempt may reach: any at the endpoint's address; that of the entry, unless it does not tell
 * who it is; or that of the entry only.
 */
export type IncarnationNeed = 'any' | 'preferred' | 'required';

/** One attempt to run a request on one endpoint. */
export interface Attempt<Payload> {
  request: ForwardRequest<Payload>;
  endpoint: EndpointRecord;
  need: IncarnationNeed;
  resumePoint: ResumePoint;
  /** Where the endpoint is to copy the run to; left out if nowhere. */
  copyTo?: RunCopy | undefined;
  /** Copy of the same run from which the endpoint is to go on; left out if it is to begin. */
  continued?: RunCopy | undefined;
  /** Time after which the endpoint is to stop work; it ends after the request's deadline. */
  timeLimit: Milliseconds;
  /** Called with the connection when it is open, so that the endpoint may start to work. */
  onConnected(connection?: Connection): void;
  /** Called whenever bytes of the answer arrive. */
  onActivity(): void;
  /** Called whenever an event of a stream, or a part of the body of another answer, has arrived. */
  onProgress(): void;
  /** Called when reading goes on that had paused because the caller is slow. */
  onReadAgain(): void;
  /** Called with the head of each answer; what it does not say does not hold any more, but for leaving. */
  onStatements(statements: EndpointStatement[]): void;
  /** Aborted when the answer is not wanted any more; the connection is then closed. */
  signal: AbortSignal;
}

/** Whether an endpoint's address accepts connections; `unknown` if there was no answer in time. */
export type Reachability = 'accepting' | 'refused' | 'unknown';

/** Whether an entry's incarnation answers at its address; `untold` if what accepts connections does not tell. */
export type Identity = 'same' | 'other' | 'untold' | 'refused' | 'unknown';

/** What the process at an endpoint's address tells of its start. */
export type ToldStart = { kind: 'told'; born: number } | { kind: 'untold' };

/** The same, or why nothing accepted the question. */
export type StartFinding = ToldStart | { kind: 'refused' | 'unknown' };

/** What an endpoint tells of a run, some hundred milliseconds late. */
export type RunState =
  /** It has the run, and has made so many events of it. */
  | { kind: 'listed'; events: number }
  /** It has not the run, nor any that it does not name. */
  | { kind: 'missing' }
  /** It answered, but does not tell. */
  | { kind: 'untold' }
  /** It did not answer in time. */
  | { kind: 'silent' };

/** Whether an endpoint says that its memory has room for more of its runs; `untold` if it does not say. */
export type RoomState = 'free' | 'short' | 'untold';

/** Opens a TCP connection to the address, `ip:port`, within the timeout. Never rejects. */
export type Connect = (
  address: string,
  timeout: Milliseconds,
) => Promise<Outcome<Connection, ConnectError>>;

/** Opens a connection to the endpoint at the address, `ip:port`. Never rejects. */
export type Dial = (address: string) => Promise<Outcome<Connection, ConnectError>>;

/** Client of the endpoints' protocol. Its functions never throw. */
export interface EndpointProtocol<Payload> {
  send(attempt: Attempt<Payload>): Promise<Outcome<Reply, SendError>>;
  /** Opens and closes a connection to the endpoint; sends nothing. */
  probe(endpoint: EndpointRecord): Promise<Reachability>;
  /** Asks whether the entry's incarnation answers at its address. Costs as much as a probe. */
  identify(endpoint: EndpointRecord): Promise<Identity>;
  /** Asks the process at the endpoint's address for its start, over a new connection. Costs as much as a probe. */
  findStart(endpoint: EndpointRecord): Promise<StartFinding>;
  /** Returns the open connections to the address that wait for a next request and lead there directly. */
  listIdle(endpoint: EndpointRecord): object[];
  /** Asks the endpoint about the run of the request with the id. Costs as much as a probe. */
  findRun(endpoint: EndpointRecord, id: string): Promise<RunState>;
  /** Asks the endpoint whether it has room. Costs as much as a probe. */
  findRoom(endpoint: EndpointRecord): Promise<RoomState>;
}

/** Why a request was refused without an answer from an endpoint. */
export type RefusalKind =
  | 'not-ready'
  | 'overloaded'
  | 'no-endpoint'
  /** The version that began a stream is not known, so the stream can't go on. */
  | 'version-unknown'
  /** Endpoints crash under the request or a part of its prompt. */
  | 'blocked'
  | 'budget-exhausted'
  | 'budget-unreachable'
  | 'timed-out'
  | 'failed';

/** A refusal that this instance sends in place of an endpoint's answer. */
export interface ForwardRefusal {
  kind: RefusalKind;
  /** False only if no endpoint has run the request or will run it later. */
  hasRun: boolean;
  /** Delay after which the caller may retry; `undefined` if no delay is advised. */
  retryAfter: Milliseconds | undefined;
}

/** The connection on which a caller waits for its answer. */
export interface Caller {
  /** Aborted once the caller has disconnected. */
  signal: AbortSignal;
  /** Sends a whole answer and states its end. */
  answer(head: ReplyHead, body: Buffer): void;
  refuse(refusal: ForwardRefusal): void;
  /** Starts a streamed answer. */
  begin(head: ReplyHead): void;
  /** Writes a part of a streamed answer; resolves when more may be written. */
  write(data: Buffer): Promise<void>;
  /** Ends a streamed answer and states that it is complete. */
  end(): void;
  /** Aborts a streamed answer so that the caller can tell it is incomplete. */
  cut(): void;
}
