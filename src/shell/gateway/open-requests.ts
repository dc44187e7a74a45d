/** The requests of callers whose answers have not ended, from the arrival of their heads. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { LogFields } from '../../core/logging/log-event.js';
import type { Exchange } from './exchange.js';
import type { ForwardedRequest } from './forwarding-headers.js';
import type { RequestCodec } from './ports.js';
import type { ActivityPhase, RequestPhase } from './request-progress.js';

/** How far a request has come: an exchange runs it once it is read and its route is known. */
type Stage =
  | { readonly kind: 'arriving'; readonly phase: ActivityPhase; readonly route: string }
  | { readonly kind: 'running'; readonly exchange: Exchange };

/** A request as it arrived. */
export interface ArrivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Set for a request that another daemon has forwarded. */
  readonly forwarded: ForwardedRequest | undefined;
  readonly arrivedAtMs: number;
}

/** One request whose answer has not ended. */
export class OpenRequest {
  readonly arrived: ArrivedRequest;
  #stage: Stage = { kind: 'arriving', phase: 'checking', route: '' };

  constructor(arrived: ArrivedRequest) {
    this.arrived = arrived;
  }

  /** Records what is being done before an exchange runs the request. */
  enter(phase: ActivityPhase, route: string): void {
    this.#stage = { kind: 'arriving', phase, route };
  }

  /** Records that an exchange runs the request from now on. */
  runBy(exchange: Exchange): void {
    this.#stage = { kind: 'running', exchange };
  }

  get exchange(): Exchange | undefined {
    return this.#stage.kind === 'running' ? this.#stage.exchange : undefined;
  }

  get phase(): RequestPhase {
    const { response } = this.arrived;
    if (response.writableEnded) return 'delivering';
    if (response.headersSent) return 'streaming';
    return this.#activityPhase();
  }

  #activityPhase(): ActivityPhase {
    switch (this.#stage.kind) {
      case 'arriving':
        return this.#stage.phase;
      case 'running':
        return this.#stage.exchange.progress.latest.phase;
    }
  }

  /** Fields of a log line that tell how far the request has come. */
  describe(codec: Pick<RequestCodec, 'describe'>, nowMs: number): LogFields {
    const { response, arrivedAtMs } = this.arrived;
    return {
      ...this.#describeStage(codec),
      phase: this.phase,
      elapsedMs: Math.round(nowMs - arrivedAtMs),
      bufferedBytes: response.writableLength,
    };
  }

  #describeStage(codec: Pick<RequestCodec, 'describe'>): LogFields {
    const { request, forwarded } = this.arrived;
    switch (this.#stage.kind) {
      case 'arriving':
        return {
          request: codec.describe(request.headers)?.attemptId ?? '',
          route: this.#stage.route,
          forwardedBy: forwarded?.from ?? '',
          server: '',
          mayHaveRun: false,
          bytesSent: 0,
        };
      case 'running': {
        const { exchange } = this.#stage;
        return {
          ...exchange.logFields(),
          server: exchange.progress.lastServer,
          mayHaveRun: exchange.mayHaveRun,
          bytesSent: exchange.progress.bytesSent,
          deadlineInMs: Math.round(exchange.remainingMs()),
        };
      }
    }
  }
}

/** All requests of one daemon whose answers have not ended. */
export class OpenRequests {
  readonly #open = new Set<OpenRequest>();
  #total = 0;

  /** Requests since the process started. */
  get total(): number {
    return this.#total;
  }

  get size(): number {
    return this.#open.size;
  }

  /** The requests at this moment. */
  all(): readonly OpenRequest[] {
    return [...this.#open];
  }

  /** Adds a request until its answer has ended or its connection is closed. */
  add(arrived: ArrivedRequest): OpenRequest {
    const open = new OpenRequest(arrived);
    this.#open.add(open);
    this.#total += 1;
    arrived.response.once('close', () => this.#open.delete(open));
    return open;
  }
}
