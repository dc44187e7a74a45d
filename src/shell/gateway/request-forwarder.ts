/**
 * Forwards requests to another daemon while this one is cut off from the servers of their service. The other daemon runs
 * the request as its own, with its own permits, tenants, usage and retries, and never forwards it again; this one only
 * relays the answer. A request is forwarded only if no server can have run it, over a connection of its own, and to a
 * further daemon only if the one before did not take it, so that it runs at most once over both hops.
 */
import {
  type DurationEstimate,
  ForwardingPeers,
  type PeerDaemon,
  type PeerRoster,
  UNKNOWN_DURATION,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { withoutConnectionHeaders } from '../http/headers.js';
import type { AttemptContext, RequestForwarding } from './attempt.js';
import type { BackendAnswer } from './backend-answer.js';
import type { BackendConnections, CallResult } from './backend-connections.js';
import type { Exchange } from './exchange.js';
import type { FleetView } from './fleet-view.js';
import { decodeAvailability } from './forwarded-availability.js';
import {
  encodeForwarding,
  forwardingToken,
  notTakenReason,
  wasCloseDelimited,
} from './forwarding-headers.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { RequestCodec } from './ports.js';
import { refuseUnavailable } from './refuse-unavailable.js';
import type { ServicePathMonitor } from './service-path-monitor.js';
import { isCutByStop, refuseIfCutByStop } from './stop-check.js';
import { StreamRelay } from './stream-relay.js';
import type { WallClock } from './timer-service.js';

/** Daemons that one request tries. */
const MAX_DAEMONS = 4;
/** A daemon is near, and accepts connections at once while it runs. */
const CONNECT_TIMEOUT_MS = 100;
const MAX_ANSWER_BYTES = 16_777_216;
const CUT_OFF_REASON = 'no daemon reaches a server';
const NO_BUDGET_REASON = 'the retry budget is spent';

/** Dependencies of the forwarder. */
export interface RequestForwarderOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly connections: Pick<BackendConnections, 'call'>;
  readonly paths: Pick<ServicePathMonitor, 'isLost'>;
  readonly roster: Pick<PeerRoster, 'allPeers'>;
  readonly codec: Pick<RequestCodec, 'forwardedHeaders'>;
  /** A secret of the fleet; undefined until it has been read. */
  readonly fleetKey: () => Buffer | undefined;
  readonly metrics: Pick<GatewayMetrics, 'recordForwarded'>;
  readonly fleet: Pick<FleetView, 'directory' | 'availability'>;
  /** The time of day, in which servers' start times are given. */
  readonly wallClock: WallClock;
}

/** Forwards requests to other daemons. */
export class RequestForwarder implements RequestForwarding {
  readonly #options: RequestForwarderOptions;
  readonly #peers: ForwardingPeers;

  constructor(options: RequestForwarderOptions) {
    this.#options = options;
    this.#peers = new ForwardingPeers(options.zone);
  }

  /** Whether a request has to go to another daemon: no server has run it, and this daemon reaches none of its service. */
  isNeeded(exchange: Exchange): boolean {
    const { service, forwarded } = exchange.options;
    const mayGo = forwarded === undefined && !exchange.mayHaveRun && !exchange.isAnswered;
    return mayGo && this.#options.paths.isLost(service);
  }

  /** Forwards a request and relays the answer, or refuses the request if no daemon takes it. */
  async run(exchange: Exchange, context: AttemptContext): Promise<void> {
    const budget = context.fleet.budgetOf(exchange.options.service);
    exchange.countRequest(budget);
    if (refuseIfCutByStop(exchange, unknownDuration)) return;
    const send = exchange.sends.tryBegin('forward', budget);
    if (send === undefined) return refuseUnavailable(exchange, context, NO_BUDGET_REASON);
    const isTaken = await this.#forward(exchange);
    if (isTaken) return;
    exchange.sends.end(send, 'not-sent', budget);
    if (exchange.signal.aborted) exchange.endInterrupted();
    else if (!refuseIfCutByStop(exchange, unknownDuration)) {
      refuseUnavailable(exchange, context, CUT_OFF_REASON);
    }
  }

