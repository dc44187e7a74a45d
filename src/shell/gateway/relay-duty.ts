/**
 * The duty of a zone's relay. It sums up the load reports of its zone, sends these sums to the relays of the other
 * zones and the sums over all zones to its own zone, and sends digests of the store's tables. Each daemon thus reports
 * its load to one other daemon, however many zones there are, and a relay receives the reports of its own zone and one
 * stream of sums for each other zone.
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
  RELAY_INTERVAL_MS,
  type ReachabilityNotice,
  ReachabilityNoticeFilter,
  type ReadNotice,
  type SendStamp,
  type ServiceDemand,
  SumsAdvertiser,
  type TableDigest,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { type ByteBudget, datagramWireBytes } from './byte-budget.js';
import { encodePeerMessage, MAX_ENTRIES_PER_MESSAGE } from './peer-messages.js';
import type { GatewayLog } from './request-log.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** The interval at which other daemons check whether they have become the relay. */
const ROLE_CHECK_MS = 240;
/**
 * The bytes that parts of a message take on the link, rounded up: a header with the demand of some services, the work
 * at one engine, a notice of a started read, and a reachability notice.
 */
const HEADER_BYTES = 160;
const ENTRY_BYTES = 16;
const READ_NOTICE_BYTES = 28;
const REACHABILITY_NOTICE_BYTES = 48;
/** Pending read notices; beyond this number the oldest are dropped, as they would arrive too late to be of use. */
const MAX_PENDING_READS = 64;
/** A message waits until it can hold this many engines; with fewer, most of its bytes would be the header. */
const MIN_ENTRIES = 12;

/** Notices that a daemon sends once, with its load: started reads, and servers that became unreachable or reachable. */
export interface PeerNotices {
  readonly reads: readonly ReadNotice[];
  readonly reach: readonly ReachabilityNotice[];
}

/** Sums with the notices and the demand that are sent in the same message. */
type SumsMessage = AdvertisedSums & PeerNotices & Pick<LoadSums, 'demand'>;

export const NO_NOTICES: PeerNotices = { reads: [], reach: [] };

/** Notices that are collected until the next message. */
interface PendingNotices {
  readonly reads: ReadNotice[];
  readonly reach: ReachabilityNotice[];
}

/** The receivers of sums, and what they are sent. */
interface SumsAudience {
  readonly peers: readonly PeerDaemon[];
  readonly budget: ByteBudget;
  readonly sums: SumsAdvertiser;
  readonly totals: () => readonly EngineWork[];
  readonly notices: PendingNotices;
  readonly demand: () => readonly ServiceDemand[];
}

/** Dependencies and settings of a `RelayDuty`. */
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
  /** This daemon's clock, for a message that is sent now. */
  readonly stamp: () => SendStamp;
  /** This daemon's current work at engines. */
  readonly ownWork: () => LoadReport['work'];
  /** The recent demand of requests at this daemon. */
  readonly ownDemand: () => readonly ServiceDemand[];
  /** This daemon's digest of the store's tables. */
  readonly tableDigest: () => Omit<TableDigest, 'peersChecksum'>;
  /** Called when this daemon becomes its zone's relay or stops being it. */
  readonly onRelayChange: (isRelay: boolean) => void;
  readonly nextSequence: () => number;
  /** Limits the bytes that are sent to each daemon of the own zone. */
  readonly zoneBudget: ByteBudget;
  /** Limits the bytes that are sent to the relay of each other zone. */
  readonly relaysBudget: ByteBudget;
  readonly send: (peers: readonly PeerDaemon[], bytes: Buffer) => void;
}

