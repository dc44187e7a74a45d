/**
 * Tells other daemons of this one's work at engines, by datagrams: an engine's queue is the sum of
 * what all daemons sent it, and its own reports are late and priced. Datagrams may be lost; nothing
 * but the quality of a choice depends on them.
 *
 * In a large fleet a change is told to the relay of the own zone alone (`relay-duty.ts`); cache news are
 * passed on within a zone by the daemon that asks for them. Who does what is the roster's to say.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import type {
  CrashRecord,
  FleetPaces,
  LoadReport,
  LoadSums,
  PeerDaemon,
  PeerLoads,
  PeerRoster,
  ReachabilityNotice,
  ReadNotice,
  ServerRecord,
  ServiceDemand,
  StageNotice,
  TableDigest,
} from '../../core/gateway/index.js';
import { ByteBudget, datagramWireBytes } from './byte-budget.js';
import { CacheEventPublisher } from './cache-event-publisher.js';
import {
  ConfigurationGossip,
  MAX_FORWARDED_BYTES,
  type VersionedValue,
} from './configuration-gossip.js';
import type { LimitMessage } from './limit-message-fields.js';
import { PaceGossip } from './pace-gossip.js';
import { PeerDirectory } from './peer-directory.js';
import {
  decodePeerMessage,
  type EngineCacheEvents,
  encodePeerMessage,
  type ForwardedConfiguration,
  type PeerMessage,
  type UsageMessage,
} from './peer-messages.js';
import type { TableService } from './ports.js';
import { NO_NOTICES, type PeerNotices, RelayDuty, type RelayDutyOptions } from './relay-duty.js';
import type { GatewayLog } from './request-log.js';
import type { TableChanges } from './table-watcher.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Changes within this time go in one message; longer where a relay sums them up. */
const COALESCE_MS = 12;
const COALESCE_FOR_RELAY_MS = 90;
/** Heartbeats are spread over time, some peers at each step. */
const HEARTBEAT_STEP_MS = 240;
/** Own work, to all peers together, as docs/CAPACITY.md plans for. */
const CHANGE_BUDGET = { bytesPerSecond: 4_096, burstBytes: 32_768 };
/** What is passed on, to each peer of the own zone and to the relay of each other. */
const RELAY_BUDGET_OF_PEER = { bytesPerSecond: 4_096, burstBytes: 16_384 };
/** Where a daemon takes messages. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Answers whoever sent a message. */
export type Reply = (message: PeerMessage) => void;

/** What an exchange is built from. */
export interface PeerExchangeOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly listen: PeerAddress;
  readonly table: TableService;
  readonly roster: PeerRoster;
  readonly loads: Pick<PeerLoads, 'applyReport' | 'applySums'> & RelayDutyOptions['loads'];
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** What is known of engines' paces. */
  readonly paces: FleetPaces;
  /** Whether servers are listed. */
  readonly isReady: () => boolean;
  /** The id of a listed server by its short one; undefined where none has it. */
  readonly serverIdOf: (shortId: string) => string | undefined;
  /** This daemon's work at this moment. */
  readonly ownWork: () => LoadReport['work'];
  /** What this daemon was asked for lately. */
  readonly ownDemand: () => readonly ServiceDemand[];
  /** To be called when the relay's sums came. */
  readonly onSums: () => void;
  /** Told how many daemons there are, this one counted. */
  readonly recordDaemonCount: (daemons: number) => void;
  /** A read that another daemon told of. */
  readonly handleRead: (read: ReadNotice) => void;
  /** A server that another daemon found silent, or back. */
  readonly handleReachability: (reach: ReachabilityNotice) => void;
  /** Told when this daemon becomes its zone's relay, or no longer is. */
  readonly onRelayChange: (isRelay: boolean) => void;
  /** What this daemon has seen of the store's tables. */
  readonly tableDigest: () => Omit<TableDigest, 'peersChecksum'>;
  /** The checksum of the zone's relay's list of daemons; undefined while its digest is not fresh. */
  readonly relayPeersChecksum: () => number | undefined;
  /** What the zone's relay has seen of them. */
  readonly handleTableDigest: (digest: TableDigest) => void;
  /** The version of the configuration that this daemon has in force; 0 for none. */
  readonly configurationVersion: () => number;
  /** The version that another daemon has in force. */
  readonly recordPeerVersion: (version: number, daemon: string) => void;
  /** A configuration that a relay had from the store; says whether it was newer. */
  readonly applyConfiguration: (change: ForwardedConfiguration) => boolean;
  /** Changes of servers that the zone's relay had from the store. */
  readonly applyServers: (changes: TableChanges<ServerRecord>) => void;
  /** An engine that another daemon ordered to change its stage. */
  readonly handleStageNotice: (notice: StageNotice) => void;
  /** What others tell of the usage of tenants; `reply` goes back to who told it. */
  readonly handleUsage: (message: UsageMessage, reply: Reply) => void;
  /** What another daemon knows of requests that end servers. */
  readonly handleCrashRecords: (records: readonly CrashRecord[]) => void;
  /** What others ask or tell of servers that name a limit; `reply` goes back to who did. */
  readonly handleLimitMessage: (message: LimitMessage, reply: Reply) => void;
  /** Cache news that another daemon passed on. */
  readonly applyCacheEvents: (news: EngineCacheEvents) => void;
}

