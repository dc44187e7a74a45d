/**
 * What the relay of a zone does: it sums up the work that its zone tells it, tells the relays of the other
 * zones that sum, and its own zone the sum over all zones; and it says how far it has seen the store's
 * tables change. So each daemon tells one other of its work, however many zones there are, and a relay
 * hears its own zone and one message for each other zone.
 */
import {
  type AdvertisedSums,
  DigestSchedule,
  type EngineWork,
  type LoadReport,
  type LoadSums,
  type PeerDaemon,
  type PeerLoads,
  type PeerRoster,
  type ReachabilityNotice,
  ReachabilityNoticeFilter,
  type ReadNotice,
  type ServiceDemand,
  SumsAdvertiser,
  type TableDigest,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { type ByteBudget, datagramWireBytes } from './byte-budget.js';
import { encodePeerMessage, MAX_ENTRIES_PER_MESSAGE } from './peer-messages.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** A relay tells what has changed this often. */
const RELAY_GAP_MS = 60;
/** Others look this often whether they are the relay now. */
const ROLE_CHECK_MS = 240;
/**
 * What the parts of a message take of a link, rounded up: a head with the demand of some services, an engine's work, a
 * read that began, a server that fell silent.
 */
const BYTES_OF_HEAD = 160;
const BYTES_OF_ENTRY = 16;
const BYTES_OF_READ = 28;
const BYTES_OF_REACH = 48;
/** More reads than these are told too late to be of use: the newest stay. */
const MOST_PENDING_READS = 64;
/** With fewer engines to a message most of its bytes would be its head. */
const LEAST_ENTRIES = 12;

/** What daemons tell once, beside their work: reads that began, servers that fell silent or are back. */
export interface PeerNotices {
  readonly reads: readonly ReadNotice[];
  readonly reach: readonly ReachabilityNotice[];
}

/** Sums with what is told beside them. */
type SumsMessage = AdvertisedSums & PeerNotices & Pick<LoadSums, 'demand'>;

export const NO_NOTICES: PeerNotices = { reads: [], reach: [] };

/** News that are collected until they are told. */
interface PendingNews {
  readonly reads: ReadNotice[];
  readonly reach: ReachabilityNotice[];
}

/** Who is told sums, and what. */
interface SumsAudience {
  readonly peers: readonly PeerDaemon[];
  readonly budget: ByteBudget;
  readonly sums: SumsAdvertiser;
  readonly totals: () => readonly EngineWork[];
  readonly news: PendingNews;
  readonly demand: () => readonly ServiceDemand[];
}

/** What a relay's duty is built from. */
export interface RelayDutyOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly roster: PeerRoster;
  readonly loads: Pick<
    PeerLoads,
    'applyZoneSums' | 'totals' | 'zoneTotals' | 'totalDemand' | 'zoneDemand'
  >;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** This daemon's work at this moment. */
  readonly ownWork: () => LoadReport['work'];
  /** What this daemon was asked for lately. */
  readonly ownDemand: () => readonly ServiceDemand[];
  /** What this daemon has seen of the store's tables. */
  readonly tableDigest: () => Omit<TableDigest, 'peersChecksum'>;
  /** Told when this daemon becomes its zone's relay, or no longer is. */
  readonly onRelayChange: (isRelay: boolean) => void;
  readonly nextSequence: () => number;
  /** Bytes that may be sent to each daemon of the own zone. */
  readonly zoneBudget: ByteBudget;
  /** Bytes that may be sent to the relay of each other zone. */
  readonly relaysBudget: ByteBudget;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** The daemon's part as a relay; it looks by itself whether it is one. */
export class RelayDuty {
  readonly #options: RelayDutyOptions;
  readonly #sums = new SumsAdvertiser();
  readonly #zoneSums = new SumsAdvertiser();
  readonly #digestSchedule = new DigestSchedule();
  readonly #zoneReach = new ReachabilityNoticeFilter();
  readonly #otherReach = new ReachabilityNoticeFilter();
  /** What is still to be told to the own zone: its own news, and those of other zones. */
  readonly #newsForZone: PendingNews = { reads: [], reach: [] };
  /** What is still to be told to the other relays. */
  readonly #newsForRelays: PendingNews = { reads: [], reach: [] };
  #cancelTick: CancelTimer | undefined;
  #isRelay = false;

  constructor(options: RelayDutyOptions) {
    this.#options = options;
  }

  get isRelay(): boolean {
    return this.#isRelay;
  }

  start(): void {
    const { timers, roster } = this.#options;
    this.#cancelTick = timers.after(this.#isRelay ? RELAY_GAP_MS : ROLE_CHECK_MS, () => {
      this.#noteRole(roster.isRelay(timers.nowMs()));
      if (this.#isRelay) {
        this.#tellSums();
        this.#tellTables();
      }
      this.start();
    });
  }

  stop(): void {
    this.#cancelTick?.();
  }

  /** News of this daemon, or of one of its zone. */
  forward({ reads, reach }: PeerNotices): void {
    const newReach = this.#zoneReach.take(reach, this.#options.timers.nowMs());
    const news = { reads, reach: newReach };
    addNews(this.#newsForZone, news);
    addNews(this.#newsForRelays, news);
  }

  /** The sums of another zone, from its relay. */
  applySums(zone: string, sums: LoadSums): void {
    if (!this.#isRelay) return;
    const nowMs = this.#options.timers.nowMs();
    const reach = this.#otherReach.take(sums.reach, nowMs);
    addNews(this.#newsForZone, { reads: sums.reads, reach });
    this.#options.loads.applyZoneSums(zone, sums, nowMs);
  }

  #noteRole(isRelay: boolean): void {
    if (this.#isRelay === isRelay) return;
    this.#isRelay = isRelay;
    clearNews(this.#newsForZone);
    clearNews(this.#newsForRelays);
    this.#options.onRelayChange(isRelay);
    const { zone, log, roster } = this.#options;
    log.write(GATEWAY_EVENTS.roleInFleet, { zone, isRelay, daemons: roster.daemonCount });
  }

  #tellTables(): void {
    const { daemon, zone, roster, timers, tableDigest, send } = this.#options;
    const nowMs = timers.nowMs();
    const digest = { ...tableDigest(), peersChecksum: roster.checksum };
    const audience = this.#digestSchedule.next(digest, nowMs);
    if (audience === 'nobody') return;
    const bytes = encodePeerMessage({ kind: 'tables', relay: daemon, zone, digest });
    // Relays tell each other which version they have: one that believes a stale read learns it from them.
    const zoneAndRelays = [...roster.zonePeers(), ...roster.otherRelays(nowMs)];
    send(audience === 'everyone' ? roster.allPeers() : zoneAndRelays, bytes);
  }

  #tellSums(): void {
    const { loads, ownWork, ownDemand, roster, timers } = this.#options;
    const nowMs = timers.nowMs();
    const own = ownWork();
    const demand = ownDemand();
    this.#tell({
      peers: roster.zonePeers(),
      budget: this.#options.zoneBudget,
      sums: this.#sums,
      totals: () => loads.totals(own, nowMs),
      news: this.#newsForZone,
      demand: () => loads.totalDemand(demand, nowMs),
    });
    this.#tell({
      peers: roster.otherRelays(nowMs),
      budget: this.#options.relaysBudget,
      sums: this.#zoneSums,
      totals: () => loads.zoneTotals(own, nowMs),
      news: this.#newsForRelays,
      demand: () => loads.zoneDemand(demand, nowMs),
    });
  }

  /** Tells an audience what there are bytes for; what there are none for is told later, as it is then. */
  #tell({ peers, budget, sums, totals, news, demand }: SumsAudience): void {
    const newsBytes = news.reads.length * BYTES_OF_READ + news.reach.length * BYTES_OF_REACH;
    const maxEntries = Math.floor(
      (budget.availableBytes - BYTES_OF_HEAD - newsBytes) / BYTES_OF_ENTRY,
    );
    if (maxEntries < LEAST_ENTRIES) return;
    const told = sums.next(totals(), this.#options.timers.nowMs(), maxEntries);
    this.#sendSums(peers, budget, { ...told, ...news, demand: demand() });
    clearNews(news);
  }

  #sendSums(peers: readonly PeerDaemon[], budget: ByteBudget, told: SumsMessage): void {
    const { work, reads, reach, isComplete } = told;
    if (!isComplete && work.length === 0 && reads.length === 0 && reach.length === 0) return;
    for (let first = 0; first === 0 || first < work.length; first += MAX_ENTRIES_PER_MESSAGE) {
      const part = work.slice(first, first + MAX_ENTRIES_PER_MESSAGE);
      const message = first === 0 ? told : { ...told, ...NO_NOTICES, isComplete: false };
      const bytes = this.#encodeSums({ ...message, work: part });
      budget.take(datagramWireBytes(bytes));
      this.#options.send(peers, bytes);
    }
  }

  #encodeSums(told: SumsMessage): Buffer {
    const { daemon, zone, incarnation, nextSequence } = this.#options;
    const sums = { relay: daemon, incarnation, sequence: nextSequence(), ...told };
    return encodePeerMessage({ kind: 'sums', zone, sums });
  }
}

function addNews(pending: PendingNews, { reads, reach }: PeerNotices): void {
  pending.reads.push(...reads);
  pending.reach.push(...reach);
  const tooMany = pending.reads.length - MOST_PENDING_READS;
  if (tooMany > 0) pending.reads.splice(0, tooMany);
}

/** What was told, or was to be told by a daemon that is no relay any more. */
function clearNews(pending: PendingNews): void {
  pending.reads.length = 0;
  pending.reach.length = 0;
}
