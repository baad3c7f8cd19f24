import type http from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type https from 'node:https';

/**
 * Lets callers that ask to be told go on with the bodies of their requests, each in the turn of its
 * response. Node writes the interim response of one that waits behind others after its final head.
 */
export function answerExpectations(server: http.Server | https.Server): void {
  server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
    if (response.socket) response.writeContinue();
    else {
      keepConnection(response);
      response.once('socket', () => tellToGoOn(message, response));
    }
    server.emit('request', message, response);
  });
}

// A caller that did not wait, or whose request is answered already, need not be told.
function tellToGoOn(message: IncomingMessage, response: ServerResponse): void {
  if (!message.complete && !response.headersSent) response.writeContinue();
}

// Node closes the connection after a response whose caller was not told, since it may not send its body; it
// would take along the requests behind it. Servers answer here once they have read the body, or close.
function keepConnection(response: ServerResponse): void {
  Object.assign(response, { _expect_continue: false });
}
