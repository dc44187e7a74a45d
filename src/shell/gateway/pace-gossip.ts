/**
 * Exchanges observations of engine paces with other daemons. Each daemon sends its observations to the relay of its zone;
 * the relay sends those of its zone to the other relays, and what it knows to its zone. Where there is no relay, each
 * daemon sends its observations to all others. A daemon that starts queries another for all that it knows.
 *
 * Only the quality of engine choices depends on these messages: a lost one is lost evidence, and a daemon keeps what it
 * has received when its relay dies.
 */
import {
  type FleetPaces,
  PaceAdvertiser,
  type PeerDaemon,
  type PeerRoster,
  type ServicePaceSums,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { ByteBudget, datagramWireBytes } from './byte-budget.js';
import type { PaceMessage, PacePurpose } from './pace-message-fields.js';
import { encodePeerMessage, MAX_ENTRIES_PER_MESSAGE } from './peer-messages.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Observations within this interval go in one message. */
const ADVERTISE_INTERVAL_MS = 120;
/** 15% of the budgets for load reports (`peer-exchange.ts`): paces change much less often. */
const BUDGET = { bytesPerSecond: 614, burstBytes: 4_096 };
/** For answers to all starting daemons: those of a restarted zone receive theirs within a few seconds. */
const ANSWER_BUDGET = { bytesPerSecond: 32_768, burstBytes: 131_072 };
/** Queries of a starting daemon; after a missing or empty answer, the next one goes to another daemon. */
const MAX_QUERIES = 12;
/** Ticks between two queries. */
const TICKS_PER_QUERY = 4;
/** Changed paces that one upkeep logs; later ones log the rest, so no change is lost and the log is bounded. */
const MAX_CHANGES_LOGGED = 8;
/** Ticks between two upkeeps, which go through all engines and are not urgent. */
const TICKS_PER_UPKEEP = 8;
/** Shortest interval between two log lines on values that cannot be used. */
const IGNORED_LOG_INTERVAL_MS = 10_000;

/** Options of a `PaceGossip`. */
export interface PaceGossipOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly roster: Pick<
    PeerRoster,
    'isLarge' | 'changeRecipients' | 'otherRelays' | 'zonePeers' | 'allPeers'
  >;
  readonly paces: FleetPaces;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** Whether servers are listed; before that, no received pace can be used. */
  readonly isReady: () => boolean;
  readonly isRelay: () => boolean;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** Exchanges paces on behalf of one daemon. */
export class PaceGossip {
  readonly #options: PaceGossipOptions;
  readonly #seenBudget: ByteBudget;
  readonly #knownBudget: ByteBudget;
  readonly #answerBudget: ByteBudget;
  readonly #advertiser = new PaceAdvertiser();
  #queries = 0;
  #ticks = 0;
  #isAnswered = false;
  #ignored = 0;
  #ignoredLoggedMs = Number.NEGATIVE_INFINITY;
  #cancel: CancelTimer | undefined;

  constructor(options: PaceGossipOptions) {
    this.#options = options;
    const { timers } = options;
    this.#seenBudget = new ByteBudget(BUDGET, timers);
    this.#knownBudget = new ByteBudget(BUDGET, timers);
    this.#answerBudget = new ByteBudget(ANSWER_BUDGET, timers);
  }

  start(): void {
    if (!this.#options.paces.isOn) return;
    this.#cancel = this.#options.timers.after(ADVERTISE_INTERVAL_MS, () => {
      this.#tick();
      this.start();
    });
  }

  stop(): void {
    this.#cancel?.();
  }

  /** Handles a message of another daemon; `reply` sends an answer to it. */
  handleMessage(message: PaceMessage, reply: (answer: PaceMessage) => void): void {
    const { daemon, zone, paces, timers, isRelay } = this.#options;
    if (!paces.isOn || message.daemon === daemon) return;
    const nowMs = timers.nowMs();
    switch (message.purpose) {
      case 'seen': {
        const isRelayed = isRelay() && message.zone === zone;
        this.#recordIgnored(paces.addObserved(message.services, isRelayed, nowMs), message.daemon);
        return;
      }
      case 'known':
      case 'answered':
        this.#recordIgnored(paces.applyKnown(message.services, nowMs), message.daemon);
        if (message.purpose === 'answered') this.#recordAnswer(message);
        return;
      case 'asked':
        this.#answer(reply);
        return;
    }
  }

  #tick(): void {
    const { paces, timers, isRelay } = this.#options;
    const nowMs = timers.nowMs();
    this.#ticks += 1;
    this.#queryUntilAnswered();
    this.#advertiseObserved(nowMs);
    if (isRelay()) this.#advertiseKnown(nowMs);
    if (this.#ticks % TICKS_PER_UPKEEP !== 0) return;
    paces.refresh(nowMs);
    this.#advertiser.retain(paces.known(nowMs));
    this.#logChanges();
  }

  #logChanges(): void {
    const { paces, log } = this.#options;
    for (const { engineId, pace, before } of paces.takeChanges(MAX_CHANGES_LOGGED)) {
      const fields = { server: engineId, pace: rounded(pace), before: rounded(before) };
      log.write(GATEWAY_EVENTS.enginePaceChanged, fields);
    }
  }

  /** Sends what this daemon observed and, as a relay, what its zone did. */
  #advertiseObserved(nowMs: number): void {
    const { paces, roster, isRelay } = this.#options;
    const peers = isRelay() ? roster.otherRelays(nowMs) : roster.changeRecipients(nowMs);
    const observed = paces.unadvertised(MAX_ENTRIES_PER_MESSAGE);
    if (observed.length === 0) return;
    const bytes = this.#encode('seen', observed);
    // A relay may spend the budget on each other relay, as these receive from one daemon per zone only.
    const copies = isRelay() ? 1 : peers.length;
    if (peers.length > 0 && !this.#seenBudget.tryTake(datagramWireBytes(bytes) * copies)) return;
    paces.markAdvertised(observed);
    this.#options.send(peers, bytes);
  }

  /** Sends the zone what has changed, as its relay. */
  #advertiseKnown(nowMs: number): void {
    const { paces, roster } = this.#options;
    const known = paces.known(nowMs);
    const changed = this.#advertiser.next(known, MAX_ENTRIES_PER_MESSAGE, nowMs);
    if (changed.length === 0) return;
    const bytes = this.#encode('known', changed);
    if (!this.#knownBudget.tryTake(datagramWireBytes(bytes))) return;
    this.#advertiser.markAdvertised(changed, nowMs);
    this.#options.send(roster.zonePeers(), bytes);
  }

  /** A daemon that starts queries its zone's relay first, then one daemon of its zone after another, then all others. */
  #queryUntilAnswered(): void {
    const { roster, isReady, timers, send } = this.#options;
    const isOver = this.#isAnswered || this.#queries >= MAX_QUERIES;
    if (isOver || !isReady() || this.#ticks % TICKS_PER_QUERY !== 1) return;
    const relays = roster.isLarge ? roster.changeRecipients(timers.nowMs()) : [];
    const peers = [...relays, ...roster.zonePeers(), ...roster.allPeers()];
    const peer = peers[this.#queries % Math.max(1, peers.length)];
    if (peer === undefined) return;
    this.#queries += 1;
    send([peer], this.#encode('asked', []));
  }

  #answer(reply: (answer: PaceMessage) => void): void {
    const { daemon, zone, paces, timers } = this.#options;
    for (const services of splitIntoMessages(paces.known(timers.nowMs()))) {
      const message: PaceMessage = { daemon, zone, purpose: 'answered', services };
      const bytes = encodePeerMessage({ kind: 'paces', message });
      if (!this.#answerBudget.tryTake(datagramWireBytes(bytes))) return;
      reply(message);
    }
  }

  #recordAnswer({ daemon, services }: PaceMessage): void {
    if (this.#isAnswered || services.every(({ line }) => line === undefined)) return;
    this.#isAnswered = true;
    const engines = services.reduce((sum, service) => sum + service.engines.length, 0);
    this.#options.log.write(GATEWAY_EVENTS.pacesHeard, { by: daemon, engines });
  }

  #recordIgnored(count: number, by: string): void {
    this.#ignored += count;
    const { timers, log } = this.#options;
    const nowMs = timers.nowMs();
    if (this.#ignored === 0 || nowMs - this.#ignoredLoggedMs < IGNORED_LOG_INTERVAL_MS) return;
    log.write(GATEWAY_EVENTS.pacesIgnored, { by, count: this.#ignored });
    this.#ignored = 0;
    this.#ignoredLoggedMs = nowMs;
  }

  #encode(purpose: PacePurpose, services: readonly ServicePaceSums[]): Buffer {
    const { daemon, zone } = this.#options;
    return encodePeerMessage({
      kind: 'paces',
      message: { daemon, zone, purpose, services },
    });
  }
}

/** Splits paces into messages of one packet each; the line goes with the first message of its service. */
function splitIntoMessages(
  known: readonly ServicePaceSums[],
): readonly (readonly ServicePaceSums[])[] {
  return known.flatMap(({ service, line, engines }) => {
    const parts: ServicePaceSums[][] = [];
    for (let first = 0; first === 0 || first < engines.length; first += MAX_ENTRIES_PER_MESSAGE) {
      const part = engines.slice(first, first + MAX_ENTRIES_PER_MESSAGE);
      parts.push([{ service, line: first === 0 ? line : undefined, engines: part }]);
    }
    return parts;
  });
}

function rounded(pace: number): number {
  return Math.round(pace * 100) / 100;
}
