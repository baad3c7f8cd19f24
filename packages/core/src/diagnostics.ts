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

/** All events that a process logs. */
export const Diagnostics = {
  instanceStarted: diagnostic(1001, 'info', 'instance started'),
  instanceDraining: diagnostic(1002, 'info', 'instance is draining'),
  instanceStopped: diagnostic(1003, 'info', 'instance stopped'),
  invariantBroken: diagnostic(1004, 'error', 'invariant broken, stopping'),
  drainTimedOut: diagnostic(1005, 'warn', 'drain deadline passed with requests still open'),
  peerConnected: diagnostic(2001, 'info', 'peer connected'),
  peerDisconnected: diagnostic(2002, 'info', 'peer disconnected'),
  peerRejected: diagnostic(2003, 'warn', 'peer connection rejected'),
  peerSilent: diagnostic(2004, 'warn', 'peer stopped answering heartbeats'),
  platformUnavailable: diagnostic(3001, 'warn', 'platform unavailable'),
  platformRecovered: diagnostic(3002, 'info', 'platform answers again'),
  rowUnreadable: diagnostic(3003, 'warn', 'row could not be parsed, ignored'),
  feedRestarted: diagnostic(3004, 'info', 'feed restarted with a full read'),
  feedCallFailed: diagnostic(3006, 'info', 'call of a feed failed'),
  storeRewound: diagnostic(
    3007,
    'warn',
    'the store came back from an older copy, all rows are read again',
  ),
  linesDropped: diagnostic(1006, 'warn', 'log lines dropped under load'),
  settingsReloaded: diagnostic(1007, 'info', 'settings read again'),
  heartbeatFailed: diagnostic(3005, 'warn', 'instance could not announce itself'),
  processPaused: diagnostic(1008, 'warn', 'process was paused, cached state is read again'),
  instanceOverloaded: diagnostic(
    1009,
    'warn',
    'requests wait too long to be handled, no new callers are taken',
  ),
  instanceKeepsUp: diagnostic(1010, 'info', 'requests are handled in time again'),
  memoryRefused: diagnostic(
    1011,
    'warn',
    'callers refused or their connections closed, they held too much memory',
  ),
  grantOpened: diagnostic(4001, 'info', 'grant opened'),
  grantResized: diagnostic(4002, 'info', 'grant resized'),
  grantClosed: diagnostic(4003, 'info', 'grant closed'),
  lostGrantClosed: diagnostic(4005, 'warn', 'grant of a lost instance closed'),
  reservationExceeded: diagnostic(
    4006,
    'error',
    'endpoint reported more tokens than were reserved',
  ),
  budgetStoreFailed: diagnostic(4008, 'warn', 'store call for a budget failed'),
  predecessorFound: diagnostic(4009, 'info', 'lease of an earlier incarnation found'),
  grantReclaimed: diagnostic(4010, 'info', 'reserve of an earlier incarnation released'),
  leaseLost: diagnostic(4011, 'error', 'another process holds the lease of this instance'),
  budgetRewound: diagnostic(4013, 'warn', 'the store came back from an older copy of a budget'),
  grantRestored: diagnostic(4014, 'info', 'grant put back after the store came back'),
  budgetOpened: diagnostic(
    4015,
    'warn',
    'budget opened without instances that are gone or cut off',
  ),
  reserveOpened: diagnostic(4012, 'warn', 'lease renewal overdue, spending from the reserve'),
  reservationOrphaned: diagnostic(4007, 'warn', 'reservation of a lost instance settled'),
  requestAnswered: diagnostic(5001, 'debug', 'request answered'),
  requestRefused: diagnostic(5002, 'info', 'request refused'),
  requestResumed: diagnostic(5003, 'info', 'stream resumed'),
  requestRetried: diagnostic(5004, 'info', 'request retried on another endpoint'),
  requestForwarded: diagnostic(5006, 'info', 'request answered by an endpoint'),
  requestFailed: diagnostic(5007, 'info', 'request ended without a complete response'),
  attemptFailed: diagnostic(5008, 'info', 'attempt on an endpoint failed'),
  streamTakenUp: diagnostic(5011, 'info', 'caller takes a stream up'),
  callerDisconnected: diagnostic(
    5005,
    'info',
    'caller disconnected before the response was complete',
  ),
  answerSilent: diagnostic(5009, 'info', 'answer silent past its threshold'),
  endSuspicious: diagnostic(5012, 'warn', 'end in order that may not be the end of the answer'),
  suspectBlocked: diagnostic(
    5013,
    'warn',
    'endpoints crash under a suspect, requests with it are refused',
  ),
  suspectCleared: diagnostic(5014, 'info', 'requests with a suspect are sent again'),
  suspectProbed: diagnostic(5015, 'info', 'a request with a blocked suspect is sent to try it'),
  requestAborted: diagnostic(5016, 'error', 'request ended by an unexpected error'),
  runContinued: diagnostic(5017, 'warn', 'the holder of a copy was asked to go on with a run'),
  idleConnectionClosed: diagnostic(5010, 'info', 'idle connection of a caller closed'),
  configurationStaged: diagnostic(6001, 'info', 'configuration staged'),
  configurationAccepted: diagnostic(6002, 'info', 'configuration in force'),
  configurationWithdrawn: diagnostic(6003, 'warn', 'configuration withdrawn'),
  configurationLate: diagnostic(
    6005,
    'warn',
    'a read of the configuration takes too long, no new callers are taken',
  ),
  configurationOnTime: diagnostic(6006, 'info', 'the configuration is read in time again'),
  configurationInDoubt: diagnostic(
    6004,
    'warn',
    'staged configuration in doubt, serving what both versions allow',
  ),
  endpointLeaving: diagnostic(7001, 'info', 'endpoint is leaving'),
  endpointFailed: diagnostic(7002, 'warn', 'endpoint failed'),
  endpointListed: diagnostic(7005, 'info', 'endpoint is listed'),
  endpointUnlisted: diagnostic(7006, 'info', 'endpoint is no longer listed'),
  endpointRecovered: diagnostic(7003, 'info', 'endpoint answers again'),
  endpointLostAfterEnds: diagnostic(
    7007,
    'warn',
    'endpoint failed or left within a second after it ended answers',
  ),
  endpointCrashed: diagnostic(7008, 'warn', 'endpoint died without notice under requests'),
  rateLimitNamed: diagnostic(7009, 'info', 'endpoint names the requests a second that it takes'),
  rateLimitEnded: diagnostic(7010, 'info', 'endpoint names no limit of requests any more'),
  tunnelsUnavailable: diagnostic(
    7013,
    'warn',
    'no connections are carried for other instances, the port is not available',
  ),
  endpointPaused: diagnostic(7014, 'info', 'endpoint rejects requests and wants none for a time'),
  brittlenessNamed: diagnostic(7015, 'info', 'endpoint fails if it has to reject requests'),
  brittlenessEnded: diagnostic(7016, 'info', 'endpoint does not say any more that it is brittle'),
  pathLost: diagnostic(7011, 'warn', 'endpoint is only reached through other instances'),
  pathRegained: diagnostic(7012, 'info', 'endpoint is reached by the own path again'),
  orderFailed: diagnostic(7004, 'warn', 'order to an endpoint failed'),
} as const satisfies Record<string, Diagnostic>;
