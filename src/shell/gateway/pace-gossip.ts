/**
 * Tells other daemons what was seen of engines' paces, and hears of theirs. Each tells the relay of its zone what
 * it saw; the relay tells the other relays what its zone saw, and its zone what it knows. Where there is no relay
 * everyone tells everyone. A daemon that starts asks for all that is known.
 *
 * Nothing but the quality of a choice depends on these messages: what is lost is evidence, and what a daemon has
 * heard it keeps when its relay dies.
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

/** What was seen within this time goes in one message. */
const TELL_GAP_MS = 120;
/** 15% of the budgets for telling of work (`peer-exchange.ts`): paces change much less often. */
const BUDGET = { bytesPerSecond: 614, burstBytes: 4_096 };
/** Answers to daemons that start, in all: a zone that is started again hears within a few seconds. */
const ANSWER_BUDGET = { bytesPerSecond: 32_768, burstBytes: 131_072 };
/** An answer that holds nothing, or none, is asked for again so often, each time of another daemon. */
const MOST_QUESTIONS = 12;
/** Questions are this many looks apart. */
const LOOKS_PER_QUESTION = 4;
/** Changes of belief that are written at once: one at a time tells as much, and the log is bounded. */
const MOST_CHANGES_LOGGED = 8;
/** Looks between two at what concerns all engines at once and has no hurry. */
const LOOKS_PER_UPKEEP = 8;
/** What cannot be used is counted for so long before a line tells of it. */
const IGNORED_GAP_MS = 10_000;

/** What a teller is built from. */
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
  /** Whether servers are listed, without which nothing that is told can be used. */
  readonly isReady: () => boolean;
  readonly isRelay: () => boolean;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** One daemon's telling of paces. */
