/**
 * Asks for permits to send to servers that name a limit. Each server has one daemon that grants, the first of all that
 * are listed by rendezvous hashing; one that does not answer is passed over for a time. Until a permit is there nothing
 * is sent: while nobody grants, the server gets less than it takes, never more.
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

/** Longer than a daemon takes that has used up its share of its core for this tenth of a second. */
const ANSWER_TIMEOUT_MS = 150;
/** A datagram may be lost; a daemon that leaves so many asks unanswered in a row is passed over. */
const MOST_MISSES = 2;
const PASSED_OVER_MS = 5_000;
/** Each daemon that asks keeps this apart from the others, so that all make 50 asks a second for a server. */
const ASK_GAP_MS = 20;
/** What only others told of is not believed for longer where nobody confirms it. */
const UNCONFIRMED_MS = 5_000;
/** A caller is not sent away for longer: limits of servers in need come and go. */
const LONGEST_EXPECTED_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** The number of an ask whose answer is not waited for. */
const NO_NUMBER = 0;

/** What it is built from. */
export interface PermitRequesterOptions {
  readonly daemon: string;
  readonly fleet: Pick<FleetView, 'limits' | 'permits' | 'recentSends'>;
  /** Undefined where this daemon has no address for others: it is alone. */
  readonly roster: Pick<PeerRoster, 'hasList' | 'allPeers'> | undefined;
  readonly grants: Pick<PermitGranter, 'answer' | 'tellAll'>;
  readonly send: (peers: readonly PeerDaemon[], message: PermitRequestMessage) => void;
  readonly timers: TimerService;
  /** 0 to 1, anew each time. */
  readonly random: () => number;
  readonly log: Pick<GatewayLog, 'write'>;
  readonly metrics: Pick<GatewayMetrics, 'recordPermits'>;
  /** Told of what an answer brought to light. */
  readonly noteTold: (serverId: string, change: LimitChange, by: string) => void;
  /** Told that so many requests may be sent to a server. */
  readonly notePermits: (serverId: string, count: number) => void;
  /** Told that a server may be asked about again. */
  readonly noteMayAsk: (serverId: string) => void;
}

interface OpenAsk {
  readonly number: number;
  readonly granter: string;
  readonly sentAtMs: number;
  readonly cancelTimeout: CancelTimer;
  /** Ends the wait for the answer. */
  readonly settle: () => void;
}

interface AskState {
  open: OpenAsk | undefined;
  againAtMs: number;
  /** Ends the wait for that. */
  cancelAgain: CancelTimer;
}

/** The asking side of a daemon. */
export class PermitRequester {
  readonly #options: PermitRequesterOptions;
  readonly #states = new Map<string, AskState>();
  readonly #misses = new Map<string, number>();
  readonly #passedOverUntilMs = new Map<string, number>();
  #number = NO_NUMBER;

  constructor(options: PermitRequesterOptions) {
    this.#options = options;
  }

  /**
   * Asks for requests to a server, unless that was done just now.
   * @returns resolves with the answer, or when it is not waited for any more; undefined where nobody was asked
   */
  ask(serverId: string, wanted: number): Promise<void> | undefined {
    const { timers, metrics } = this.#options;
    const state = this.#stateOf(serverId);
    const nowMs = timers.nowMs();
    if (state.open !== undefined || nowMs < state.againAtMs) return undefined;
    const granter = this.#granterOf(serverId);
    if (granter === undefined) return undefined;
    this.#number += 1;
    const number = this.#number;
    const cancelTimeout = timers.after(ANSWER_TIMEOUT_MS, () => this.#noteMiss(serverId, number));
    let settle: () => void = () => undefined;
    const answered = new Promise<void>((resolve) => {
      settle = resolve;
    });
    state.open = { number, granter, sentAtMs: nowMs, cancelTimeout, settle };
    metrics.recordPermits('asked', wanted);
    this.#send(granter, this.#messageOf(serverId, { number, wanted, returned: 0 }));
    return answered;
  }

  /** Tells the daemon that grants what this one has heard from the server, and what it sent there before. */
  tell(serverId: string, { kind }: Pick<LimitChange, 'kind'>): void {
    const granter = this.#granterOf(serverId);
    if (granter === undefined) return;
    this.#send(granter, this.#messageOf(serverId, { number: NO_NUMBER, wanted: 0, returned: 0 }));
    const isForAll = kind !== 'changed' && granter === this.#options.daemon;
    if (isForAll) this.#options.grants.tellAll(serverId);
  }

  /** Takes an answer. */
  take(grant: PermitGrantMessage): void {
    const { fleet, timers, noteTold } = this.#options;
    const { serverId, granted, daemon: granter } = grant;
    const nowMs = timers.nowMs();
    this.#misses.delete(granter);
    const { limit } = grant;
    const change =
      limit === undefined ? undefined : fleet.limits.applyAdvertised(serverId, limit, nowMs);
    if (change !== undefined) noteTold(serverId, change, granter);
    const state = this.#stateOf(serverId);
    const { open } = state;
    if (open === undefined || open.number !== grant.number) {
      this.returnPermits(serverId, granter, granted);
      return;
    }
    open.cancelTimeout();
    state.open = undefined;
    this.#planNext(state, grant, nowMs);
    this.#store(grant, open.sentAtMs + PERMIT_VALID_MS);
    open.settle();
  }

  stop(): void {
    for (const { open, cancelAgain } of this.#states.values()) {
      cancelAgain();
      open?.cancelTimeout();
      open?.settle();
    }
    this.#states.clear();
  }

  #store({ serverId, granted, daemon: granter }: PermitGrantMessage, expiresAtMs: number): void {
    const { fleet, timers, metrics, notePermits } = this.#options;
    if (granted === 0) return;
    const validMs = expiresAtMs - timers.nowMs();
    if (validMs <= 0) {
      this.returnPermits(serverId, granter, granted);
      return;
    }
    metrics.recordPermits('granted', granted);
    fleet.permits.add(serverId, { count: granted, expiresAtMs, granter });
    timers.after(validMs, () => this.#giveBackUnused());
    notePermits(serverId, granted);
  }

  /** Who found no room asks again when there may be some; with many daemons that ask, each asks the more seldom. */
  #planNext(state: AskState, grant: PermitGrantMessage, nowMs: number): void {
    const { fleet, timers, random, noteMayAsk } = this.#options;
    const { serverId, granted, roomInMs, requesters, limit } = grant;
    const gapMs = ASK_GAP_MS * requesters * (0.5 + random());
    const untilMs = gapMs + (granted > 0 ? 0 : roomInMs);
    state.againAtMs = nowMs + untilMs;
    state.cancelAgain();
    state.cancelAgain = timers.after(untilMs, () => noteMayAsk(serverId));
    const turnMs = (MILLISECONDS_PER_SECOND * requesters) / Math.max(1e-3, limit?.perSecond ?? 1);
    const expectedMs = granted > 0 ? 0 : Math.max(roomInMs, turnMs / 2);
    fleet.permits.expectAt(serverId, nowMs + Math.min(LONGEST_EXPECTED_MS, expectedMs));
  }

