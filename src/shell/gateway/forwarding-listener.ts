/**
 * The listener for requests that other daemons forward. A sender proves with a token that it belongs to the fleet; anyone
 * else is turned away before anything of the request is read.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { CallerListener } from './caller-listener.js';
import { decodeForwarding, forwardingToken, notTakenHeaders } from './forwarding-headers.js';
import type { RequestIntake } from './request-intake.js';
import type { GatewayLog } from './request-log.js';

/** Limit of the HTTP parser, as at the listener for callers. */
const MAX_PARSED_HEADER_BYTES = 131_072;
const HEADERS_TIMEOUT_MS = 2_000;
const REQUEST_TIMEOUT_MS = 10_000;
/** Bounds what strangers can occupy; daemons use a connection for each request. */
const MAX_CONNECTIONS = 512;
/** Beyond this, the sender takes the request to another daemon. */
const MAX_IN_FLIGHT = 256;

/** Dependencies of the listener. */
export interface ForwardingListenerOptions {
  readonly callers: Pick<CallerListener, 'handle' | 'createIntake'>;
  /** A secret of the fleet; undefined until it has been read. */
  readonly fleetKey: () => Buffer | undefined;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Accepts forwarded requests. */
export class ForwardingListener {
  readonly #options: ForwardingListenerOptions;
  readonly server: Server;
  readonly #intake: RequestIntake;
  #inFlight = 0;

  constructor(options: ForwardingListenerOptions) {
    this.#options = options;
    this.server = http.createServer(
      { maxHeaderSize: MAX_PARSED_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS },
      (request, response) => {
        if (this.#intake.accept(request, response)) this.#accept(request, response);
      },
    );
    this.#intake = options.callers.createIntake(this.server);
    this.server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.server.maxConnections = MAX_CONNECTIONS;
  }

  #accept(request: IncomingMessage, response: ServerResponse): void {
    const { callers, fleetKey } = this.#options;
    const key = fleetKey();
    const forwarded =
      key === undefined ? undefined : decodeForwarding(request.headers, forwardingToken(key));
    if (forwarded === undefined) {
      this.#reject(request, response, 403, 'no daemon of this fleet');
      return;
    }
    if (this.#inFlight >= MAX_IN_FLIGHT) {
      this.#reject(request, response, 503, 'too many requests');
      return;
    }
    this.#inFlight += 1;
    response.once('close', () => {
      this.#inFlight -= 1;
    });
    callers.handle(request, response, this.#intake, forwarded);
  }

  #reject(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    reason: string,
  ): void {
    const sender = request.socket.remoteAddress ?? '';
    this.#options.log.write(GATEWAY_EVENTS.forwardRejected, { sender, status, reason });
    // A connection that is closed with unread bytes is reset, and the sender may not see the answer.
    request.once('end', () => {
      response.writeHead(status, [...notTakenHeaders(reason), 'Connection', 'close']).end();
    });
    request.resume();
  }
}