/** The daemon's part in telling loads and news. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: Socket;
  readonly #directory: PeerDirectory;
  readonly #changeBudget: ByteBudget;
  readonly #relay: RelayDuty;
  readonly #cacheNews: CacheEventPublisher;
  readonly #paces: PaceGossip;
  readonly #configurations: ConfigurationGossip;
  #ownReads: ReadNotice[] = [];
  #ownReach: ReachabilityNotice[] = [];
  #sequence = 0;
  #heartbeatsSent = 0;
  #cancelFlush: CancelTimer | undefined;
  /** Whether the next message goes out within the shorter time. */
  #isFlushNear = false;
  #cancelBeat: CancelTimer | undefined;
  #isStopped = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#changeBudget = new ByteBudget(CHANGE_BUDGET, options.timers);
    this.#directory = new PeerDirectory({ ...options, random: Math.random });
    this.#relay = new RelayDuty({
      ...options,
      nextSequence: () => this.#nextSequence(),
      zoneBudget: new ByteBudget(RELAY_BUDGET_OF_PEER, options.timers),
      relaysBudget: new ByteBudget(RELAY_BUDGET_OF_PEER, options.timers),
      send: (peers, bytes) => this.#sendTo(peers, bytes),
    });
    this.#cacheNews = new CacheEventPublisher({
      ...options,
      send: (peers, bytes) => this.#sendTo(peers, bytes),
    });
    this.#paces = new PaceGossip({
      ...options,
      isRelay: () => this.#relay.isRelay,
      send: (peers, bytes) => this.#sendTo(peers, bytes),
    });
    this.#configurations = new ConfigurationGossip({
      ...options,
      isRelay: () => this.#relay.isRelay,
      send: (peers, bytes) => this.#sendTo(peers, bytes),
    });
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message, sender) => this.#receive(message, sender));
    // An address in use, or an unreachable peer, costs nothing but better choices.
    this.#socket.on('error', () => undefined);
  }

  start(): void {
    const { host, port } = this.#options.listen;
    this.#socket.bind({ address: host, port }, () => {
      if (this.#isStopped) return;
      void this.#directory.run(this.#socket.address().port);
      this.#beat();
      this.#relay.start();
      this.#paces.start();
    });
  }

  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#directory.stop();
    this.#cancelFlush?.();
    this.#cancelBeat?.();
    this.#relay.stop();
    this.#cacheNews.stop();
    this.#paces.stop();
    this.#socket.close();
  }

  /** The store is back from an older copy. */
  handleStoreRestored(): void {
    this.#directory.handleStoreRestored();
  }

  /** Says soon what has changed. */
  scheduleReport(): void {
    if (this.#cancelFlush !== undefined) return;
    this.#flushAfter(this.#options.roster.isLarge ? COALESCE_FOR_RELAY_MS : COALESCE_MS);
  }

  /** Says at once that a call began or ended that takes about as long as changes are gathered for otherwise. */
  scheduleUrgentReport(): void {
    if (this.#isFlushNear) return;
    this.#cancelFlush?.();
    this.#flushAfter(COALESCE_MS);
    this.#isFlushNear = true;
  }

  #flushAfter(gapMs: number): void {
    if (this.#isStopped) return;
    const { timers, roster } = this.#options;
    this.#cancelFlush = timers.after(gapMs, () => {
      this.#cancelFlush = undefined;
      this.#isFlushNear = false;
      const news = { reads: this.#ownReads, reach: this.#ownReach };
      this.#ownReads = [];
      this.#ownReach = [];
      if (this.#relay.isRelay) this.#relay.forward(news);
      this.#tellOwnWork(roster.changeRecipients(timers.nowMs()), news);
    });
  }

  /** Says soon that a read of a shared part was begun. */
  advertiseRead(read: ReadNotice): void {
    this.#ownReads.push(read);
    this.scheduleReport();
  }

  /** Says soon that a server is silent, or back. */
  advertiseReachability(reach: Omit<ReachabilityNotice, 'by'>): void {
    this.#ownReach.push({ ...reach, by: this.#options.daemon });
    this.scheduleReport();
  }

  /** As the relay of its zone, passes on what it had from the store, where that fits a datagram. */
  forwardServers(changes: TableChanges<ServerRecord>): void {
    const { zone, roster } = this.#options;
    const isWhole = changes.rows.every(({ kind }) => kind !== 'malformed');
    if (!this.#relay.isRelay || this.#isStopped || !isWhole) return;
    const bytes = encodePeerMessage({ kind: 'servers', zone, changes });
    if (bytes.length <= MAX_FORWARDED_BYTES) this.#sendTo(roster.zonePeers(), bytes);
  }

  /** As the relay of its zone, passes on a configuration that it had from the store, where it fits. */
  forwardConfiguration(changes: TableChanges<VersionedValue>): void {
    if (!this.#isStopped) this.#configurations.forward(changes);
  }

  /** Tells everyone of an engine that changes its stage. */
  broadcastStage(notice: StageNotice): void {
    if (this.#isStopped) return;
    this.#sendTo(this.#options.roster.allPeers(), encodePeerMessage({ kind: 'stage', notice }));
  }

  /** Tells some daemons something at once. */
  sendMessage(peers: readonly PeerDaemon[], message: PeerMessage): void {
    if (peers.length > 0 && !this.#isStopped) this.#sendTo(peers, encodePeerMessage(message));
  }

  /** Passes an engine's news on to daemons that do not ask for them. */
  forward(news: EngineCacheEvents, peers: readonly PeerDaemon[]): void {
    if (peers.length > 0 && !this.#isStopped) this.#cacheNews.forward(news, peers);
  }

  /** Shows those who hear of no change that this daemon is there. */
  #beat(): void {
    const { timers, roster } = this.#options;
    this.#cancelBeat = timers.after(HEARTBEAT_STEP_MS, () => {
      if (roster.isLarge) this.#tellOwnWork(this.#nextHeartbeats(), NO_NOTICES);
      this.#beat();
    });
  }

  #nextHeartbeats(): readonly PeerDaemon[] {
    const { roster } = this.#options;
    const peers = roster.zonePeers();
    const count = Math.ceil((peers.length * HEARTBEAT_STEP_MS) / roster.heartbeatMs);
    const first = this.#heartbeatsSent % Math.max(1, peers.length);
    this.#heartbeatsSent = first + count;
    return [...peers, ...peers].slice(first, first + count);
  }

  #tellOwnWork(peers: readonly PeerDaemon[], { reads, reach }: PeerNotices): void {
    if (peers.length === 0) return;
    const { daemon, incarnation, ownWork, ownDemand, configurationVersion } = this.#options;
    const head = { daemon, incarnation, sequence: this.#nextSequence() };
    const report = { ...head, work: ownWork(), demand: ownDemand(), reads, reach };
    const version = configurationVersion();
    const bytes = encodePeerMessage({ kind: 'report', report, configurationVersion: version });
    if (!this.#changeBudget.tryTake(datagramWireBytes(bytes) * peers.length)) return;
    this.#sendTo(peers, bytes);
  }

  #sendTo(peers: readonly PeerDaemon[], bytes: Buffer): void {
    for (const peer of peers) this.#socket.send(bytes, peer.port, peer.host);
  }

  #takeReport(report: LoadReport): void {
    const { loads, timers } = this.#options;
    loads.applyReport(report, timers.nowMs());
    this.#takeNewsOf(report);
    if (this.#relay.isRelay) this.#relay.forward(report);
  }

  #takeSums(zone: string, sums: LoadSums): void {
    const { loads, timers, ownWork, onSums } = this.#options;
    this.#takeNewsOf(sums);
    if (zone !== this.#options.zone) {
      this.#relay.applySums(zone, sums);
      return;
    }
    if (this.#relay.isRelay) return;
    loads.applySums(sums, ownWork(), timers.nowMs());
    onSums();
  }

  /** With whole ids of servers; one that is not listed here keeps its short one, for those who list it. */
  #withServerIds<Message extends Pick<LoadReport, 'work' | 'reads'>>(message: Message): Message {
    const { serverIdOf } = this.#options;
    const withId = <Item extends { readonly engineId: string }>(item: Item): Item => {
      return { ...item, engineId: serverIdOf(item.engineId) ?? item.engineId };
    };
    return { ...message, work: message.work.map(withId), reads: message.reads.map(withId) };
  }

  #receive(bytes: Buffer, sender: RemoteInfo): void {
    const { daemon, zone, roster, timers } = this.#options;
    const {
      handleUsage,
      applyCacheEvents,
      handleStageNotice,
      handleTableDigest,
      applyServers,
      recordPeerVersion,
    } = this.#options;
    const { handleCrashRecords, handleLimitMessage } = this.#options;
    const message = decodePeerMessage(bytes);
    const nowMs = timers.nowMs();
    switch (message?.kind) {
      case undefined:
        return;
      case 'report':
        if (message.report.daemon === daemon) return;
        roster.recordContact(message.report.daemon, nowMs);
        recordPeerVersion(message.configurationVersion, message.report.daemon);
        this.#configurations.recordPeerVersion(message.report.daemon, message.configurationVersion);
        this.#takeReport(this.#withServerIds(message.report));
        return;
      case 'sums':
        if (message.sums.relay === daemon) return;
        roster.recordRelayContact(message.sums.relay, message.zone, nowMs);
        this.#takeSums(message.zone, this.#withServerIds(message.sums));
        return;
      case 'tables':
        if (message.relay === daemon) return;
        roster.recordRelayContact(message.relay, message.zone, nowMs);
        recordPeerVersion(message.digest.configurationVersion, message.relay);
        this.#configurations.recordPeerVersion(message.relay, message.digest.configurationVersion);
        if (message.zone === zone && !this.#relay.isRelay) handleTableDigest(message.digest);
        return;
      case 'configuration':
        this.#configurations.take(message);
        return;
      case 'servers':
        if (message.zone === zone && !this.#relay.isRelay) applyServers(message.changes);
        return;
      case 'stage':
        handleStageNotice(message.notice);
        return;
      case 'usage-asked':
      case 'usage-counted':
      case 'usage-reported':
        handleUsage(message, (answer) => this.#reply(answer, sender));
        return;
      case 'paces':
        this.#paces.handleMessage(message.message, (answer) =>
          this.#reply({ kind: 'paces', message: answer }, sender),
        );
        return;
      case 'limit-ask':
      case 'limit-grant':
      case 'limit-told':
        handleLimitMessage(message, (answer) => this.#reply(answer, sender));
        return;
      case 'crashes':
        handleCrashRecords(message.records);
        return;
      case 'news':
        for (const news of message.news) applyCacheEvents(news);
        return;
    }
  }

  #reply(message: PeerMessage, { port, address }: RemoteInfo): void {
    if (!this.#isStopped) this.#socket.send(encodePeerMessage(message), port, address);
  }

  #takeNewsOf({ reads, reach }: PeerNotices): void {
    for (const read of reads) this.#options.handleRead(read);
    for (const notice of reach) this.#options.handleReachability(notice);
  }

  #nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }
}