  #noteMiss(serverId: string, number: number): void {
    const { fleet, timers, log, noteMayAsk } = this.#options;
    const state = this.#stateOf(serverId);
    if (state.open?.number !== number) return;
    const { granter, settle } = state.open;
    state.open = undefined;
    settle();
    const nowMs = timers.nowMs();
    const misses = (this.#misses.get(granter) ?? 0) + 1;
    this.#misses.set(granter, misses);
    if (misses >= MOST_MISSES) {
      this.#misses.delete(granter);
      this.#passedOverUntilMs.set(granter, nowMs + PASSED_OVER_MS);
      log.write(GATEWAY_EVENTS.limitGrantsSilent, { server: serverId, silent: granter });
    }
    const known = fleet.limits.of(serverId);
    const isUnconfirmed = known !== undefined && nowMs - known.reportedAtMs > UNCONFIRMED_MS;
    if (isUnconfirmed && !known.isFirstHand) this.#lapse(serverId, known.perSecond);
    else noteMayAsk(serverId);
  }

  #lapse(serverId: string, before: number): void {
    const { fleet, noteTold, daemon } = this.#options;
    fleet.limits.forget(serverId);
    noteTold(serverId, { kind: 'ended', before }, daemon);
  }

  #giveBackUnused(): void {
    const { fleet, timers } = this.#options;
    for (const { serverId, count, granter } of fleet.permits.takeExpired(timers.nowMs())) {
      this.returnPermits(serverId, granter, count);
    }
  }

  /** Gives back permits that were not used to the daemon that granted them. */
  returnPermits(serverId: string, granter: string, count: number): void {
    if (count === 0) return;
    this.#options.metrics.recordPermits('given-back', count);
    const message = this.#messageOf(serverId, { number: NO_NUMBER, wanted: 0, returned: count });
    this.#send(granter, message);
  }

  #send(granter: string, message: PermitRequestMessage): void {
    const { daemon, roster, grants, send } = this.#options;
    if (granter === daemon) {
      const answer = grants.answer(message);
      if (message.number !== NO_NUMBER) this.take(answer);
      return;
    }
    const peer = roster?.allPeers().find(({ name }) => name === granter);
    if (peer !== undefined) send([peer], message);
  }

  #messageOf(
    serverId: string,
    what: Pick<PermitRequestMessage, 'number' | 'wanted' | 'returned'>,
  ): PermitRequestMessage {
    const { daemon, fleet, timers } = this.#options;
    const nowMs = timers.nowMs();
    // Undefined where nothing is known: that is no word that the limit has ended.
    const limit = fleet.limits.advertisementOf(serverId, nowMs);
    const knownSinceMs = fleet.limits.of(serverId)?.knownSinceMs ?? nowMs;
    const sent = fleet.recentSends.of(serverId, nowMs);
    const unmetered = sent.map(({ atMs, count }) => ({ ageMs: nowMs - atMs, count }));
    const told = { limit, knownForMs: nowMs - knownSinceMs, unmetered };
    return { kind: 'limit-ask', daemon, serverId, ...what, ...told };
  }

  /** Undefined while it is not known which daemons there are. */
  #granterOf(serverId: string): string | undefined {
    const { daemon, roster, timers } = this.#options;
    if (roster === undefined) return daemon;
    if (!roster.hasList) return undefined;
    const nowMs = timers.nowMs();
    const names = [...roster.allPeers().map(({ name }) => name), daemon];
    const ranked = rankByRendezvous(`limit of ${serverId}`, names);
    const isHeard = (name: string) => (this.#passedOverUntilMs.get(name) ?? 0) <= nowMs;
    return ranked.find(isHeard) ?? ranked[0];
  }

  #stateOf(serverId: string): AskState {
    const known = this.#states.get(serverId);
    if (known !== undefined) return known;
    this.#dropEnded();
    const cancelAgain = () => undefined;
    const state = { open: undefined, againAtMs: Number.NEGATIVE_INFINITY, cancelAgain };
    this.#states.set(serverId, state);
    return state;
  }

  /** Of servers that name no limit any more. */
  #dropEnded(): void {
    const { limits } = this.#options.fleet;
    for (const [serverId, { open }] of this.#states) {
      if (open === undefined && limits.of(serverId) === undefined) this.#states.delete(serverId);
    }
  }
}
