/**
 * Keeps each stream at the service and software version that it began at, over all attempts of its caller and at all
 * daemons: records where streams begin, answers other daemons, and decides on the streams that callers take up.
 */
import {
  PossibleOrigins,
  type RequestDescription,
  type ResumptionDecision,
  type Route,
  StreamOriginTable,
  type StreamServer,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { Exchange } from './exchange.js';
import type { FleetView } from './fleet-view.js';
import { FollowedOrigins } from './followed-origins.js';
import { streamKeyOf } from './stream-key.js';
import { StreamLookup } from './stream-lookup.js';
import type { StreamAskedMessage, StreamMessage } from './stream-message-fields.js';
import type { StreamPeers } from './stream-peers.js';
import { StreamRecorder } from './stream-recorder.js';

/** Dependencies of a `StreamContinuity`. */
export interface StreamContinuityOptions extends StreamPeers {
  readonly fleet: Pick<FleetView, 'directory' | 'inForce'>;
  /** Reads the list of servers from the store; resolves to whether it was applied within the limit. */
  readonly readServers: (limitMs: number) => Promise<boolean>;
  /** How long the list of servers has been followed without a gap; undefined if it is not followed now. */
  readonly serversFollowedMs: () => number | undefined;
}

/** Where the streams of one daemon may go on. */
export class StreamContinuity {
  readonly #options: StreamContinuityOptions;
  readonly #records = new StreamOriginTable();
  readonly #possibleOrigins = new PossibleOrigins();
  readonly #followedOrigins: FollowedOrigins;
  readonly #recorder: StreamRecorder;
  readonly #lookup: StreamLookup;

  constructor(options: StreamContinuityOptions) {
    this.#options = options;
    this.#followedOrigins = new FollowedOrigins({
      ...options,
      possibleOrigins: this.#possibleOrigins,
    });
    const parts = {
      ...options,
      records: this.#records,
      possibleOrigins: this.#followedOrigins,
    };
    this.#recorder = new StreamRecorder(parts);
    this.#lookup = new StreamLookup(parts);
  }

  /** Streams whose origin this daemon knows, its own and those it keeps for others. */
  get recordCount(): number {
    return this.#records.size;
  }

  stop(): void {
    this.#recorder.stop();
    this.#lookup.stop();
  }

  /** The list of servers has changed. */
  handleServersChanged(): void {
    const { fleet, timers } = this.#options;
    const isAdded = this.#possibleOrigins.observeServers(fleet.directory.all(), timers.nowMs());
    if (isAdded) this.#recorder.sendUnsent();
  }

  /** A configuration has come into force. */
  handleConfigurationChanged(): void {
    const { fleet, timers } = this.#options;
    const routes = fleet.inForce?.configuration.routes ?? [];
    const isAdded = this.#possibleOrigins.observeRoutes(routes, timers.nowMs());
    if (isAdded) this.#recorder.sendUnsent();
  }

  /**
   * Records that the first event of a stream is about to go to its caller.
   * @returns undefined where the event may go at once; otherwise resolves when it may
   */
  recordFirstEvent(exchange: Exchange, server: StreamServer): Promise<void> | undefined {
    return this.#recorder.recordFirstEvent(exchange, server);
  }

  /** Decides whether a stream that its caller takes up goes on, and where; undefined for a request that begins anew. */
  async decideResumption(
    { attemptId, resumption }: RequestDescription,
    route: Route,
  ): Promise<ResumptionDecision | undefined> {
    if (resumption === undefined || !route.resumable) return undefined;
    const { timers, log, metrics } = this.#options;
    const startedMs = timers.nowMs();
    const { streamId = '' } = resumption;
    const found = await this.#lookup.find(streamKeyOf(streamId), route);
    const decision = restrictToRoute(found, route);
    metrics.recordResumption(
      decision.kind,
      decision.kind === 'continue' ? decision.source : decision.reason,
    );
    log.write(GATEWAY_EVENTS.streamResumption, {
      request: attemptId,
      stream: streamId,
      ...(decision.kind === 'continue'
        ? { ...decision.origin, source: decision.source, ageMs: Math.round(decision.ageMs ?? 0) }
        : { reason: decision.reason }),
      outcome: decision.kind,
      tookMs: Math.round(timers.nowMs() - startedMs),
    });
    return decision;
  }

  /** Handles another daemon's message; `reply` sends an answer to it. */
  handleMessage(message: StreamMessage, reply: (answer: StreamMessage) => void): void {
    switch (message.kind) {
      case 'stream-records': {
        const nowMs = this.#options.timers.nowMs();
        for (const { streamId, origin, ageMs, leftMs } of message.records) {
          const times = { beganAtMs: nowMs - ageMs, endsAtMs: nowMs + leftMs };
          this.#records.add({ streamId, origin, ...times }, nowMs);
        }
        reply({ kind: 'stream-records-stored', number: message.number });
        return;
      }
      case 'stream-records-stored':
        this.#recorder.handleStored(message.number);
        return;
      case 'stream-asked':
        reply(this.#answerTo(message));
        return;
      case 'stream-answered':
        this.#lookup.handleAnswer(message);
        return;
    }
  }

  #answerTo({ number, streamId, routeKey, lifeMs }: StreamAskedMessage): StreamMessage {
    const { zone, timers } = this.#options;
    const nowMs = timers.nowMs();
    const known = this.#records.get(streamId, nowMs);
    const record =
      known === undefined ? undefined : { origin: known.origin, ageMs: nowMs - known.beganAtMs };
    const view = this.#followedOrigins.viewOf(routeKey, lifeMs, nowMs);
    return { kind: 'stream-answered', number, zone, record, view };
  }
}

/** A stream goes on only at a service that its route still leads to. */
function restrictToRoute(decision: ResumptionDecision, { traffic }: Route): ResumptionDecision {
  if (decision.kind === 'reject') return decision;
  const { service } = decision.origin;
  const isAllowed = traffic.some((share) => share.service === service && share.weight > 0);
  if (isAllowed) return decision;
  return { kind: 'reject', reason: 'its route leads to its service no more' };
}
