/**
 * One attempt of a request at one server: makes the call, checks that the answer belongs to this request, and records
 * the outcome in the server's health.
 */
import {
  type AnswerOrigin,
  CONNECT_TIMEOUT_MS,
  type EngineTraits,
  type ReadNotice,
  type ServerHealth,
  type ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { encodeHeaderText } from '../http/header-text.js';
import { withoutConnectionHeaders } from '../http/headers.js';
import type { AdmissionGate } from './admission-gate.js';
import type { AnswerOutcome } from './answer-outcome.js';
import type { BackendAnswer } from './backend-answer.js';
import type { CrashGuard } from './crash-guard.js';
import type { Exchange } from './exchange.js';
import type { FleetView } from './fleet-view.js';
import { INTERNAL_FAULT_REASON, logFault } from './internal-faults.js';
import type { LimitCoordinator } from './limit-coordinator.js';
import type { AnswerMetadata, HandoverSource, RequestCodec } from './ports.js';
import type { HeldBack, ServerCalls } from './server-calls.js';
import type { StreamContinuity } from './stream-continuity.js';
import type { StreamWaits } from './stream-waits.js';
import type { WebWork } from './web-work.js';

const NO_BUDGET_REASON = 'the retry budget is spent';

/** The parts of the gateway that attempts use. */
export interface AttemptContext {
  readonly fleet: FleetView;
  readonly calls: Pick<ServerCalls, 'call'>;
  /** Permits to send to servers that report a limit. */
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
  /** Whether the choice of a server allows for requests that other daemons sent but have not reported yet. */
  readonly isSpreading: boolean;
  /** Admits, holds or refuses requests by the free capacity of the servers. */
  readonly admission: Pick<AdmissionGate, 'isOn' | 'admit' | 'waitingInLane' | 'wake'>;
  /** Forwards requests to another daemon while this one is cut off from the servers of their service. */
  readonly forwarding: RequestForwarding;
  /** Called when the prefill of a long prompt begins or ends. */
  readonly onLoadChange: () => void;
  /** Called when the prefill of a shared prompt part begins, so that other daemons do not start the same prefill. */
  readonly advertiseRead: (read: ReadNotice) => void;
  /** Called when connecting to a server timed out. */
  readonly advertiseUnreachable: (server: ServerRecord) => void;
  /** Called when a server that had not answered does so again. */
  readonly advertiseReachable: (server: ServerRecord) => void;
  /** Finds and quarantines requests that make servers crash. */
  readonly crashes: Pick<
    CrashGuard,
    | 'follow'
    | 'isQuarantined'
    | 'isReadyToServe'
    | 'recordBrokenRun'
    | 'recordCompleteRun'
    | 'recordFirstEvent'
    | 'refuseIfQuarantined'
    | 'whenChecked'
  >;
  /** Whether a server may have exited without a drain as it closed a connection. */
  readonly mayHaveCrashed: (server: ServerRecord) => Promise<boolean>;
  /** Called when a request began to run at a server `agoMs` ago. */
  readonly recordRunStart: (exchange: Exchange, agoMs: number) => void;
  /** Counts calls to web servers and takes in the load that they report. */
  readonly webWork: Pick<WebWork, 'recordCall' | 'loadsOf' | 'applyReportedLoad'>;
  /** Keeps streams at the software version that they began at. */
  readonly streams: Pick<StreamContinuity, 'recordFirstEvent' | 'decideResumption'>;
  /** Holds streams for which an engine is expected. */
  readonly streamWaits: Pick<StreamWaits, 'wait'>;
  /** The zone of this daemon. */
  readonly zone: string;
}

/** Forwards requests to other daemons. */
export interface RequestForwarding {
  /** Whether a request has to go to another daemon. */
  isNeeded(exchange: Exchange): boolean;
  /** Runs a request to its final answer at another daemon, or refuses it. */
  run(exchange: Exchange, context: AttemptContext): Promise<void>;
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
  /** Expected time until the response headers; 0 where unknown. */
  readonly expectedMs: number;
  /** Whether a permit was already taken for this attempt, where the server reports a limit. */
  readonly hasPermit: boolean;
  readonly signal: AbortSignal;
  /**
   * Receives an answer other than a rejection that arrives after the attempt was aborted; it has to be read to its end or
   * destroyed. Where this is undefined, it is destroyed.
   */
  readonly onLateAnswer?: (answer: BackendAnswer) => void;
}

/** The result of an attempt up to the response headers. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly attempt: AnsweredAttempt }
  /** No byte of the request can have reached the server. */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly connectTimedOut: boolean }
  /** The attempt would be a retry and the retry budget is used up, so other servers are not tried either. */
  | { readonly kind: 'no-budget'; readonly reason: string }
  /** Not sent, as the server is no longer listed as ready, is leaving, backing off or at its limit. */
  | { readonly kind: 'held-back'; readonly reason: string }
  /** The server's answer states that it did not run the request. */
  | { readonly kind: 'not-executed'; readonly status: number; readonly origin: AnswerOrigin }
  /** The request may have run, but there is no usable answer; `origin` where an answer came. */
  | { readonly kind: 'broken'; readonly reason: string; readonly origin?: AnswerOrigin };