export class PaceGossip {
  readonly #options: PaceGossipOptions;
  readonly #seenBudget: ByteBudget;
  readonly #knownBudget: ByteBudget;
  readonly #answerBudget: ByteBudget;
  readonly #toTell = new PaceAdvertiser();
  #questions = 0;
  #looks = 0;
  #isAnswered = false;
  #ignored = 0;
  #ignoredToldMs = Number.NEGATIVE_INFINITY;
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
    this.#cancel = this.#options.timers.after(TELL_GAP_MS, () => {
      this.#look();
      this.start();
    });
  }

  stop(): void {
    this.#cancel?.();
  }

  /** Takes what another daemon tells; `reply` goes back to it. */
  handleMessage(message: PaceMessage, reply: (answer: PaceMessage) => void): void {
    const { daemon, zone, paces, timers, isRelay } = this.#options;
    if (!paces.isOn || message.daemon === daemon) return;
    const nowMs = timers.nowMs();
    switch (message.purpose) {
      case 'seen': {
        const isRelayed = isRelay() && message.zone === zone;
        this.#noteIgnored(paces.addObserved(message.services, isRelayed, nowMs), message.daemon);
        return;
      }
      case 'known':
      case 'answered':
        this.#noteIgnored(paces.applyKnown(message.services, nowMs), message.daemon);
        if (message.purpose === 'answered') this.#noteAnswer(message);
        return;
      case 'asked':
        this.#answer(reply);
        return;
    }
  }

  #look(): void {
    const { paces, timers, isRelay } = this.#options;
    const nowMs = timers.nowMs();
    this.#looks += 1;
    this.#askIfNew();
    this.#tellSeen(nowMs);
    if (isRelay()) this.#tellKnown(nowMs);
    if (this.#looks % LOOKS_PER_UPKEEP !== 0) return;
    paces.refresh(nowMs);
    this.#toTell.retain(paces.known(nowMs));
    this.#logChanges();
  }

  #logChanges(): void {
    const { paces, log } = this.#options;
    for (const { engineId, pace, before } of paces.takeChanges(MOST_CHANGES_LOGGED)) {
      const fields = { server: engineId, pace: rounded(pace), before: rounded(before) };
      log.write(GATEWAY_EVENTS.enginePaceChanged, fields);
    }
  }

  /** What this daemon saw, and as a relay what its zone did. */
  #tellSeen(nowMs: number): void {
    const { paces, roster, isRelay } = this.#options;
    const peers = isRelay() ? roster.otherRelays(nowMs) : roster.changeRecipients(nowMs);
    const seen = paces.unadvertised(MAX_ENTRIES_PER_MESSAGE);
    if (seen.length === 0) return;
    const bytes = this.#encode('seen', seen);
    // A relay has a budget for each other relay, as these hear of each zone from one daemon only.
    const copies = isRelay() ? 1 : peers.length;
    if (peers.length > 0 && !this.#seenBudget.tryTake(datagramWireBytes(bytes) * copies)) return;
    paces.markAdvertised(seen);
    this.#options.send(peers, bytes);
  }

  /** As the relay of a zone, what has changed. */
  #tellKnown(nowMs: number): void {
    const { paces, roster } = this.#options;
    const known = paces.known(nowMs);
    const told = this.#toTell.next(known, MAX_ENTRIES_PER_MESSAGE, nowMs);
    if (told.length === 0) return;
    const bytes = this.#encode('known', told);
    if (!this.#knownBudget.tryTake(datagramWireBytes(bytes))) return;
    this.#toTell.markAdvertised(told, nowMs);
    this.#options.send(roster.zonePeers(), bytes);
  }

  /** A daemon that starts asks its zone's relay first, and then one daemon of its zone after the other. */
  #askIfNew(): void {
    const { roster, isReady, timers, send } = this.#options;
    const isOver = this.#isAnswered || this.#questions >= MOST_QUESTIONS;
    if (isOver || !isReady() || this.#looks % LOOKS_PER_QUESTION !== 1) return;
    const relays = roster.isLarge ? roster.changeRecipients(timers.nowMs()) : [];
    const peers = [...relays, ...roster.zonePeers(), ...roster.allPeers()];
    const asked = peers[this.#questions % Math.max(1, peers.length)];
    if (asked === undefined) return;
    this.#questions += 1;
    send([asked], this.#encode('asked', []));
  }

  #answer(reply: (answer: PaceMessage) => void): void {
    const { daemon, zone, paces, timers } = this.#options;
    for (const services of inParts(paces.known(timers.nowMs()))) {
      const message: PaceMessage = { daemon, zone, purpose: 'answered', services };
      const bytes = encodePeerMessage({ kind: 'paces', message });
      if (!this.#answerBudget.tryTake(datagramWireBytes(bytes))) return;
      reply(message);
    }
  }

  #noteAnswer({ daemon, services }: PaceMessage): void {
    if (this.#isAnswered || services.every(({ line }) => line === undefined)) return;
    this.#isAnswered = true;
    const engines = services.reduce((sum, service) => sum + service.engines.length, 0);
    this.#options.log.write(GATEWAY_EVENTS.pacesHeard, { by: daemon, engines });
  }

  #noteIgnored(count: number, by: string): void {
    this.#ignored += count;
    const { timers, log } = this.#options;
    const nowMs = timers.nowMs();
    if (this.#ignored === 0 || nowMs - this.#ignoredToldMs < IGNORED_GAP_MS) return;
    log.write(GATEWAY_EVENTS.pacesIgnored, { by, count: this.#ignored });
    this.#ignored = 0;
    this.#ignoredToldMs = nowMs;
  }

  #encode(purpose: PacePurpose, services: readonly ServicePaceSums[]): Buffer {
    const { daemon, zone } = this.#options;
    return encodePeerMessage({
      kind: 'paces',
      message: { daemon, zone, purpose, services },
    });
  }
}

/** Messages of one packet each; the line goes with the first of its service. */
function inParts(known: readonly ServicePaceSums[]): readonly (readonly ServicePaceSums[])[] {
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
