/**
 * Logs requests that a departing server may receive late: those sent to a server that is not listed as ready, those
 * without an answer as it departs, and those it answers long after. A departure that this daemon learned late is logged
 * with what it relied on until then.
 */
import {
  type Departure,
  isSameBoot,
  type ServerRecord,
  type TrackedCall,
  UnansweredCalls,
} from '../../core/gateway/index.js';
import { DEPARTURE_EVENTS } from '../../core/logging/catalogue/departures.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { LogFields } from '../../core/logging/log-event.js';
import { ageField } from './age-field.js';
import type { CallResult } from './backend-connections.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** A stopped server may hold many calls; beyond this number the line of a departure only counts them. */
const MAX_UNANSWERED_LOGGED = 16;
/** Learning of a departure and sending the last request before it take at most this share of `drainMs`. */
const LATE_SHARE_OF_DRAIN = 0.5;

/** Dependencies and settings of `DepartureReports`. */
export interface DepartureReportsOptions {
  readonly build: string;
  /** How long servers accept work after the store has acknowledged their departure; undefined if not known. */
  readonly drainMs: number | undefined;
  readonly fleet: Pick<FleetView, 'departures'>;
  /** The daemon whose digests of the list this one relies on; undefined while it reads the list itself. */
  readonly relayName: () => string | undefined;
  /** Their clock is that of the departures. */
  readonly timers: Pick<TimerService, 'nowMs'>;
  readonly metrics: Pick<GatewayMetrics, 'recordSentToDeparting' | 'recordUnansweredAtDeparture'>;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** A request that is sent to a server. */
export interface SentRequest {
  readonly server: ServerRecord;
  readonly request: string;
  readonly purpose: string;
}

/** The last request that was sent to a server. */
interface LastSent {
  readonly request: string;
  readonly sentAtMs: number;
}

/** Reports on the departures that one daemon learns of. */
export class DepartureReports {
  readonly #options: DepartureReportsOptions;
  readonly #lateMs: number;
  readonly #unanswered = new UnansweredCalls();
  /** By server id; forgotten as the server departs. */
  readonly #lastSent = new Map<string, LastSent>();

  constructor(options: DepartureReportsOptions) {
    this.#options = options;
    this.#lateMs = (options.drainMs ?? Number.POSITIVE_INFINITY) * LATE_SHARE_OF_DRAIN;
  }

  /** Records a request that is sent now; logs one that goes to a server that is not listed as ready. */
  recordSent(sent: SentRequest): TrackedCall {
    const { server, request, purpose } = sent;
    const sentAtMs = this.#options.timers.nowMs();
    this.#lastSent.set(server.id, { request, sentAtMs });
    this.#reportSentToDeparting(sent, sentAtMs);
    return this.#unanswered.add({ server, request, purpose, sentAtMs });
  }

  /** Records how a request ended up to the response headers. One that was given up may still be read by its server. */
  recordResult(sent: TrackedCall, result: CallResult, isGivenUp: boolean): void {
    if (result.kind === 'broken' && isGivenUp) {
      this.#unanswered.giveUp(sent, this.#options.timers.nowMs());
      return;
    }
    this.#unanswered.remove(sent);
    if (result.kind === 'answered') this.#reportLateAnswer(sent);
  }

  /** Records the answer to a request that was given up. */
  recordLateAnswer(sent: TrackedCall): void {
    this.#unanswered.remove(sent);
    this.#reportLateAnswer(sent);
  }

  /** Logs what this daemon knows of requests at a server of whose departure it has just learned. */
  reportDeparture(departure: Departure): void {
    this.#reportUnanswered(departure);
    this.#reportLearnedLate(departure);
    this.#lastSent.delete(departure.server.id);
  }

  #reportUnanswered(departure: Departure): void {
    const { metrics, log } = this.#options;
    const { server, learnedAtMs } = departure;
    const calls = this.#unanswered.takeOf(server, learnedAtMs);
    metrics.recordUnansweredAtDeparture(calls.length);
    const earliest = [...calls].sort((left, right) => left.sentAtMs - right.sentAtMs);
    for (const call of earliest.slice(0, MAX_UNANSWERED_LOGGED)) {
      const { sentAtMs, givenUpAtMs } = call;
      log.write(GATEWAY_EVENTS.unansweredAtDeparture, {
        ...this.#fieldsOf(call, departure, learnedAtMs),
        sentAgoMs: Math.round(learnedAtMs - sentAtMs),
        givenUpAgoMs: givenUpAtMs === undefined ? null : Math.round(learnedAtMs - givenUpAtMs),
        calls: calls.length,
      });
    }
  }

  #reportLearnedLate(departure: Departure): void {
    const { server, state, source, changedAfterMs, learnedAtMs, era, revision } = departure;
    const changedWithinMs = learnedAtMs - changedAfterMs;
    if (!Number.isFinite(changedWithinMs) || changedWithinMs <= this.#lateMs) return;
    const last = this.#lastSent.get(server.id);
    const { build, relayName, log } = this.#options;
    log.write(DEPARTURE_EVENTS.learnedLate, {
      server: server.id,
      service: server.service,
      build,
      state,
      source,
      changedWithinMs: Math.round(changedWithinMs),
      relay: relayName() ?? '',
      era,
      revision,
      lastRequest: last?.request ?? '',
      lastSentAgoMs: last === undefined ? null : Math.round(learnedAtMs - last.sentAtMs),
    });
  }

  #reportSentToDeparting(sent: SentRequest, nowMs: number): void {
    const { fleet, metrics, log } = this.#options;
    const departure = fleet.departures.of(sent.server.id);
    if (departure === undefined) return;
    const { state, era, revision, learnedAtMs } = departure;
    metrics.recordSentToDeparting(state);
    log.write(GATEWAY_EVENTS.sentToDeparting, {
      ...this.#fieldsOf(sent, departure, nowMs),
      learnedAgoMs: Math.round(nowMs - learnedAtMs),
      era,
      revision,
    });
  }

  #reportLateAnswer(sent: TrackedCall): void {
    const { fleet, timers, relayName, log } = this.#options;
    const departure = fleet.departures.of(sent.server.id);
    if (departure === undefined || !isSameBoot(departure.server, sent.server)) return;
    const nowMs = timers.nowMs();
    const learnedAgoMs = nowMs - departure.learnedAtMs;
    if (learnedAgoMs <= this.#lateMs) return;
    log.write(DEPARTURE_EVENTS.answeredLate, {
      ...this.#fieldsOf(sent, departure, nowMs),
      learnedAgoMs: Math.round(learnedAgoMs),
      sentAgoMs: Math.round(nowMs - sent.sentAtMs),
      relay: relayName() ?? '',
    });
  }

  #fieldsOf(
    { request, purpose }: Pick<SentRequest, 'request' | 'purpose'>,
    { server, state, source, changedAfterMs }: Departure,
    nowMs: number,
  ): LogFields {
    const { build } = this.#options;
    const changedWithinMs = ageField(nowMs - changedAfterMs);
    return { request, server: server.id, build, purpose, state, source, changedWithinMs };
  }
}
