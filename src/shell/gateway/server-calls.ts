/**
 * Calls to listed servers: every call of this daemon to a server goes through here, whatever its purpose. This records
 * what the answers report of the server's availability and limit, and holds back calls to a server that has reported
 * that it accepts none.
 */
import {
  type AnswerOrigin,
  type LimitChange,
  type LimitReading,
  lateAnswerWaitMs,
  type NotListed,
  type ReportedLimit,
  type SendAvailability,
  type ServerRecord,
  type TrackedCall,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { BackendAnswer } from './backend-answer.js';
import type { BackendCall, BackendConnections, CallResult } from './backend-connections.js';
import type { DepartureReports } from './departure-reports.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { ServicePathMonitor } from './service-path-monitor.js';
import type { StallMonitor } from './stall-monitor.js';
import type { TimerService, WallClock } from './timer-service.js';

/** Minimum interval between log lines on unreadable headers, as a faulty server sends them with every answer. */
const LOG_INTERVAL_MS = 10_000;

/** The purpose of a call. */
export type CallPurpose =
  | 'run'
  | 'prefill'
  | 'free-memory'
  | 'cache-news'
  | 'report'
  | 'order'
  | 'health';

/** One call to a server. */
export interface ServerCall extends Omit<BackendCall, 'address' | 'onConnected' | 'lateAnswer'> {
  readonly server: ServerRecord;
  readonly purpose: CallPurpose;
  /** The id of the attempt that the call is part of; empty for the daemon's own calls. */
  readonly request: string;
  /** Whether a permit was already taken for the call, where its server reports a limit. */
  readonly hasPermit?: boolean;
  /** Whether the call takes up a stream that has begun, which is possible for a while at a server that drains. */
  readonly continuesStream?: boolean;
  /**
   * Receives an answer that arrives after the call was aborted, once its reports are recorded. It has to be read to its
   * end or destroyed; where this is undefined, it is destroyed.
   */
  readonly onLateAnswer?: (answer: BackendAnswer) => void;
}

/** The call was not made, as its server accepts none at present. */
export interface HeldBack {
  readonly kind: 'held-back';
  readonly reason: string;
}

/** The result of a call; `origin` tells whose answer was discarded. */
export type ServerCallResult =
  | CallResult
  | HeldBack
  | { readonly kind: 'broken'; readonly reason: string; readonly origin: AnswerOrigin };

/** Dependencies of the calls. */
export interface ServerCallsOptions {
  readonly connections: Pick<BackendConnections, 'call'>;
  readonly fleet: Pick<
    FleetView,
    'availability' | 'availabilityOf' | 'departures' | 'limits' | 'permits' | 'recentSends'
  >;
  readonly stalls: Pick<StallMonitor, 'whenCurrent'>;
  readonly reports: Pick<DepartureReports, 'recordSent' | 'recordResult' | 'recordLateAnswer'>;
  /** Called when an answer changed the known limit of its server. */
  readonly onLimitChange: (server: ServerRecord, change: LimitChange, purpose: CallPurpose) => void;
  readonly paths: Pick<ServicePathMonitor, 'recordConnected' | 'recordFailure'>;
  readonly codec: Pick<RequestCodec, 'readAnswerMetadata' | 'readAvailability' | 'readLimit'>;
  readonly timers: TimerService;
  /** The time of day, in which servers' start times are given. */
  readonly wallClock: WallClock;
  readonly metrics: Pick<
    GatewayMetrics,
    'recordReportedAvailability' | 'recordHeldBack' | 'recordCallToLimited'
  >;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Calls servers and records the availability and limits that they report. */
export class ServerCalls {
  readonly #options: ServerCallsOptions;
  #unreadable = 0;
  #unreadableLoggedMs = Number.NEGATIVE_INFINITY;

  constructor(options: ServerCallsOptions) {
    this.#options = options;
  }

  async call(call: ServerCall): Promise<ServerCallResult> {
    const { connections, paths, reports, stalls, timers } = this.#options;
    // A daemon that stood still may not have read yet that the server departs.
    const recovery = isForCaller(call.purpose) ? stalls.whenCurrent() : undefined;
    if (recovery !== undefined) await recovery;
    const { server, purpose, request, hasPermit, continuesStream, onLateAnswer, ...sent } = call;
    const sentAtMs = timers.nowMs();
    const heldBack = this.#holdBack(call, sentAtMs);
    if (heldBack !== undefined) return heldBack;
    const tracked = isForCaller(purpose) ? this.#recordSent(call, sentAtMs) : undefined;
    const lateAnswer = {
      waitMs: () => lateAnswerWaitMs(timers.nowMs() - sentAtMs),
      onAnswer: (answer: BackendAnswer) => {
        if (!isAnswerTo(call, this.#originOf(answer))) return answer.destroy();
        if (tracked !== undefined) reports.recordLateAnswer(tracked);
        this.#recordReports(call, sentAtMs, answer);
        if (onLateAnswer === undefined) answer.destroy();
        else onLateAnswer(answer);
      },
    };
    const result = await connections.call({
      ...sent,
      address: server.address,
      onConnected: () => paths.recordConnected(server),
      lateAnswer,
    });
    if (tracked !== undefined) reports.recordResult(tracked, result, call.signal.aborted);
    const isUnconnected =
      result.kind === 'not-sent' && result.isUnsendable !== true && !call.signal.aborted;
    if (isUnconnected) paths.recordFailure(server, result.reason);
    if (result.kind !== 'answered') return result;
    const origin = this.#originOf(result.answer);
    if (!isAnswerTo(call, origin)) {
      result.answer.destroy();
      return { kind: 'broken', reason: "another request's answer", origin };
    }
    this.#recordReports(call, sentAtMs, result.answer);
    return result;
  }

  #originOf({ status, message, isReusedConnection }: BackendAnswer): AnswerOrigin {
    const { attemptId } = this.#options.codec.readAnswerMetadata(status, message.headers);
    return { requestId: attemptId, isReusedConnection };
  }

  /** Rechecks the server right before the call, as the list or the server may have changed after it was chosen. */
  #holdBack(call: ServerCall, nowMs: number): HeldBack | undefined {
    const { server, purpose, request } = call;
    const { fleet, log, metrics } = this.#options;
    // A leaving server still accepts calls that bring no new work; a server that backs off accepts no calls at all.
    const refusal = isForCaller(purpose)
      ? this.#refusalOfWork(call, nowMs)
      : fleet.availability.backOffOf(server, nowMs);
    if (refusal === undefined || refusal.kind === 'open') return undefined;
    const { kind: why, toldAgoMs } = refusal;
    metrics.recordHeldBack(why);
    const fields = { request, server: server.id, purpose, why, toldAgoMs: Math.round(toldAgoMs) };
    log.write(GATEWAY_EVENTS.callHeldBack, fields);
    return { kind: 'held-back', reason: `the server is ${why}` };
  }

  #refusalOfWork(call: ServerCall, nowMs: number): NotListed | SendAvailability {
    const { server, hasPermit = false, continuesStream = false } = call;
    const { fleet } = this.#options;
    const notListed = fleet.departures.refusalOf(server, continuesStream);
    if (notListed !== undefined) return notListed;
    return hasPermit ? fleet.availability.of(server, nowMs) : fleet.availabilityOf(server, nowMs);
  }

  #recordSent(call: ServerCall, sentAtMs: number): TrackedCall {
    const { fleet, reports } = this.#options;
    fleet.availability.recordSent(call.server, sentAtMs);
    this.#recordSentToLimited(call, sentAtMs);
    return reports.recordSent(call);
  }

  #recordSentToLimited({ server, hasPermit = false }: ServerCall, sentAtMs: number): void {
    const { fleet, metrics } = this.#options;
    if (fleet.limits.of(server.id) === undefined) {
      fleet.recentSends.record(server.id, sentAtMs);
      return;
    }
    // `#holdBack` has just checked that a permit is available.
    if (!hasPermit) fleet.permits.take(server.id, sentAtMs);
    metrics.recordCallToLimited();
  }

  #recordReports(call: ServerCall, sentAtMs: number, answer: BackendAnswer): void {
    const { server, purpose, request, signal } = call;
    const { status, message } = answer;
    const { codec, fleet, timers, log, metrics, wallClock } = this.#options;
    this.#recordLimit(call, sentAtMs, answer);
    const reported = codec.readAvailability(status, message.headers);
    if (reported?.backOffMs === undefined && isForCaller(purpose)) {
      fleet.availability.recordAccepted(server, sentAtMs);
    }
    if (reported === undefined) return;
    if (reported.unreadable !== '') this.#logUnreadable(server.id, reported.unreadable);
    const reportedAt = { nowMs: timers.nowMs(), unixMs: wallClock(), entropy: Math.random() };
    for (const update of fleet.availability.recordReport(server, reported, reportedAt)) {
      const fields = {
        request,
        server: server.id,
        service: server.service,
        purpose,
        status,
        isLate: signal.aborted,
      };
      metrics.recordReportedAvailability(update.kind);
      switch (update.kind) {
        case 'leaving':
          log.write(GATEWAY_EVENTS.serverSaidLeaving, { ...fields, listed: server.state });
          break;
        case 'resting':
          log.write(GATEWAY_EVENTS.serverAskedForRest, {
            ...fields,
            restMs: Math.round(update.forMs),
          });
          break;
      }
    }
  }

  #recordLimit(call: ServerCall, sentAtMs: number, { status, message }: BackendAnswer): void {
    const { codec, fleet, timers, onLimitChange } = this.#options;
    const { server, purpose } = call;
    const reading = codec.readLimit(status, message.headers);
    if (reading.kind === 'unreadable') this.#logUnreadable(server.id, `limit: ${reading.text}`);
    if (!isReliable(reading, call)) return;
    const times = { sentAtMs, nowMs: timers.nowMs() };
    const change = fleet.limits.recordReport(server, reading, times);
    if (change !== undefined) onLimitChange(server, change, purpose);
  }

  #logUnreadable(server: string, told: string): void {
    const { timers, log, metrics } = this.#options;
    this.#unreadable += 1;
    metrics.recordReportedAvailability('unreadable');
    const nowMs = timers.nowMs();
    if (nowMs - this.#unreadableLoggedMs < LOG_INTERVAL_MS) return;
    this.#unreadableLoggedMs = nowMs;
    const fields = { server, told, unreadable: this.#unreadable };
    log.write(GATEWAY_EVENTS.toldAvailabilityUnreadable, fields);
  }
}

/**
 * Whether an answer belongs to this call. A faulty server may answer a request twice, and the second answer then arrives
 * in the place of the next one on its connection. The daemon's own calls carry no request id, so neither do their answers.
 */
function isAnswerTo({ purpose, request }: ServerCall, { requestId }: AnswerOrigin): boolean {
  if (isForCaller(purpose)) return requestId === request;
  return requestId === undefined || requestId === '';
}

/** Whether a reading may be recorded. The absence of a limit counts only from the answer to a caller's request. */
function isReliable(
  reading: LimitReading,
  { purpose, request }: ServerCall,
): reading is ReportedLimit {
  switch (reading.kind) {
    case 'named':
      return true;
    case 'none':
      return isForCaller(purpose) && reading.attemptId === request;
    case 'unreadable':
    case 'unknown':
      return false;
  }
}

/** Whether a call runs a caller's request; a leaving server accepts no more of those. */
function isForCaller(purpose: CallPurpose): boolean {
  switch (purpose) {
    case 'run':
    case 'prefill':
      return true;
    case 'free-memory':
    case 'cache-news':
    case 'report':
    case 'order':
    case 'health':
      return false;
  }
}