type FailedCall = Exclude<AttemptResult, { kind: 'answered' | 'no-budget' | 'held-back' }>;

type CallResult =
  | FailedCall
  | HeldBack
  | { readonly kind: 'answered'; readonly attempt: Omit<AnsweredAttempt, 'recordPrefilled'> };

/** An attempt whose response headers have arrived. */
export interface AnsweredAttempt {
  readonly server: ServerRecord;
  readonly answer: BackendAnswer;
  readonly isStamped: boolean;
  /** Call when the body has ended, with its outcome. */
  readonly end: (outcome: AnswerOutcome) => void;
  /** Call when a prefill-only attempt has succeeded; a request's first prefill takes nothing from the retry budget. */
  readonly recordPrefilled: () => void;
}

/** Attempt options with the usual defaults. */
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

/** Sends a request to a server and waits for the response headers. */
export async function sendAttempt(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const budget = context.fleet.budgetOf(exchange.options.service);
  const send = exchange.sends.tryBegin(options.prefillOnly ? 'prefill' : 'run', budget);
  if (send === undefined) return { kind: 'no-budget', reason: NO_BUDGET_REASON };
  const { id: serverId } = options.server;
  const endCall = exchange.progress.begin(options.prefillOnly ? 'prefilling' : 'sent', serverId);
  const result = await callServerSafely(exchange, context, options);
  endCall();
  exchange.recordSend({
    serverId,
    step: send.step,
    result: result.kind,
    origin: originOf(result, context),
  });
  if (options.prefillOnly && !hasNotRun(result)) exchange.recordPrefill();
  const wasSent = result.kind !== 'not-sent' && result.kind !== 'held-back';
  if (!wasSent) exchange.sends.end(send, 'not-sent', budget);
  if (result.kind !== 'answered') return result;
  const { attempt } = result;
  const recordPrefilled = () => exchange.sends.end(send, 'read', budget);
  const endAnswer = exchange.progress.begin(
    options.prefillOnly ? 'prefilling' : 'receiving-answer',
    serverId,
  );
  const end = (outcome: AnswerOutcome) => {
    endAnswer();
    attempt.end(outcome);
  };
  return { kind: 'answered', attempt: { ...attempt, end, recordPrefilled } };
}

/** Where the answer of a call came from; undefined if there was none. */
function originOf(result: CallResult, { codec }: AttemptContext): AnswerOrigin | undefined {
  switch (result.kind) {
    case 'answered':
      return answerOrigin(result.attempt.answer, codec);
    case 'not-executed':
    case 'broken':
      return result.origin;
    case 'not-sent':
    case 'held-back':
      return undefined;
  }
}

function answerOrigin(answer: BackendAnswer, codec: RequestCodec): AnswerOrigin {
  const { attemptId } = codec.readAnswerMetadata(answer.status, answer.message.headers);
  return { requestId: attemptId, isReusedConnection: answer.isReusedConnection };
}

/** An exception counts as a broken attempt, so that everything held for the attempt is given back in the usual way. */
async function callServerSafely(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
): Promise<CallResult> {
  const { description, log } = exchange.options;
  try {
    return await callServer(exchange, context, options);
  } catch (exception) {
    const request = description.attemptId;
    logFault(log, { task: 'attempt', request, server: options.server.id }, exception);
    return { kind: 'broken', reason: INTERNAL_FAULT_REASON };
  }
}

