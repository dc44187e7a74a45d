/**
 * Advertises records of requests that crash servers to the other daemons: a change goes to all peers at once, and known
 * records go to one peer after another at a fixed interval, so that neither lost datagrams nor a network partition leave a
 * daemon without them for long.
 */
import type { CrashRecord, CrashRecords, PeerRoster } from '../../core/gateway/index.js';
import { ByteBudget } from './byte-budget.js';
import type { PeerExchange } from './peer-exchange.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/**
 * Interval between advertisements, as a share of the contact time. Each daemon receives about one in this interval, and so
 * about six before it counts as in contact again after a partition.
 */
const INTERVAL_SHARE_OF_CONTACT = 1 / 6;
/** Keeps a datagram within one packet. */
const MAX_RECORDS_PER_MESSAGE = 8;
/** Approximate size of a record's datagram, for the budget. */
const RECORD_BYTES = 150;
/**
 * Budget for broadcasting records that are not quarantined. With 340 daemons it allows five at once and then one every
 * twelve seconds, with nine daemons many. Records beyond it reach the peers one by one. Quarantined ones are always
 * broadcast: each has cost two servers.
 */
const BROADCAST_BUDGET = { bytesPerSecond: 4_096, burstBytes: 262_144 };

/** Options of a `CrashGossip`. */
export interface CrashGossipOptions {
  readonly records: CrashRecords;
  readonly roster: Pick<PeerRoster, 'allPeers'>;
  /** Returns undefined where this daemon sends to no others. */
  readonly peers: () => Pick<PeerExchange, 'sendMessage'> | undefined;
  /** Differs between daemons, so that not all start with the same peer. */
  readonly initialPeerIndex: number;
  readonly contactMs: number;
  readonly timers: TimerService;
}

/** Advertises the crash records of one daemon. */
export class CrashGossip {
  readonly #options: CrashGossipOptions;
  readonly #budget: ByteBudget;
  #peerIndex: number;
  #cancel: CancelTimer | undefined;

  constructor(options: CrashGossipOptions) {
    this.#options = options;
    this.#peerIndex = options.initialPeerIndex;
    this.#budget = new ByteBudget(BROADCAST_BUDGET, options.timers);
  }

  start(): void {
    const { timers, contactMs } = this.#options;
    this.#cancel = timers.after(contactMs * INTERVAL_SHARE_OF_CONTACT, () => {
      this.#advertiseToNextPeer();
      this.start();
    });
  }

  stop(): void {
    this.#cancel?.();
  }

  /** Sends records to all peers at once, as far as the budget allows. */
  broadcast(records: readonly CrashRecord[]): void {
    const allPeers = this.#options.roster.allPeers();
    const sendMessage = (batch: readonly CrashRecord[]) =>
      this.#options.peers()?.sendMessage(allPeers, { kind: 'crashes', records: batch });
    const quarantined = records.filter(({ isQuarantined }) => isQuarantined);
    for (const record of quarantined) sendMessage([record]);
    const others = records.filter(({ isQuarantined }) => !isQuarantined);
    const broadcastBytes = RECORD_BYTES * Math.max(1, allPeers.length);
    const affordable = Math.floor(BROADCAST_BUDGET.burstBytes / broadcastBytes);
    const batchSize = Math.min(MAX_RECORDS_PER_MESSAGE, Math.max(1, affordable));
    for (let first = 0; first < others.length; first += batchSize) {
      const batch = others.slice(first, first + batchSize);
      if (!this.#budget.tryTake(batch.length * broadcastBytes)) return;
      sendMessage(batch);
    }
  }

  #advertiseToNextPeer(): void {
    const { records, roster, peers, timers } = this.#options;
    if (records.isEmpty) return;
    const batch = records.nextToAdvertise(MAX_RECORDS_PER_MESSAGE, timers.nowMs());
    const allPeers = roster.allPeers();
    const peer = allPeers[this.#peerIndex % Math.max(1, allPeers.length)];
    if (batch.length === 0 || peer === undefined) return;
    this.#peerIndex += 1;
    peers()?.sendMessage([peer], { kind: 'crashes', records: batch });
  }
}
