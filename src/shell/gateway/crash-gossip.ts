/**
 * Advertises records of what crashes servers to the other daemons: a change goes to peers at once, and known
 * records go to one peer after another at a fixed interval, so that neither lost datagrams nor a network partition leave a
 * daemon without them for long.
 */
import {
  type CrashRecord,
  type CrashRecords,
  crashCollectors,
  isPartSubject,
  type PeerDaemon,
  type PeerRoster,
} from '../../core/gateway/index.js';
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
 * Budget for broadcasting records of requests that are not quarantined, and as much for those of parts. With 340 daemons it allows five at once and then one every
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
  readonly #requestBudget: ByteBudget;
  readonly #partBudget: ByteBudget;
  #peerIndex: number;
  #cancel: CancelTimer | undefined;

  constructor(options: CrashGossipOptions) {
    this.#options = options;
    this.#peerIndex = options.initialPeerIndex;
    this.#requestBudget = new ByteBudget(BROADCAST_BUDGET, options.timers);
    this.#partBudget = new ByteBudget(BROADCAST_BUDGET, options.timers);
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

  /**
   * Sends records at once: those that are quarantined or cleared to all peers, suspected parts to those who collect them,
   * and suspected requests to all peers as far as the budget allows.
   */
  broadcast(records: readonly CrashRecord[]): void {
    const allPeers = this.#options.roster.allPeers();
    const quarantined = records.filter(({ isQuarantined }) => isQuarantined);
    for (const record of quarantined) this.#send(allPeers, [record]);
    const others = records.filter(({ isQuarantined }) => !isQuarantined);
    const isSuspectedPart = ({ subject, crashes }: CrashRecord) =>
      isPartSubject(subject) && crashes.length > 0;
    this.#sendWithin(this.#partBudget, crashCollectors(allPeers), others.filter(isSuspectedPart));
    const toAll = others.filter((record) => !isSuspectedPart(record));
    this.#sendWithin(this.#requestBudget, allPeers, toAll);
  }

  /** Sends records in batches until the budget is spent. */
  #sendWithin(
    budget: ByteBudget,
    peers: readonly PeerDaemon[],
    records: readonly CrashRecord[],
  ): void {
    const bytesPerRecord = RECORD_BYTES * Math.max(1, peers.length);
    const affordable = Math.floor(BROADCAST_BUDGET.burstBytes / bytesPerRecord);
    const batchSize = Math.min(MAX_RECORDS_PER_MESSAGE, Math.max(1, affordable));
    for (let first = 0; first < records.length; first += batchSize) {
      const batch = records.slice(first, first + batchSize);
      if (!budget.tryTake(batch.length * bytesPerRecord)) return;
      this.#send(peers, batch);
    }
  }

  /** Requests and parts go in messages of their own: earlier releases pass over those of parts. */
  #send(peers: readonly PeerDaemon[], records: readonly CrashRecord[]): void {
    const exchange = this.#options.peers();
    const parts = records.filter(({ subject }) => isPartSubject(subject));
    const requests = records.filter(({ subject }) => !isPartSubject(subject));
    if (parts.length > 0) exchange?.sendMessage(peers, { kind: 'part-crashes', records: parts });
    if (requests.length > 0) exchange?.sendMessage(peers, { kind: 'crashes', records: requests });
  }

  #advertiseToNextPeer(): void {
    const { records, roster, timers } = this.#options;
    if (records.isEmpty) return;
    const batch = records.nextToAdvertise(MAX_RECORDS_PER_MESSAGE, timers.nowMs());
    const allPeers = roster.allPeers();
    const peer = allPeers[this.#peerIndex % Math.max(1, allPeers.length)];
    if (batch.length === 0 || peer === undefined) return;
    this.#peerIndex += 1;
    this.#send([peer], batch);
  }
}
