/**
 * Tells the other daemons of requests that end servers: all of them at once when something is new, and one of them after
 * the other all the time, so that neither lost datagrams nor a healed cut leave one out for long.
 */
import type { CrashRecord, CrashRecords, PeerRoster } from '../../core/gateway/index.js';
import { ByteBudget } from './byte-budget.js';
import type { PeerExchange } from './peer-exchange.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** A daemon hears one of the others about this often; six times before it counts as in touch again after a cut. */
const GAP_SHARE_OF_CONTACT = 1 / 6;
/** Records of one datagram, so that it stays within one packet. */
const MOST_RECORDS_TOLD = 8;
/** About a datagram's size, for the budget. */
const RECORD_BYTES = 150;
/**
 * Telling everyone at once of requests that are not quarantined: with 340 daemons five of them, then one in twelve seconds;
 * with nine, many. What is beyond is told one by one. Quarantined ones are always told: each has cost two servers.
 */
const BROADCAST_BUDGET = { bytesPerSecond: 4_096, burstBytes: 262_144 };

/** What telling needs. */
export interface CrashGossipOptions {
  readonly records: CrashRecords;
  readonly roster: Pick<PeerRoster, 'allPeers'>;
  /** Absent where this daemon tells no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** A number of this daemon's own, so that not all tell the same one first. */
  readonly initialPeerIndex: number;
  readonly contactMs: number;
  readonly timers: TimerService;
}

/** One daemon's telling. */
export class CrashGossip {
  readonly #options: CrashGossipOptions;
  readonly #budget: ByteBudget;
  #turn: number;
  #cancel: CancelTimer | undefined;

  constructor(options: CrashGossipOptions) {
    this.#options = options;
    this.#turn = options.initialPeerIndex;
    this.#budget = new ByteBudget(BROADCAST_BUDGET, options.timers);
  }

  start(): void {
    const { timers, contactMs } = this.#options;
    this.#cancel = timers.after(contactMs * GAP_SHARE_OF_CONTACT, () => {
      this.#tellNext();
      this.start();
    });
  }

  stop(): void {
    this.#cancel?.();
  }

  /** Tells everyone at once, as far as the budget goes. */
  broadcast(records: readonly CrashRecord[]): void {
    const allPeers = this.#options.roster.allPeers();
    const sendMessage = (told: readonly CrashRecord[]) =>
      this.#options.peers()?.sendMessage(allPeers, { kind: 'crashes', records: told });
    const quarantined = records.filter(({ isQuarantined }) => isQuarantined);
    for (const record of quarantined) sendMessage([record]);
    const others = records.filter(({ isQuarantined }) => !isQuarantined);
    const bytesOfRecord = RECORD_BYTES * Math.max(1, allPeers.length);
    const affordable = Math.floor(BROADCAST_BUDGET.burstBytes / bytesOfRecord);
    const step = Math.min(MOST_RECORDS_TOLD, Math.max(1, affordable));
    for (let first = 0; first < others.length; first += step) {
      const told = others.slice(first, first + step);
      if (!this.#budget.tryTake(told.length * bytesOfRecord)) return;
      sendMessage(told);
    }
  }

  #tellNext(): void {
    const { records, roster, peers, timers } = this.#options;
    if (records.isEmpty) return;
    const told = records.nextToAdvertise(MOST_RECORDS_TOLD, timers.nowMs());
    const allPeers = roster.allPeers();
    const peer = allPeers[this.#turn % Math.max(1, allPeers.length)];
    if (told.length === 0 || peer === undefined) return;
    this.#turn += 1;
    peers()?.sendMessage([peer], { kind: 'crashes', records: told });
  }
}
