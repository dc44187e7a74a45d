/**
 * Requests permits to send to servers that name a rate limit. Each server has one granting daemon, the first of all
 * listed daemons by rendezvous hashing; one that does not answer is skipped for a while. Nothing is sent without a permit:
 * while no daemon grants, the server gets fewer requests than its limit allows, never more.
 */
import {
  type LimitChange,
  PERMIT_VALID_MS,
  type PeerDaemon,
  type PeerRoster,
  rankByRendezvous,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { GatewayMetrics } from './gateway-metrics.js';
import type { PermitGrantMessage, PermitRequestMessage } from './limit-message-fields.js';
import type { PermitGranter } from './permit-granter.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Longer than a daemon needs that has used up its CPU quota for the current period of 100 ms. */
const ANSWER_TIMEOUT_MS = 150;
/** One time-out may be a lost datagram; a granter with this many in a row is skipped. */
const MAX_CONSECUTIVE_TIMEOUTS = 2;
const GRANTER_SKIP_MS = 5_000;
/** Multiplied by the number of requesting daemons, so that together they send 50 permit requests a second for a server. */
const REQUEST_INTERVAL_MS = 20;
/** How long a limit that only peers advertised holds without confirmation. */
const UNCONFIRMED_VALID_MS = 5_000;
/** Bounds the retry time given to refused callers, as limits of overloaded servers are short-lived. */
const MAX_EXPECTED_WAIT_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** The number of a message whose answer is not awaited. */
const NO_ANSWER_NUMBER = 0;

/** Options of a `PermitRequester`. */
export interface PermitRequesterOptions {
  readonly daemon: string;
  readonly fleet: Pick<FleetView, 'limits' | 'permits' | 'recentSends'>;
  /** Undefined where this daemon has no address for peers, and so grants for itself. */
  readonly roster: Pick<PeerRoster, 'hasList' | 'allPeers'> | undefined;
  readonly localGranter: Pick<PermitGranter, 'answer' | 'broadcastLimit'>;
  readonly send: (peers: readonly PeerDaemon[], message: PermitRequestMessage) => void;
  readonly timers: TimerService;
  /** Uniformly distributed from 0 to 1, drawn at each call. */
  readonly random: () => number;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordPermits'>;
  /** Called when an answer changes what is known of a limit. */
  readonly onAdvertisedLimit: (serverId: string, change: LimitChange, by: string) => void;
  /** Called with the number of requests that may now be sent to a server. */
  readonly onPermits: (serverId: string, count: number) => void;
  /** Called when permits for a server may be requested again. */
  readonly onMayRequest: (serverId: string) => void;
}

interface PendingRequest {
  readonly number: number;
  readonly granter: string;
  readonly sentAtMs: number;
  readonly cancelTimeout: CancelTimer;
  /** Ends the wait for the answer. */
  readonly settle: () => void;
}

interface RequestState {
  open: PendingRequest | undefined;
  nextRequestAtMs: number;
  /** Cancels the timer for `nextRequestAtMs`. */
  cancelNextRequest: CancelTimer;
}

/** The requesting side of a daemon. */
export class PermitRequester {
  readonly #options: PermitRequesterOptions;
  readonly #states = new Map<string, RequestState>();
  readonly #consecutiveTimeouts = new Map<string, number>();
  readonly #skippedUntilMs = new Map<string, number>();
  #number = NO_ANSWER_NUMBER;

  constructor(options: PermitRequesterOptions) {
    this.#options = options;
  }

  /**
   * Requests permits for a server, unless an answer is pending or the next request is not due yet.
   * @returns resolves with the answer or at the time-out; undefined where no request was sent
   */
  requestFor(serverId: string, wanted: number): Promise<void> | undefined {
    const { timers, metrics } = this.#options;
    const state = this.#stateOf(serverId);
    const nowMs = timers.nowMs();
    if (state.open !== undefined || nowMs < state.nextRequestAtMs) return undefined;
    const granter = this.#granterOf(serverId);
    if (granter === undefined) return undefined;
    this.#number += 1;
    const number = this.#number;
    const cancelTimeout = timers.after(ANSWER_TIMEOUT_MS, () =>
      this.#handleTimeout(serverId, number),
    );
    let settle: () => void = () => undefined;
    const answered = new Promise<void>((resolve) => {
      settle = resolve;
    });
    state.open = { number, granter, sentAtMs: nowMs, cancelTimeout, settle };
    metrics.recordPermits('asked', wanted);
    this.#send(granter, this.#messageOf(serverId, { number, wanted, returned: 0 }));
    return answered;
  }

  /** Sends the granter the limit that a server reported here, and how much this daemon sent there before. */
  advertiseLimit(serverId: string, { kind }: Pick<LimitChange, 'kind'>): void {
    const granter = this.#granterOf(serverId);
    if (granter === undefined) return;
    this.#send(
      granter,
      this.#messageOf(serverId, { number: NO_ANSWER_NUMBER, wanted: 0, returned: 0 }),
    );
    const isForAll = kind !== 'changed' && granter === this.#options.daemon;
    if (isForAll) this.#options.localGranter.broadcastLimit(serverId);
  }

  /** Applies an answer. */
  handleGrant(grant: PermitGrantMessage): void {
    const { fleet, timers, onAdvertisedLimit } = this.#options;
    const { serverId, granted, daemon: granter } = grant;
    const nowMs = timers.nowMs();
    this.#consecutiveTimeouts.delete(granter);
    const { limit } = grant;
    const change =
      limit === undefined ? undefined : fleet.limits.applyAdvertised(serverId, limit, nowMs);
    if (change !== undefined) onAdvertisedLimit(serverId, change, granter);
    const state = this.#stateOf(serverId);
    const { open } = state;
    if (open === undefined || open.number !== grant.number) {
      this.returnPermits(serverId, granter, granted);
      return;
    }
    open.cancelTimeout();
    state.open = undefined;
    this.#scheduleNextRequest(state, grant, nowMs);
    this.#store(grant, open.sentAtMs + PERMIT_VALID_MS);
    open.settle();
  }

  stop(): void {
    for (const { open, cancelNextRequest } of this.#states.values()) {
      cancelNextRequest();
      open?.cancelTimeout();
      open?.settle();
    }
    this.#states.clear();
  }

  #store({ serverId, granted, daemon: granter }: PermitGrantMessage, expiresAtMs: number): void {
    const { fleet, timers, metrics, onPermits } = this.#options;
    if (granted === 0) return;
    const validMs = expiresAtMs - timers.nowMs();
    if (validMs <= 0) {
      this.returnPermits(serverId, granter, granted);
      return;
    }
    metrics.recordPermits('granted', granted);
    fleet.permits.add(serverId, { count: granted, expiresAtMs, granter });
    timers.after(validMs, () => this.#returnExpired());
    onPermits(serverId, granted);
  }

  /** After an empty grant, waits until capacity is expected; the more daemons request permits, the less often each does. */
  #scheduleNextRequest(state: RequestState, grant: PermitGrantMessage, nowMs: number): void {
    const { fleet, timers, random, onMayRequest } = this.#options;
    const { serverId, granted, roomInMs, requesters, limit } = grant;
    const gapMs = REQUEST_INTERVAL_MS * requesters * (0.5 + random());
    const untilMs = gapMs + (granted > 0 ? 0 : roomInMs);
    state.nextRequestAtMs = nowMs + untilMs;
    state.cancelNextRequest();
    state.cancelNextRequest = timers.after(untilMs, () => onMayRequest(serverId));
    const turnMs = (MILLISECONDS_PER_SECOND * requesters) / Math.max(1e-3, limit?.perSecond ?? 1);
    const expectedMs = granted > 0 ? 0 : Math.max(roomInMs, turnMs / 2);
    fleet.permits.expectAt(serverId, nowMs + Math.min(MAX_EXPECTED_WAIT_MS, expectedMs));
  }

  #handleTimeout(serverId: string, number: number): void {
    const { fleet, timers, log, onMayRequest } = this.#options;
    const state = this.#stateOf(serverId);
    if (state.open?.number !== number) return;
    const { granter, settle } = state.open;
    state.open = undefined;
    settle();
    const nowMs = timers.nowMs();
    const timeouts = (this.#consecutiveTimeouts.get(granter) ?? 0) + 1;
    this.#consecutiveTimeouts.set(granter, timeouts);
    if (timeouts >= MAX_CONSECUTIVE_TIMEOUTS) {
      this.#consecutiveTimeouts.delete(granter);
      this.#skippedUntilMs.set(granter, nowMs + GRANTER_SKIP_MS);
      log.write(GATEWAY_EVENTS.limitGrantsSilent, { server: serverId, silent: granter });
    }
    const known = fleet.limits.of(serverId);
    const isUnconfirmed = known !== undefined && nowMs - known.reportedAtMs > UNCONFIRMED_VALID_MS;
    if (isUnconfirmed && !known.isFirstHand) this.#expireLimit(serverId, known.perSecond);
    else onMayRequest(serverId);
  }

  #expireLimit(serverId: string, before: number): void {
    const { fleet, onAdvertisedLimit, daemon } = this.#options;
    fleet.limits.forget(serverId);
    onAdvertisedLimit(serverId, { kind: 'ended', before }, daemon);
  }

  #returnExpired(): void {
    const { fleet, timers } = this.#options;
    for (const { serverId, count, granter } of fleet.permits.takeExpired(timers.nowMs())) {
      this.returnPermits(serverId, granter, count);
    }
  }

  /** Returns unused permits to the daemon that granted them. */
  returnPermits(serverId: string, granter: string, count: number): void {
    if (count === 0) return;
    this.#options.metrics.recordPermits('given-back', count);
    const message = this.#messageOf(serverId, {
      number: NO_ANSWER_NUMBER,
      wanted: 0,
      returned: count,
    });
    this.#send(granter, message);
  }

  #send(granter: string, message: PermitRequestMessage): void {
    const { daemon, roster, localGranter, send } = this.#options;
    if (granter === daemon) {
      const answer = localGranter.answer(message);
      if (message.number !== NO_ANSWER_NUMBER) this.handleGrant(answer);
      return;
    }
    const peer = roster?.allPeers().find(({ name }) => name === granter);
    if (peer !== undefined) send([peer], message);
  }

  #messageOf(
    serverId: string,
    amounts: Pick<PermitRequestMessage, 'number' | 'wanted' | 'returned'>,
  ): PermitRequestMessage {
    const { daemon, fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    // Undefined means that nothing is known of the limit, not that it has ended.
    const limit = fleet.limits.advertisementOf(serverId, nowMs);
    const knownSinceMs = fleet.limits.of(serverId)?.knownSinceMs ?? nowMs;
    const sent = fleet.recentSends.of(serverId, nowMs);
    const unmetered = sent.map(({ atMs, count }) => ({ ageMs: nowMs - atMs, count }));
    const known = { limit, knownForMs: nowMs - knownSinceMs, unmetered };
    return { kind: 'limit-ask', daemon, serverId, ...amounts, ...known };
  }

  /** Undefined while this daemon has no list of the others. */
  #granterOf(serverId: string): string | undefined {
    const { daemon, roster, timers } = this.#options;
    if (roster === undefined) return daemon;
    if (!roster.hasList) return undefined;
    const nowMs = timers.nowMs();
    const names = [...roster.allPeers().map(({ name }) => name), daemon];
    const ranked = rankByRendezvous(`limit of ${serverId}`, names);
    const isResponsive = (name: string) => (this.#skippedUntilMs.get(name) ?? 0) <= nowMs;
    return ranked.find(isResponsive) ?? ranked[0];
  }

  #stateOf(serverId: string): RequestState {
    const known = this.#states.get(serverId);
    if (known !== undefined) return known;
    this.#removeEnded();
    const cancelNextRequest = () => undefined;
    const state = {
      open: undefined,
      nextRequestAtMs: Number.NEGATIVE_INFINITY,
      cancelNextRequest,
    };
    this.#states.set(serverId, state);
    return state;
  }

  /** Removes the state of servers that name no limit any more. */
  #removeEnded(): void {
    const { limits } = this.#options.fleet;
    for (const [serverId, { open }] of this.#states) {
      if (open === undefined && limits.of(serverId) === undefined) this.#states.delete(serverId);
    }
  }
}