/** Runs the relay's duty while this daemon is the relay, which it checks itself. */
export class RelayDuty {
  readonly #options: RelayDutyOptions;
  readonly #sums = new SumsAdvertiser();
  readonly #zoneSums = new SumsAdvertiser();
  readonly #digestSchedule = new DigestSchedule();
  readonly #zoneReach = new ReachabilityNoticeFilter();
  readonly #otherReach = new ReachabilityNoticeFilter();
  /** Notices to be sent to the own zone: its own, and those of other zones. */
  readonly #noticesForZone: PendingNotices = { reads: [], reach: [] };
  /** Notices to be sent to the other relays. */
  readonly #noticesForRelays: PendingNotices = { reads: [], reach: [] };
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
    this.#cancelTick = timers.after(this.#isRelay ? RELAY_INTERVAL_MS : ROLE_CHECK_MS, () => {
      this.#updateRole(roster.isRelay(timers.nowMs()));
      if (this.#isRelay) {
        this.#sendSums();
        this.#sendDigest();
      }
      this.start();
    });
  }

  stop(): void {
    this.#cancelTick?.();
  }

  /** Forwards the notices of this daemon or of another one of its zone. */
  forward({ reads, reach }: PeerNotices): void {
    const newReach = this.#zoneReach.filterNew(reach, this.#options.timers.nowMs());
    const notices = { reads, reach: newReach };
    addNotices(this.#noticesForZone, notices);
    addNotices(this.#noticesForRelays, notices);
  }

  /** Applies the sums of another zone, from its relay. */
  applySums(zone: string, sums: LoadSums): void {
    if (!this.#isRelay) return;
    const nowMs = this.#options.timers.nowMs();
    const reach = this.#otherReach.filterNew(sums.reach, nowMs);
    addNotices(this.#noticesForZone, { reads: sums.reads, reach });
    this.#options.loads.applyZoneSums(zone, sums, nowMs);
  }

  #updateRole(isRelay: boolean): void {
    if (this.#isRelay === isRelay) return;
    this.#isRelay = isRelay;
    clearNotices(this.#noticesForZone);
    clearNotices(this.#noticesForRelays);
    this.#options.onRelayChange(isRelay);
    const { zone, log, roster } = this.#options;
    log.write(GATEWAY_EVENTS.roleInFleet, { zone, isRelay, daemons: roster.daemonCount });
  }

  #sendDigest(): void {
    const { daemon, zone, roster, timers, tableDigest, stamp, send } = this.#options;
    const nowMs = timers.nowMs();
    const digest = { ...tableDigest(), peersChecksum: roster.checksum };
    const audience = this.#digestSchedule.next(digest, nowMs);
    if (audience === 'nobody') return;
    const message = { kind: 'tables', relay: daemon, zone, digest, stamp: stamp() } as const;
    const bytes = encodePeerMessage(message);
    // Other relays receive the digest for its configuration version: a relay that has accepted a stale read learns from
    // it that there is a newer one.
    const zoneAndRelays = [...roster.zonePeers(), ...roster.otherRelays(nowMs)];
    send(audience === 'everyone' ? roster.allPeers() : zoneAndRelays, bytes);
  }

  #sendSums(): void {
    const { loads, ownWork, ownDemand, roster, timers } = this.#options;
    const nowMs = timers.nowMs();
    const own = ownWork();
    const demand = ownDemand();
    this.#sendWithinBudget({
      peers: roster.zonePeers(),
      budget: this.#options.zoneBudget,
      sums: this.#sums,
      totals: () => loads.totals(own, nowMs),
      notices: this.#noticesForZone,
      demand: () => loads.totalDemand(demand, nowMs),
    });
    this.#sendWithinBudget({
      peers: roster.otherRelays(nowMs),
      budget: this.#options.relaysBudget,
      sums: this.#zoneSums,
      totals: () => loads.zoneTotals(own, nowMs),
      notices: this.#noticesForRelays,
      demand: () => loads.zoneDemand(demand, nowMs),
    });
  }

  /** Sends as much as the byte budget allows; the rest is sent later, with its values of that time. */
  #sendWithinBudget({ peers, budget, sums, totals, notices, demand }: SumsAudience): void {
    const noticesBytes =
      notices.reads.length * READ_NOTICE_BYTES + notices.reach.length * REACHABILITY_NOTICE_BYTES;
    const maxEntries = Math.floor(
      (budget.availableBytes - HEADER_BYTES - noticesBytes) / ENTRY_BYTES,
    );
    if (maxEntries < MIN_ENTRIES) return;
    const payload = sums.next(totals(), this.#options.timers.nowMs(), maxEntries);
    this.#sendMessages(peers, budget, { ...payload, ...notices, demand: demand() });
    clearNotices(notices);
  }

  #sendMessages(peers: readonly PeerDaemon[], budget: ByteBudget, payload: SumsMessage): void {
    const { work, reads, reach, isComplete } = payload;
    if (!isComplete && work.length === 0 && reads.length === 0 && reach.length === 0) return;
    for (let first = 0; first === 0 || first < work.length; first += MAX_ENTRIES_PER_MESSAGE) {
      const part = work.slice(first, first + MAX_ENTRIES_PER_MESSAGE);
      const message = first === 0 ? payload : { ...payload, ...NO_NOTICES, isComplete: false };
      const bytes = this.#encodeSums({ ...message, work: part });
      budget.take(datagramWireBytes(bytes));
      this.#options.send(peers, bytes);
    }
  }

  #encodeSums(payload: SumsMessage): Buffer {
    const { daemon, zone, incarnation, nextSequence } = this.#options;
    const sums = { relay: daemon, incarnation, sequence: nextSequence(), ...payload };
    return encodePeerMessage({ kind: 'sums', zone, sums });
  }
}

function addNotices(pending: PendingNotices, { reads, reach }: PeerNotices): void {
  pending.reads.push(...reads);
  pending.reach.push(...reach);
  const tooMany = pending.reads.length - MAX_PENDING_READS;
  if (tooMany > 0) pending.reads.splice(0, tooMany);
}

/** Drops notices that were sent, or that are no longer this daemon's to send. */
function clearNotices(pending: PendingNotices): void {
  pending.reads.length = 0;
  pending.reach.length = 0;
}
