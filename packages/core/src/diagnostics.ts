/** Severity of a log event. */
export type Severity = 'error' | 'warn' | 'info' | 'debug';

/** A numbered log event; the number never changes its meaning. */
export interface Diagnostic {
  code: number;
  severity: Severity;
  text: string;
}

function diagnostic(code: number, severity: Severity, text: string): Diagnostic {
  return { code, severity, text };
}

/** Every event that a process logs. */
export const Diagnostics = {
  instanceStarted: diagnostic(1001, 'info', 'instance started'),
  instanceDraining: diagnostic(1002, 'info', 'instance is draining'),
  instanceStopped: diagnostic(1003, 'info', 'instance stopped'),
  invariantBroken: diagnostic(1004, 'error', 'invariant broken, stopping'),
  drainTimedOut: diagnostic(1005, 'warn', 'drain deadline passed with requests still open'),
  peerConnected: diagnostic(2001, 'info', 'peer connected'),
  peerDisconnected: diagnostic(2002, 'info', 'peer disconnected'),
  peerRejected: diagnostic(2003, 'warn', 'peer rejected'),
  peerSilent: diagnostic(2004, 'warn', 'peer stopped answering heartbeats'),
  platformUnavailable: diagnostic(3001, 'warn', 'platform unavailable'),
  platformRecovered: diagnostic(3002, 'info', 'platform answers again'),
  grantOpened: diagnostic(4001, 'info', 'grant opened'),
  grantResized: diagnostic(4002, 'debug', 'grant resized'),
  grantClosed: diagnostic(4003, 'info', 'grant closed'),
  grantAdopted: diagnostic(4005, 'warn', 'grant of a dead holder closed'),
  costOverBound: diagnostic(4006, 'error', 'endpoint reported more tokens than were reserved'),
  reservationOrphaned: diagnostic(4007, 'warn', 'reservation of a lost instance settled'),
  requestAnswered: diagnostic(5001, 'debug', 'request answered'),
  requestRefused: diagnostic(5002, 'info', 'request refused'),
  requestResumed: diagnostic(5003, 'info', 'stream resumed'),
  requestRetried: diagnostic(5004, 'info', 'request retried on another endpoint'),
  callerLeft: diagnostic(5005, 'info', 'caller left before the end of the answer'),
  configurationStaged: diagnostic(6001, 'info', 'configuration staged'),
  configurationAccepted: diagnostic(6002, 'info', 'configuration in force'),
  configurationWithdrawn: diagnostic(6003, 'warn', 'configuration withdrawn'),
  configurationInDoubt: diagnostic(6004, 'warn', 'configuration in doubt, serving what both allow'),
  endpointLeaving: diagnostic(7001, 'info', 'endpoint is leaving'),
  endpointFailed: diagnostic(7002, 'warn', 'endpoint failed'),
  endpointRecovered: diagnostic(7003, 'info', 'endpoint answers again'),
  orderRefused: diagnostic(7004, 'warn', 'endpoint did not take an order'),
} as const satisfies Record<string, Diagnostic>;
