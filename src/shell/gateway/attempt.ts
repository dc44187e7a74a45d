/**
 * One sending of a request to one server: the call, the check that the answer is this request's,
 * and what was seen of the server.
 */
import type {
  EngineTraits,
  ReachabilityNotice,
  ReadNotice,
  ServerHealth,
  ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { withoutConnectionHeaders } from '../http/headers.js';
import type { AdmissionGate } from './admission-gate.js';
import { type BackendAnswer, CONNECT_TIMEOUT_MS } from './backend-connections.js';
import type { CrashGuard } from './crash-guard.js';
import type { Exchange } from './exchange.js';
import type { FleetView } from './fleet-view.js';
import type { LimitCoordinator } from './limit-coordinator.js';
import type { HandoverSource, RequestCodec } from './ports.js';
import type { HeldBack, ServerCalls } from './server-calls.js';
import type { WebWork } from './web-work.js';

const FIRST_SERVER_ERROR = 500;
/** Callers that were refused come back over this part of their wait more. */
const RETRY_SPREAD = 0.5;
const NO_BUDGET_REASON = 'the retry budget is spent';

/** What attempts need. */
export interface AttemptContext {
  readonly fleet: FleetView;
  readonly calls: Pick<ServerCalls, 'call'>;
  /** Permits to send to servers that name a limit. */
  readonly limits: Pick<
    LimitCoordinator,
    | 'recordArrival'
    | 'requestPermits'
    | 'waitForPermit'
    | 'reservePermit'
    | 'isUsable'
    | 'returnPermits'
  >;
  readonly codec: RequestCodec;
  /** Whether what other daemons have sent unseen counts in a choice. */
  readonly isSpreading: boolean;
  /** Where requests wait for room at servers. */
  readonly admission: Pick<AdmissionGate, 'isOn' | 'admit' | 'waitingIn' | 'wake'>;
  /** To be called when work on a long prompt begins or ends. */
  readonly onLoadChange: () => void;
  /** To be called when a shared part begins to be read, so that no other daemon has it read again. */
  readonly advertiseRead: (read: ReadNotice) => void;
  /** To be called when a server does not answer a connection, or does so again. */
  readonly advertiseReachability: (reach: Omit<ReachabilityNotice, 'by'>) => void;
  /** What is known of requests that end servers. */
  readonly crashes: Pick<
    CrashGuard,
    | 'isQuarantined'
    | 'isReadyToServe'
    | 'recordBrokenRun'
    | 'recordCompleteRun'
    | 'refuseIfQuarantined'
    | 'whenChecked'
  >;
  /** To be called when a request began to run at a server, so long ago. */
  readonly recordRunStart: (exchange: Exchange, agoMs: number) => void;
  /** Calls to web servers, and what they say of their load. */
  readonly webWork: Pick<WebWork, 'recordCall' | 'loadsOf' | 'applyReportedLoad'>;
  /** Where this daemon stands. */
  readonly zone: string;
}

/** What varies from one attempt to the next. */
export interface AttemptOptions {
  readonly server: ServerRecord;
  readonly mayKeepConnection: boolean;
  readonly priority: number | undefined;
  readonly prefillOnly: boolean;
  readonly handoverSource: HandoverSource | undefined;
  readonly fetchFrom: string | undefined;
  readonly resumeAfterEventId: string | undefined;
  /** When the head of the answer is expected; 0 where nothing is known of that. */
  readonly expectedMs: number;
  /** A permit was taken for it before, where its server names a limit. */
  readonly hasPermit: boolean;
  readonly signal: AbortSignal;
}

/** How an attempt went until the head of an answer. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly attempt: AnsweredAttempt }
  /** The server had no part in it. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly connectTimedOut: boolean }
  /** It would be a repeat, and the budget has no room for one; no server is worth another try. */
  | { readonly kind: 'no-budget'; readonly reason: string }
  /** Its server wants nothing: it was not sent. */
  | { readonly kind: 'held-back'; readonly reason: string }
  /** The server says that it has not run it. */
  | { readonly kind: 'not-executed'; readonly status: number }
  /** It may have run; there is no answer. */
  | { readonly kind: 'broken'; readonly reason: string };

type FailedCall = Exclude<AttemptResult, { kind: 'answered' | 'no-budget' | 'held-back' }>;

type CallResult =
  | FailedCall
  | HeldBack
  | { readonly kind: 'answered'; readonly attempt: Omit<AnsweredAttempt, 'recordPrefilled'> };

/** An attempt whose answer has begun. */
export interface AnsweredAttempt {
  readonly server: ServerRecord;
  readonly answer: BackendAnswer;
  readonly isStamped: boolean;
  /** Call when the body has ended well or not. */
  readonly end: (outcome: AnswerOutcome) => void;
  /** Call when the prompt was read and did not run. */
  readonly recordPrefilled: () => void;
}

/** Options that are the same for most attempts. */
export function defaultAttemptOptions(server: ServerRecord, signal: AbortSignal): AttemptOptions {
  return {
    server,
    mayKeepConnection: false,
    priority: undefined,
    prefillOnly: false,
    handoverSource: undefined,
    fetchFrom: undefined,
    resumeAfterEventId: undefined,
    expectedMs: 0,
    hasPermit: false,
    signal,
  };
}

/** Sends a request to a server and waits for the head of its answer. */
export async function sendAttempt(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const budget = context.fleet.budgetOf(exchange.options.service);
  const send = exchange.sends.tryBegin(options.prefillOnly ? 'prefill' : 'run', budget);
  if (send === undefined) return { kind: 'no-budget', reason: NO_BUDGET_REASON };
  const result = await callServer(exchange, context, options);
  const wasSent = result.kind !== 'not-sent' && result.kind !== 'held-back';
  if (!wasSent) exchange.sends.end(send, 'not-sent', budget);
  if (result.kind !== 'answered') return result;
  const { attempt } = result;
  const noteRead = () => exchange.sends.end(send, 'read', budget);
  return { kind: 'answered', attempt: { ...attempt, recordPrefilled: noteRead } };
}

async function callServer(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
): Promise<CallResult> {
  const { request, body, timers, description, metrics } = exchange.options;
  const health = context.fleet.healthOf(options.server.id);
  const startedAtMs = timers.nowMs();
  const open = health.open(startedAtMs, options.expectedMs);
  const isWebCall = options.server.stage === undefined;
  const noteWebCall = () => {
    if (isWebCall) context.webWork.recordCall(options.server.service);
  };
  const close = () => {
    health.close(open);
    noteWebCall();
  };
  noteWebCall();
  const headers = context.codec.backendHeaders(withoutConnectionHeaders(request.rawHeaders), {
    serverId: options.server.id,
    deadlineMs: Math.max(1, Math.floor(exchange.remainingMs())),
    tenant: exchange.options.tenant?.name,
    priority: options.priority,
    prefillOnly: options.prefillOnly,
    handoverSource: options.handoverSource,
    fetchFrom: options.fetchFrom,
    resumeAfterEventId: options.resumeAfterEventId,
  });
  const hasBody = body.length > 0 || request.headers['content-length'] !== undefined;
  if (hasBody || request.headers['transfer-encoding'] !== undefined) {
    headers.push('Content-Length', String(body.length));
  }
  const result = await context.calls.call({
    server: options.server,
    purpose: options.prefillOnly ? 'prefill' : 'run',
    request: description.attemptId,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers,
    body,
    mayKeepConnection: options.mayKeepConnection,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    hasPermit: options.hasPermit,
    signal: options.signal,
  });
  const elapsedMs = () => timers.nowMs() - startedAtMs;
  const failed = (failure: FailedCall): FailedCall => {
    close();
    if (!options.signal.aborted) {
      noteFailure(exchange, context, options, { failure, health, elapsedMs: elapsedMs() });
    }
    return failure;
  };
  if (result.kind === 'held-back') {
    close();
    return result;
  }
  if (result.kind !== 'answered') return failed(result);
  const { answer } = result;
  if (health.recordReached()) {
    context.advertiseReachability({ serverId: options.server.id, isReachable: true });
  }
  const marks = context.codec.readAnswerMetadata(answer.status, answer.message.headers);
  if (isWebCall && marks.load !== undefined)
    context.webWork.applyReportedLoad(options.server, marks.load);
  if (marks.isNotExecuted) {
    answer.message.resume();
    return failed({ kind: 'not-executed', status: answer.status });
  }
  if (marks.attemptId !== description.attemptId) {
    answer.destroy();
    return failed({ kind: 'broken', reason: "another request's answer" });
  }
  const end = (outcome: AnswerOutcome) => {
    switch (outcome.kind) {
      case 'bad':
        failed({ kind: 'broken', reason: outcome.reason });
        break;
      case 'good':
        close();
        health.recordSuccess(elapsedMs());
        if (!options.prefillOnly) context.crashes.recordCompleteRun(exchange);
        break;
      case 'server-error':
        close();
        health.recordServerError();
        metrics.recordAttempt('server-error');
        break;
    }
  };
  const attempt = { server: options.server, answer, isStamped: marks.isStamped, end: once(end) };
  return { kind: 'answered', attempt };
}

/** Whether it is certain that a server has not run it. */
export function hasNotRun(result: Pick<AttemptResult, 'kind'>): boolean {
  switch (result.kind) {
    case 'not-sent':
    case 'no-budget':
    case 'held-back':
    case 'not-executed':
      return true;
    case 'answered':
    case 'broken':
      return false;
  }
}

/** How the body of a server's answer ended, and what that says of the server. */
export type AnswerOutcome =
  | { readonly kind: 'good' }
  /** A whole answer that tells a failure of the server's own. */
  | { readonly kind: 'server-error' }
  /** It broke off, or is no answer. */
  | { readonly kind: 'bad'; readonly reason: string };

/** Statuses that promise a caller that its request has not run; a server that ran it may send them. */
export function statusImpliesNotExecuted(status: number): boolean {
  return status === 408 || status === 421 || status === 429 || status === 503;
}

/** What a whole answer of this status says of its server. */
export function completeAnswerOutcome(status: number): AnswerOutcome {
  return status >= FIRST_SERVER_ERROR ? { kind: 'server-error' } : { kind: 'good' };
}

function once(callback: (outcome: AnswerOutcome) => void): (outcome: AnswerOutcome) => void {
  let isCalled = false;
  return (outcome) => {
    if (isCalled) return;
    isCalled = true;
    callback(outcome);
  };
}

/** A call that came to nothing. */
interface NotedFailure {
  readonly failure: FailedCall;
  /** Of the life that it was sent to; the server may have started again since. */
  readonly health: ServerHealth;
  readonly elapsedMs: number;
}

function noteFailure(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
  { failure, health, elapsedMs }: NotedFailure,
): void {
  const { log, metrics, description, timers } = exchange.options;
  if (failure.kind === 'not-executed') health.recordRefusal(timers.nowMs());
  else if (failure.kind === 'not-sent' && failure.connectTimedOut) {
    health.recordConnectUnanswered(timers.nowMs());
    if (!context.fleet.directory.isSuperseded(options.server)) {
      context.advertiseReachability({ serverId: options.server.id, isReachable: false });
    }
  } else health.recordBroken(timers.nowMs());
  if (failure.kind === 'broken') {
    context.crashes.recordBrokenRun(exchange, options.server, elapsedMs);
  }
  metrics.recordAttempt(failure.kind);
  log.write(GATEWAY_EVENTS.attemptFailed, {
    request: description.attemptId,
    server: options.server.id,
    zone: options.server.zone,
    step: options.prefillOnly ? 'prefill' : 'run',
    result: failure.kind,
    reason: 'reason' in failure ? failure.reason : '',
    status: 'status' in failure ? failure.status : 0,
    elapsedMs: Math.round(elapsedMs),
    failureRate: Math.round(health.failureRate * 100) / 100,
  });
}

/** The traits of an exchange's service where it has engines. */
export function engineTraits(exchange: Exchange): EngineTraits | undefined {
  return exchange.options.configuration.services.get(exchange.options.service)?.engine;
}

/** Refuses what no server takes, with what speaks against the servers there are. */
export function refuseUnavailable(
  exchange: Exchange,
  context: AttemptContext,
  reason: string,
): void {
  const { service, timers } = exchange.options;
  const nowMs = timers.nowMs();
  const { leaving, resting } = context.fleet.unavailableOf(service, nowMs);
  const atLimit = context.fleet.serversAtLimit(service, nowMs).length;
  exchange.refuse(reason, retryAfterMs(exchange, context), { leaving, resting, atLimit });
}

/** When a refused caller may come back: when a server that is passed over now is tried again. */
function retryAfterMs(exchange: Exchange, { fleet }: AttemptContext): number {
  const { service, route, timers } = exchange.options;
  const expectedMs = fleet.capacityExpectedInMs(service, timers.nowMs());
  const waitMs = expectedMs ?? route.targetLatencyMs;
  // Spread, so that those who were refused together do not come back together.
  return waitMs * (1 + RETRY_SPREAD * Math.random());
}
