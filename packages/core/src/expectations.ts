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
    else response.once('socket', () => tellToGoOn(message, response));
    server.emit('request', message, response);
  });
}

// A caller that did not wait, or whose request is answered already, need not be told.
function tellToGoOn(message: IncomingMessage, response: ServerResponse): void {
  if (!message.complete && !response.headersSent) response.writeContinue();
}
