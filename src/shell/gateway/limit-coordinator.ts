/**
 * Keeps all daemons together within the limits that servers name: what this daemon learns of them, the permits that it
 * asks for and uses, those that it grants to others, and the requests that wait for one.
 */
import {
  type LimitChange,
  MAX_HOLD_SHARE,
  type PeerDaemon,
  type PeerRoster,
  type ServerRecord,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { LogFields } from '../../core/logging/log-event.js';
import type { Exchange } from './exchange.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { LimitMessage } from './limit-message-fields.js';
import { PermitGranter } from './permit-granter.js';
import { PermitRequester } from './permit-requester.js';
import { PermitWaiters } from './permit-waiters.js';
import type { GatewayLog } from './request-log.js';
import type { CallPurpose } from './server-calls.js';
import { delay, type TimerService } from './timer-service.js';

/** Arrivals are counted over the time that a permit is good for, so that no more are asked for than are used. */
const ARRIVALS_SPAN_MS = 250;
/**
 * A request is held for the answer to its ask no longer: a few times the way to another zone and back. What is asked of
 * a daemon that is slower comes too late for it.
 */
const LONGEST_ANSWER_MS = 30;
/** More at a time would be kept from other daemons. */
const MOST_WANTED = 64;
/** A stream that broke off is held for its next engine so long at most: callers give up after a pause of two seconds. */
const LONGEST_RESUME_WAIT_MS = 1_000;
/** A place that is taken while a prompt is read is good for so long; most are read within a second. */
const PLACE_VALID_MS = 2_000;

/** A permit that is kept for a run whose prompt is being read. */
export interface PermitReservation {
  readonly server: ServerRecord;
  readonly granter: string;
  readonly untilMs: number;
}

/** A request that may wait for a permit. */
export interface PermitWaitRequest {
  readonly service: string;
  /** 0 the most urgent. */
  readonly rank: number;
  readonly attemptId: string;
  readonly arrivedAtMs: number;
  /** From now on. */
  readonly maxWaitMs: number;
  readonly signal: AbortSignal;
}

/** What it is built from. */
export interface LimitCoordinatorOptions {
  readonly daemon: string;
  readonly fleet: FleetView;
  /** Undefined where this daemon has no address for others. */
  readonly roster: PeerRoster | undefined;
  readonly send: (peers: readonly PeerDaemon[], message: LimitMessage) => void;
  readonly timers: TimerService;
  /** 0 to 1, anew each time; spreads the asks of daemons. */
  readonly random: () => number;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordPermits' | 'recordReportedAvailability'>;
}

interface Arrivals {
  readonly spanStartMs: number;
  readonly count: number;
  readonly before: number;
}

/** A daemon's part in keeping to the limits of servers. */
export class LimitCoordinator {
  readonly #options: LimitCoordinatorOptions;
  readonly #asks: PermitRequester;
  readonly #grants: PermitGranter;
  readonly #waiters: PermitWaiters;
  readonly #arrivals = new Map<string, Arrivals>();

  constructor(options: LimitCoordinatorOptions) {
    this.#options = options;
    const { fleet, roster, timers } = options;
    this.#waiters = new PermitWaiters(timers);
    const noteTold = (serverId: string, change: LimitChange, by: string) =>
      this.#noteTold(serverId, change, by);
    this.#grants = new PermitGranter({
      ...options,
      limits: fleet.limits,
      allPeers: () => roster?.allPeers() ?? [],
      noteTold,
    });
    this.#asks = new PermitRequester({
      ...options,
      grants: this.#grants,
      noteTold,
      notePermits: (serverId, count) => this.#wake(serverId, count),
      noteMayAsk: (serverId) => this.#askForWaiting(serverId),
    });
  }

  /** Servers whose requests this daemon grants. */
  get grantedServers(): number {
    return this.#grants.count;
  }

  /** A caller's request to a service arrived. */
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
   * A request would go to some servers if they took more: asks for permits there. It waits for the answers, as a daemon
   * with few requests would not use a permit that comes after the one it was for.
   * @returns undefined where there is nothing to wait for
   */
  requestPermits(servers: readonly ServerRecord[]): Promise<void> | undefined {
    const asks = servers.flatMap((server) => this.#ask(server) ?? []);
    if (asks.length === 0) return undefined;
    const { timers } = this.#options;
    return Promise.race([Promise.all(asks), delay(timers, LONGEST_ANSWER_MS)]).then(
      () => undefined,
    );
  }

  /** An answer of a server changed what is known of its limit. */
  recordReportedLimit(server: ServerRecord, change: LimitChange, purpose: CallPurpose): void {
    const { id, service } = server;
    this.#asks.tell(id, change);
    this.#options.metrics.recordReportedAvailability(`limit-${change.kind}`);
    this.#noteChange(id, change, { service, purpose });
  }

  /** Takes another daemon's message; `reply` goes back to it. */
  handleMessage(message: LimitMessage, reply: (answer: LimitMessage) => void): void {
    const { fleet, timers } = this.#options;
    switch (message.kind) {
      case 'limit-ask':
        reply(this.#grants.answer(message));
        return;
      case 'limit-grant':
        this.#asks.take(message);
        return;
      case 'limit-told': {
        const { serverId, limit, daemon } = message;
        const change = fleet.limits.applyAdvertised(serverId, limit, timers.nowMs());
        if (change !== undefined) this.#noteTold(serverId, change, daemon);
        return;
      }
    }
  }

  /**
   * Where nothing but limits keeps a request from being sent, waits for a permit as long as the request can be in time
   * after it. @returns whether to try again
   */
  async waitForPermit(seeker: PermitWaitRequest): Promise<boolean> {
    const { fleet, timers, log } = this.#options;
    const { service, rank, arrivedAtMs, attemptId, maxWaitMs: mostMs, signal } = seeker;
    const nowMs = timers.nowMs();
    const limited = fleet.serversAtLimit(service, nowMs).filter(({ stage }) => stage !== 'prefill');
    const expectedMs = limited.map(({ id }) => fleet.permits.expectedInMs(id, nowMs));
    if (limited.length === 0 || mostMs <= 0 || Math.min(...expectedMs) > mostMs) return false;
    const wait = { service, rank, arrivedAtMs, mostMs, signal };
    const waited = this.#waiters.wait(wait);
    for (const server of limited) this.#ask(server);
    const mayTry = await waited;
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
   * Takes the place of a run now that begins once its prompt was read elsewhere, where only engines that name limits
   * are left to generate: else the prompt may be read in vain. Undefined where none has to be taken, or none is there.
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
    return { server, granter: permit.granter, untilMs: nowMs + PLACE_VALID_MS };
  }

  /** Whether a place may still be used. */
  isUsable({ server, untilMs }: PermitReservation): boolean {
    const { fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    const isOpen = fleet.availability.of(server, nowMs).kind === 'open';
    return nowMs < untilMs && isOpen && !fleet.isUnreachable(server.id, nowMs);
  }

  /** Gives back a place that no run came to, where one was held. */
  returnPermits(place: PermitReservation | undefined): void {
    if (place !== undefined) this.#asks.returnPermits(place.server.id, place.granter, 1);
  }

  stop(): void {
    this.#asks.stop();
  }

  #ask({ id, service }: ServerRecord): Promise<void> | undefined {
    return this.#asks.ask(id, this.#wanted(service));
  }

  /** What would be sent to each of the servers within the time that a permit is good for. */
  #wanted(service: string): number {
    const { fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    const arrivals = this.#arrivals.get(service);
    const isRecent = arrivals !== undefined && nowMs - arrivals.spanStartMs < 2 * ARRIVALS_SPAN_MS;
    const arriving = isRecent ? Math.max(arrivals.count, arrivals.before) : 0;
    const servers = Math.max(1, fleet.readyOf(service, nowMs).length);
    const wanted = Math.max(1, this.#waiters.countOf(service), Math.ceil(arriving / servers));
    return Math.min(MOST_WANTED, wanted);
  }

  #askForWaiting(serverId: string): void {
    const { fleet, timers } = this.#options;
    const server = fleet.directory.get(serverId);
    if (server === undefined || this.#waiters.countOf(server.service) === 0) return;
    const isAtLimit = fleet.availabilityOf(server, timers.nowMs()).kind === 'at-limit';
    if (isAtLimit) this.#ask(server);
  }

  /** An engine that only reads answers nobody: those that wait need one that generates. */
  #wake(serverId: string, count: number): void {
    const server = this.#options.fleet.directory.get(serverId);
    if (server === undefined || server.stage === 'prefill') return;
    this.#waiters.wake(server.service, count);
  }

  #open(serverId: string): void {
    this.#options.fleet.permits.forget(serverId);
    this.#wake(serverId, Number.POSITIVE_INFINITY);
  }

  #noteTold(serverId: string, change: LimitChange, by: string): void {
    this.#options.metrics.recordReportedAvailability(`limit-${change.kind}-told`);
    this.#noteChange(serverId, change, { by });
  }

  /** @param source who said it, for the log */
  #noteChange(serverId: string, change: LimitChange, source: LogFields): void {
    const { log } = this.#options;
    const fields = { server: serverId, ...source };
    switch (change.kind) {
      case 'named':
      case 'changed':
        log.write(GATEWAY_EVENTS.serverNamedLimit, { ...fields, perSecond: change.perSecond });
        break;
      case 'ended':
        log.write(GATEWAY_EVENTS.serverLimitEnded, { ...fields, before: change.before });
        this.#open(serverId);
        break;
    }
  }
}

/** What a request asks when it may wait for a permit: that no server has seen it is held as long as any that waits. */
export function permitWaitRequestOf(exchange: Exchange): PermitWaitRequest {
  const { service, rank, arrivedAtMs, description, route } = exchange.options;
  const maxWaitMs = exchange.mayHaveRun
    ? Math.min(exchange.remainingMs(), LONGEST_RESUME_WAIT_MS)
    : MAX_HOLD_SHARE * route.targetLatencyMs - exchange.elapsedMs();
  const { attemptId } = description;
  return { service, rank, attemptId, arrivedAtMs, maxWaitMs, signal: exchange.signal };
}
