/**
 * Keeps all daemons together within the rate limits that servers name: records the limits, requests and uses permits,
 * grants permits to other daemons, and holds the requests that wait for one.
 */
import type {
  LimitChange,
  PeerDaemon,
  PeerRoster,
  ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { LimitMessage } from './limit-message-fields.js';
import { PermitGranter } from './permit-granter.js';
import { PermitRequester } from './permit-requester.js';
import { PermitWaiters } from './permit-waiters.js';
import type { GatewayLog } from './request-log.js';
import type { RequestProgress } from './request-progress.js';
import type { CallPurpose } from './server-calls.js';
import { delay, type TimerService } from './timer-service.js';

/** Arrivals are counted over the time that a permit is valid, so that no more are requested than can be used. */
const ARRIVALS_SPAN_MS = 250;
/**
 * The longest that a request is held for the answer to its permit request: a few round trips to another zone. The answer
 * of a slower daemon comes too late for it.
 */
const MAX_ANSWER_WAIT_MS = 30;
/** A daemon that requests more at a time would deprive the others. */
const MAX_WANTED = 64;
/** How long a permit is reserved while a prompt is prefilled; most prefills take less than a second. */
const RESERVATION_VALID_MS = 2_000;

/** A permit reserved for a run whose prompt is being prefilled. */
export interface PermitReservation {
  readonly server: ServerRecord;
  readonly granter: string;
  readonly untilMs: number;
}

/** A request that may wait for a permit. */
export interface PermitWaitRequest {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly attemptId: string;
  readonly arrivedAtMs: number;
  /** Counted from now. */
  readonly maxWaitMs: number;
  readonly signal: AbortSignal;
  readonly progress: Pick<RequestProgress, 'begin'>;
  /** Whether the stop of this daemon may cut the request off. */
  readonly isCutByStop: () => boolean;
}

/** Options of a `LimitCoordinator`. */
export interface LimitCoordinatorOptions {
  readonly daemon: string;
  readonly fleet: FleetView;
  /** Undefined where this daemon has no address for peers. */
  readonly roster: PeerRoster | undefined;
  readonly send: (peers: readonly PeerDaemon[], message: LimitMessage) => void;
  readonly timers: TimerService;
  /** Uniformly distributed from 0 to 1, drawn at each call; spreads the permit requests of daemons over time. */
  readonly random: () => number;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordPermits' | 'recordReportedAvailability'>;
}

interface Arrivals {
  readonly spanStartMs: number;
  readonly count: number;
  /** The count of the span before; 0 where that span had no arrivals. */
  readonly before: number;
}

/** One daemon's part in keeping the limits of servers. */
export class LimitCoordinator {
  readonly #options: LimitCoordinatorOptions;
  readonly #requester: PermitRequester;
  readonly #granter: PermitGranter;
  readonly #waiters: PermitWaiters;
  readonly #arrivals = new Map<string, Arrivals>();

  constructor(options: LimitCoordinatorOptions) {
    this.#options = options;
    const { fleet, roster, timers } = options;
    this.#waiters = new PermitWaiters(timers);
    const onAdvertisedLimit = (serverId: string, change: LimitChange, by: string) =>
      this.#recordAdvertisedLimit(serverId, change, by);
    this.#granter = new PermitGranter({
      ...options,
      limits: fleet.limits,
      allPeers: () => roster?.allPeers() ?? [],
      onAdvertisedLimit,
    });
    this.#requester = new PermitRequester({
      ...options,
      localGranter: this.#granter,
      onAdvertisedLimit,
      onPermits: (serverId, count) => this.#wake(serverId, count),
      onMayRequest: (serverId) => this.#requestForWaiting(serverId),
    });
  }

  /** Number of servers for which this daemon grants permits. */
  get grantedServers(): number {
    return this.#granter.count;
  }

  /** Counts a caller's request to a service. */
  recordArrival(service: string): void {
    const nowMs = this.#options.timers.nowMs();
    const spanStartMs = Math.floor(nowMs / ARRIVALS_SPAN_MS) * ARRIVALS_SPAN_MS;
    const known = this.#arrivals.get(service);
    if (known?.spanStartMs === spanStartMs) {
      this.#arrivals.set(service, { ...known, count: known.count + 1 });
      return;
    }
    const isNext = known?.spanStartMs === spanStartMs - ARRIVALS_SPAN_MS;
    this.#arrivals.set(service, { spanStartMs, count: 1, before: isNext ? known.count : 0 });
  }

  /**
   * Requests permits for servers that a request would go to if their limits allowed it. The request waits for the
   * answers, as a daemon with few requests would not use a permit that arrives after the request that it was for.
   * @returns undefined where there is nothing to wait for
   */
  requestPermits(servers: readonly ServerRecord[]): Promise<void> | undefined {
    const pending = servers.flatMap((server) => this.#requestFor(server) ?? []);
    if (pending.length === 0) return undefined;
    const { timers } = this.#options;
    return Promise.race([Promise.all(pending), delay(timers, MAX_ANSWER_WAIT_MS)]).then(
      () => undefined,
    );
  }

  /** An answer of a server changed what is known of its limit. */
  recordReportedLimit(server: ServerRecord, change: LimitChange, purpose: CallPurpose): void {
    const { id, service } = server;
    this.#requester.advertiseLimit(id, change);
    this.#options.metrics.recordReportedAvailability(`limit-${change.kind}`);
    this.#handleChange(id, change, { service, purpose });
  }

  /** Handles another daemon's message; `reply` sends an answer to it. */
  handleMessage(message: LimitMessage, reply: (answer: LimitMessage) => void): void {
    const { fleet, timers } = this.#options;
    switch (message.kind) {
      case 'limit-ask':
        reply(this.#granter.answer(message));
        return;
      case 'limit-grant':
        this.#requester.handleGrant(message);
        return;
      case 'limit-told': {
        const { serverId, limit, daemon } = message;
        const change = fleet.limits.applyAdvertised(serverId, limit, timers.nowMs());
        if (change !== undefined) this.#recordAdvertisedLimit(serverId, change, daemon);
        return;
      }
    }
  }

  /**
   * Where only limits keep a request from being sent, waits for a permit for as long as the request can still be
   * answered in time. @returns whether to try again
   */
  async waitForPermit(request: PermitWaitRequest): Promise<boolean> {
    const { fleet, timers, log } = this.#options;
    const { service, rank, arrivedAtMs, attemptId, maxWaitMs, signal, isCutByStop } = request;
    const nowMs = timers.nowMs();
    const limited = fleet.serversAtLimit(service, nowMs).filter(({ stage }) => stage !== 'prefill');
    const expectedMs = limited.map(({ id }) => fleet.permits.expectedInMs(id, nowMs));
    if (limited.length === 0 || maxWaitMs <= 0 || Math.min(...expectedMs) > maxWaitMs) return false;
    if (isCutByStop()) return false;
    const wait = { service, rank, arrivedAtMs, mostMs: maxWaitMs, signal, isCutByStop };
    const endWait = request.progress.begin('waiting-for-permit');
    const waited = this.#waiters.wait(wait);
    for (const server of limited) this.#requestFor(server);
    const mayTry = await waited;
    endWait();
    log.write(GATEWAY_EVENTS.requestWaitedForPermit, {
      request: attemptId,
      service,
      rank,
      limited: limited.length,
      waitedMs: Math.round(timers.nowMs() - nowMs),
      mayTry,
    });
    return mayTry;
  }

  /**
   * Takes a permit for a run that begins after its prompt is prefilled elsewhere, if only engines that name limits are
   * left to generate: without a permit, the prefill may be wasted.
   * @returns undefined where none is needed or none is available
   */
  reservePermit(
    service: string,
    choose: () => ServerRecord | undefined,
  ): PermitReservation | undefined {
    const { fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    const isUnlimited = ({ id, stage }: ServerRecord) =>
      stage === 'decode' && fleet.limits.of(id) === undefined;
    if (fleet.candidates(service, nowMs).some(isUnlimited)) return undefined;
    const server = choose();
    const permit = server === undefined ? undefined : fleet.permits.take(server.id, nowMs);
    if (server === undefined || permit === undefined) return undefined;
    return { server, granter: permit.granter, untilMs: nowMs + RESERVATION_VALID_MS };
  }

  /** Whether a reservation may still be used. */
  isUsable({ server, untilMs }: PermitReservation): boolean {
    const { fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    const isOpen = fleet.availability.of(server, nowMs).kind === 'open';
    return nowMs < untilMs && isOpen && !fleet.isUnreachable(server.id, nowMs);
  }

  /** Returns the permit of an unused reservation, where there is one. */
  returnPermits(reservation: PermitReservation | undefined): void {
    if (reservation !== undefined)
      this.#requester.returnPermits(reservation.server.id, reservation.granter, 1);
  }

  /** Ends the waits of requests that a stop may cut off: their callers retry at other daemons. */
  beginStop(): void {
    this.#waiters.endCutByStop();
  }

  stop(): void {
    this.#requester.stop();
  }

  #requestFor({ id, service }: ServerRecord): Promise<void> | undefined {
    return this.#requester.requestFor(id, this.#wanted(service));
  }

  /** Requests that would go to each server of the service within the time that a permit is valid. */
  #wanted(service: string): number {
    const { fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    const arrivals = this.#arrivals.get(service);
    const isRecent = arrivals !== undefined && nowMs - arrivals.spanStartMs < 2 * ARRIVALS_SPAN_MS;
    const arriving = isRecent ? Math.max(arrivals.count, arrivals.before) : 0;
    const servers = Math.max(1, fleet.readyOf(service, nowMs).length);
    const wanted = Math.max(1, this.#waiters.countOf(service), Math.ceil(arriving / servers));
    return Math.min(MAX_WANTED, wanted);
  }

  #requestForWaiting(serverId: string): void {
    const { fleet, timers } = this.#options;
    const server = fleet.directory.get(serverId);
    if (server === undefined || this.#waiters.countOf(server.service) === 0) return;
    const isAtLimit = fleet.availabilityOf(server, timers.nowMs()).kind === 'at-limit';
    if (isAtLimit) this.#requestFor(server);
  }

  /** Permits for an engine that only prefills wake nobody: waiting requests need one that generates. */
  #wake(serverId: string, count: number): void {
    const server = this.#options.fleet.directory.get(serverId);
    if (server === undefined || server.stage === 'prefill') return;
    this.#waiters.wake(server.service, count);
  }

  #handleLimitEnd(serverId: string): void {
    this.#options.fleet.permits.forget(serverId);
    this.#wake(serverId, Number.POSITIVE_INFINITY);
  }

  #recordAdvertisedLimit(serverId: string, change: LimitChange, by: string): void {
    this.#options.metrics.recordReportedAvailability(`limit-${change.kind}-told`);
    this.#handleChange(serverId, change, { by });
  }

  /** @param source who reported the change, for the log */
  #handleChange(serverId: string, change: LimitChange, source: LogFields): void {
    const { log } = this.#options;
    const fields = { server: serverId, ...source };
    switch (change.kind) {
      case 'named':
      case 'changed':
        log.write(GATEWAY_EVENTS.serverNamedLimit, { ...fields, perSecond: change.perSecond });
        break;
      case 'ended':
        log.write(GATEWAY_EVENTS.serverLimitEnded, { ...fields, before: change.before });
        this.#handleLimitEnd(serverId);
        break;
    }
  }
}