async function callServer(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
): Promise<CallResult> {
  const { request, body, timers, description, metrics, log, tenant } = exchange.options;
  const headers = context.codec.backendHeaders(withoutConnectionHeaders(request.rawHeaders), {
    serverId: options.server.id,
    deadlineMs: Math.max(1, Math.floor(exchange.remainingMs())),
    tenant: tenant === undefined ? undefined : encodeHeaderText(tenant.name),
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
  const health = context.fleet.healthOf(options.server.id);
  const startedAtMs = timers.nowMs();
  const open = health.open(startedAtMs, options.expectedMs);
  const isWebCall = options.server.stage === undefined;
  const recordWebCall = () => {
    if (isWebCall) context.webWork.recordCall(options.server.service);
  };
  const close = () => {
    health.close(open);
    recordWebCall();
  };
  recordWebCall();
  // All answers to a request carry its id, so a surplus one to an earlier send passes for the answer to this one. It can
  // only arrive on the connection of that send.
  const isFirstSend = exchange.recordSendTo(options.server.address);
  const call = context.calls.call({
    server: options.server,
    purpose: options.prefillOnly ? 'prefill' : 'run',
    request: description.attemptId,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers,
    body,
    mayKeepConnection: options.mayKeepConnection && isFirstSend,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    hasPermit: options.hasPermit,
    continuesStream: exchange.streamOrigin !== undefined,
    signal: options.signal,
    onLateAnswer: (answer) => receiveLateAnswer(answer),
  });
  const result = await call.catch((exception: unknown) => {
    close();
    throw exception;
  });
  const elapsedMs = () => timers.nowMs() - startedAtMs;
  const record = (failure: FailedCall): FailedCall => {
    recordFailure(exchange, context, options, { failure, health, elapsedMs: elapsedMs() });
    return failure;
  };
  const readHead = ({ status, message }: BackendAnswer): AnswerMetadata => {
    health.recordHeard(timers.nowMs());
    if (health.recordReached()) {
      context.advertiseReachable(options.server);
    }
    const marks = context.codec.readAnswerMetadata(status, message.headers);
    if (isWebCall && marks.load !== undefined) {
      context.webWork.applyReportedLoad(options.server, marks.load);
    }
    return marks;
  };
  const reject = (answer: BackendAnswer): FailedCall => {
    answer.discard();
    const origin = answerOrigin(answer, context.codec);
    return record({ kind: 'not-executed', status: answer.status, origin });
  };
  const receiveLateAnswer = (answer: BackendAnswer): void => {
    const marks = readHead(answer);
    if (marks.isNotExecuted) reject(answer);
    else if (options.onLateAnswer !== undefined) options.onLateAnswer(answer);
    else answer.destroy();
  };
  // An engine may read a long prompt in silence, so only web servers are expected to send something in time.
  const recordGivenUp = () => {
    if (!isWebCall || !health.recordGivenUp(open, timers.nowMs())) return;
    log.write(GATEWAY_EVENTS.serverSilent, {
      request: description.attemptId,
      server: options.server.id,
      service: options.server.service,
      elapsedMs: Math.round(elapsedMs()),
    });
  };
  // An attempt that this daemon aborted tells nothing of its server, unless the server has answered or was overdue.
  const breakOff = (failure: FailedCall): FailedCall => {
    close();
    if (!options.signal.aborted) return record(failure);
    recordGivenUp();
    return failure;
  };
  if (result.kind === 'held-back') {
    close();
    return result;
  }
  if (result.kind !== 'answered') return breakOff(result);
  const { answer } = result;
  const marks = readHead(answer);
  if (marks.isNotExecuted) {
    close();
    return reject(answer);
  }
  const end = (outcome: AnswerOutcome) => {
    switch (outcome.kind) {
      case 'bad':
        breakOff({ kind: 'broken', reason: outcome.reason });
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
      case 'not-held': {
        close();
        const failure: FailedCall = { kind: 'broken', reason: outcome.reason };
        logFailure(exchange, options, { failure, health, elapsedMs: elapsedMs() });
        break;
      }
    }
  };
  const attempt = { server: options.server, answer, isStamped: marks.isStamped, end: once(end) };
  return { kind: 'answered', attempt };
}

/** Whether it is certain that the server did not run the request. */
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

function once(callback: (outcome: AnswerOutcome) => void): (outcome: AnswerOutcome) => void {
  let isCalled = false;
  return (outcome) => {
    if (isCalled) return;
    isCalled = true;
    callback(outcome);
  };
}

/** A failed attempt. */
interface FailureDetails {
  readonly failure: FailedCall;
  /** The health of the boot that the request was sent to; the server may have restarted since. */
  readonly health: ServerHealth;
  readonly elapsedMs: number;
}

function recordFailure(
  exchange: Exchange,
  context: AttemptContext,
  options: AttemptOptions,
  { failure, health, elapsedMs }: FailureDetails,
): void {
  const { timers } = exchange.options;
  if (failure.kind === 'not-executed') health.recordRefusal(timers.nowMs());
  else if (failure.kind === 'not-sent' && failure.connectTimedOut) {
    health.recordConnectUnanswered(timers.nowMs());
    if (!context.fleet.directory.isSuperseded(options.server)) {
      context.advertiseUnreachable(options.server);
    }
  } else health.recordBroken(timers.nowMs());
  if (failure.kind === 'broken') {
    context.crashes.recordBrokenRun(exchange, options.server, elapsedMs);
  }
  logFailure(exchange, options, { failure, health, elapsedMs });
}

function logFailure(
  exchange: Exchange,
  options: AttemptOptions,
  { failure, health, elapsedMs }: FailureDetails,
): void {
  const { log, metrics, description } = exchange.options;
  metrics.recordAttempt(failure.kind);
  log.write(GATEWAY_EVENTS.attemptFailed, {
    request: description.attemptId,
    server: options.server.id,
    zone: options.server.zone,
    step: options.prefillOnly ? 'prefill' : 'run',
    result: failure.kind,
    reason: 'reason' in failure ? failure.reason : '',
    status: 'status' in failure ? failure.status : 0,
    answerId: ('origin' in failure ? failure.origin?.requestId : undefined) ?? '',
    isReusedConnection: 'origin' in failure ? failure.origin?.isReusedConnection === true : false,
    elapsedMs: Math.round(elapsedMs),
    failureRate: Math.round(health.failureRate * 100) / 100,
  });
}

/** The engine traits of the exchange's service; undefined for a service without engines. */
export function engineTraits(exchange: Exchange): EngineTraits | undefined {
  return exchange.options.configuration.services.get(exchange.options.service)?.engine;
}