  /** @returns whether a daemon took the request, or may have */
  async #forward(exchange: Exchange): Promise<boolean> {
    const tried = new Set<string>();
    while (tried.size < MAX_DAEMONS && !exchange.signal.aborted) {
      const peer = this.#choose(exchange, tried);
      const fleetKey = this.#options.fleetKey();
      if (peer === undefined || fleetKey === undefined) return false;
      if (isCutByStop(exchange, unknownDuration)) return false;
      tried.add(peer.name);
      const endSend = exchange.progress.begin('forwarded', peer.name);
      const isTaken = await this.#sendTo(peer, exchange, forwardingToken(fleetKey));
      endSend();
      if (isTaken) return true;
    }
    return false;
  }

  #choose(exchange: Exchange, tried: ReadonlySet<string>): PeerDaemon | undefined {
    const { service, timers } = exchange.options;
    const peers = this.#options.roster.allPeers();
    const nowMs = timers.nowMs();
    return this.#peers.choose({ service, peers, tried, nowMs, entropy: Math.random() });
  }

  /** @returns whether the daemon took the request, or may have */
  async #sendTo(peer: PeerDaemon, exchange: Exchange, token: string): Promise<boolean> {
    exchange.beginRun(peer.name);
    const result = await this.#call(peer, exchange, token);
    const notTaken = notTakenBecause(result);
    exchange.endRun(notTaken !== undefined);
    this.#record(peer, exchange, result, notTaken);
    if (result.kind === 'answered') this.#recordAvailability(exchange, result.answer);
    if (notTaken !== undefined) {
      if (result.kind === 'answered') result.answer.discard();
      return false;
    }
    if (exchange.signal.aborted) exchange.endInterrupted();
    else if (result.kind === 'answered') await this.#relay(peer, exchange, result.answer);
    else exchange.fail(502, `the daemon that it was forwarded to broke off: ${reasonOf(result)}`);
    return true;
  }

  #call(peer: PeerDaemon, exchange: Exchange, token: string): Promise<CallResult> {
    const { daemon, connections, codec } = this.#options;
    const { request, body, service, configuration } = exchange.options;
    const { version: configurationVersion } = configuration;
    const callerHeaders = withoutConnectionHeaders(request.rawHeaders);
    const deadlineMs = Math.max(1, Math.floor(exchange.remainingMs()));
    return connections.call({
      address: `${peer.host}:${peer.forwardPort}`,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: [
        ...codec.forwardedHeaders(callerHeaders, deadlineMs),
        ...encodeForwarding({ from: daemon, service, configurationVersion }, token),
        ...(body.length > 0 ? ['Content-Length', String(body.length)] : []),
      ],
      body,
      mayKeepConnection: false,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal: exchange.signal,
    });
  }

  #record(
    peer: PeerDaemon,
    exchange: Exchange,
    result: CallResult,
    notTaken: string | undefined,
  ): void {
    const { service, timers, log, description } = exchange.options;
    if (notTaken === undefined) this.#peers.recordSuitable(peer.name, service);
    else this.#peers.recordUnsuitable(peer.name, service, timers.nowMs());
    this.#options.metrics.recordForwarded(notTaken === undefined ? result.kind : 'not-taken');
    log.write(GATEWAY_EVENTS.requestForwarded, {
      request: description.attemptId,
      service,
      peer: peer.name,
      zone: peer.zone,
      result: notTaken === undefined ? result.kind : 'not-taken',
      reason: notTaken ?? reasonOf(result),
      elapsedMs: Math.round(exchange.elapsedMs()),
    });
  }

  /** Records what servers have reported to the other daemon as if they had reported it to this one. */
  #recordAvailability({ options }: Exchange, { message }: BackendAnswer): void {
    const { fleet, wallClock } = this.#options;
    const { timers, log, description } = options;
    for (const report of decodeAvailability(message.headers)) {
      const server = fleet.directory.get(report.serverId);
      if (server === undefined) continue;
      const reportedAt = { nowMs: timers.nowMs(), unixMs: wallClock(), entropy: 0 };
      const added = fleet.availability.recordReport(server, report, reportedAt);
      if (added.length === 0) continue;
      log.write(GATEWAY_EVENTS.forwardedAvailability, {
        request: description.attemptId,
        server: server.id,
        isLeaving: report.isLeaving,
        restMs: Math.round(report.backOffMs ?? 0),
      });
    }
  }

  async #relay(peer: PeerDaemon, exchange: Exchange, answer: BackendAnswer): Promise<void> {
    const { status, message } = answer;
    // A daemon frames all its answers, so this is something else at its address, and may be cut.
    if (answer.isCloseDelimited) {
      answer.destroy();
      return exchange.fail(502, 'the forwarded answer has no length');
    }
    const isCloseDelimited = wasCloseDelimited(message.headers);
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && exchange.options.route.kind === 'streaming') {
      return relayStream(peer, exchange, answer, isCloseDelimited);
    }
    const body = await answer.collect(MAX_ANSWER_BYTES, exchange.options.memory);
    if (exchange.signal.aborted) return exchange.endInterrupted();
    if (body === undefined) return exchange.fail(502, 'the forwarded answer broke off');
    const { forwardedHeaders: headers } = answer;
    exchange.answer({ status, headers, body, serverId: peer.name, isCloseDelimited });
  }
}

async function relayStream(
  peer: PeerDaemon,
  exchange: Exchange,
  answer: BackendAnswer,
  isCloseDelimited: boolean,
): Promise<void> {
  const relay = new StreamRelay(exchange, () => 'forwarded');
  const source = {
    answer,
    server: { id: peer.name, service: exchange.options.service },
    isCloseDelimited,
    end: () => undefined,
  };
  switch (await relay.relay(source)) {
    case 'complete':
      return relay.complete(source);
    case 'interrupted':
      return exchange.endInterrupted();
    case 'broken':
      answer.destroy();
      if (exchange.isAnswered) exchange.abortResponse('the forwarded stream broke off');
      else exchange.fail(502, 'the forwarded stream broke off');
  }
}

/** What this daemon has learnt of the servers it had before it was cut off says nothing of a hop. */
function unknownDuration(): DurationEstimate {
  return UNKNOWN_DURATION;
}

/** Why a daemon certainly did not run the request; undefined if it may have. */
function notTakenBecause(result: CallResult): string | undefined {
  switch (result.kind) {
    case 'answered':
      return notTakenReason(result.answer.message.headers);
    case 'not-sent':
      return result.reason;
    case 'broken':
      return undefined;
  }
}

function reasonOf(result: CallResult): string {
  return 'reason' in result ? result.reason : '';
}
