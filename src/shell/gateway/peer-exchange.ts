/**
 * Exchanges datagrams with other daemons, above all about each daemon's work at engines: an engine's queue is the sum
 * of what all daemons sent to it, and the engine's own reports come late and at a cost. Datagrams may be lost; only the
 * quality of routing choices depends on them.
 *
 * In a large fleet a daemon sends its load only to the relay of its zone (`relay-duty.ts`), and the daemon that reads
 * an engine's cache events forwards them within its zone. The roster assigns these roles.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { err, ok, type Result } from 'neverthrow';
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
import { ClockExchange, type ClockExchangeOptions } from './clock-exchange.js';
import {
  ConfigurationGossip,
  MAX_FORWARDED_BYTES,
  type VersionedValue,
} from './configuration-gossip.js';
import type { DeparturesMessage } from './departure-message-fields.js';
import { runInBackground, runLoopInBackground } from './internal-faults.js';
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
import { PortOpener } from './port-opener.js';
import type { TableService } from './ports.js';
import { NO_NOTICES, type PeerNotices, RelayDuty, type RelayDutyOptions } from './relay-duty.js';
import type { GatewayLog } from './request-log.js';
import type { StreamMessage } from './stream-message-fields.js';
import type { TableChanges } from './table-watcher.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Changes within this time are sent in one message; the time is longer if a relay sums them up. */
const COALESCE_MS = 12;
const COALESCE_FOR_RELAY_MS = 90;
/** The interval between steps of sending heartbeats; each step covers some of the peers, to spread the load. */
const HEARTBEAT_STEP_MS = 240;
/** For this daemon's own reports, to all peers together; docs/CAPACITY.md assumes this budget. */
const CHANGE_BUDGET = { bytesPerSecond: 4_096, burstBytes: 32_768 };
/** For a relay's sums, to each peer of the own zone and to the relay of each other zone. */
const RELAY_BUDGET_OF_PEER = { bytesPerSecond: 4_096, burstBytes: 16_384 };
/** The address at which a daemon receives messages. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** A message that may name the clock of its sender. */
type StampedMessage = Extract<PeerMessage, { readonly kind: 'tables' | 'servers' | 'departures' }>;

/** Sends a reply to the sender of a message. */
export type Reply = (message: PeerMessage) => void;

/** Dependencies and settings of a `PeerExchange`. */
export interface PeerExchangeOptions extends Pick<ClockExchangeOptions, 'datingTimers' | 'delays'> {
  readonly daemon: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly listen: PeerAddress;
  readonly table: TableService;
  readonly roster: PeerRoster;
  readonly loads: Pick<PeerLoads, 'applyReport' | 'applySums'> & RelayDutyOptions['loads'];
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** The known paces of engines. */
  readonly paces: FleetPaces;
  /** Whether servers are listed. */
  readonly isReady: () => boolean;
  /** The id of a listed server by its short id; undefined if no listed server has it. */
  readonly serverIdOf: (shortId: string) => string | undefined;
  /** This daemon's current work at engines. */
  readonly ownWork: () => LoadReport['work'];
  /** The recent demand of requests at this daemon. */
  readonly ownDemand: () => readonly ServiceDemand[];
  /** Called when sums of the zone's relay were applied. */
  readonly onSums: () => void;
  /** Called with the number of listed daemons, including this one. */
  readonly recordDaemonCount: (daemons: number) => void;
  /** Handles a started read that another daemon advertised. */
  readonly handleRead: (read: ReadNotice) => void;
  /** Handles a server that another daemon found unreachable, or reachable again. */
  readonly handleReachability: (reach: ReachabilityNotice) => void;
  /** Called when this daemon becomes its zone's relay or stops being it. */
  readonly onRelayChange: (isRelay: boolean) => void;
  /** This daemon's digest of the store's tables. */
  readonly tableDigest: () => Omit<TableDigest, 'peersChecksum'>;
  /** The checksum of the list of daemons at the zone's relay; undefined while its digest is not fresh. */
  readonly relayPeersChecksum: () => number | undefined;
  /** Handles a digest of the store's tables from the zone's relay, with the moment after which it was sent. */
  readonly handleTableDigest: (digest: TableDigest, relay: string, sentAfterMs: number) => void;
  /** The configuration version that this daemon has in force; 0 for none. */
  readonly configurationVersion: () => number;
  /** Records the configuration version that another daemon has in force. */
  readonly recordPeerVersion: (version: number, daemon: string) => void;
  /** Applies a configuration that another daemon received from the store. @returns whether it was newer */
  readonly applyConfiguration: (change: ForwardedConfiguration) => boolean;
  /** Applies changes of servers that the zone's relay received from the store, with the moment after which it sent them. */
  readonly applyServers: (changes: TableChanges<ServerRecord>, sentAfterMs: number) => void;
  /** Handles a notice that another daemon has ordered an engine to change its stage. */
  readonly handleStageNotice: (notice: StageNotice) => void;
  /** Handles a message about the usage of tenants; `reply` answers its sender. */
  readonly handleUsage: (message: UsageMessage, reply: Reply) => void;
  /** Handles another daemon's records of requests, or of parts of prompts, that crash servers. */
  readonly handleCrashRecords: (records: readonly CrashRecord[]) => void;
  /** Handles a message about servers that name a limit; `reply` answers its sender. */
  readonly handleLimitMessage: (message: LimitMessage, reply: Reply) => void;
  /** Handles a message on where streams began; `reply` answers its sender. */
  readonly handleStreamMessage: (message: StreamMessage, reply: Reply) => void;
  /** Handles departures of servers that another daemon has read from the store, with the moment after which it sent them. */
  readonly handleDepartures: (message: DeparturesMessage, sentAfterMs: number) => void;
  /** Applies cache events that another daemon forwarded. */
  readonly applyCacheEvents: (events: EngineCacheEvents) => void;
}

/** Sends and receives the datagrams of one daemon. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: Socket;
  readonly #directory: PeerDirectory;
  readonly #changeBudget: ByteBudget;
  readonly #relay: RelayDuty;
  readonly #cacheEvents: CacheEventPublisher;
  readonly #paces: PaceGossip;
  readonly #configurations: ConfigurationGossip;
  readonly #clocks: ClockExchange;
  #ownReads: ReadNotice[] = [];
  #ownReach: ReachabilityNotice[] = [];
  #sequence = 0;
  #heartbeatsSent = 0;
  #cancelFlush: CancelTimer | undefined;
  /** Whether the pending report was scheduled as urgent. */
  #isFlushUrgent = false;
  #cancelHeartbeat: CancelTimer | undefined;
  #isBound = false;
  readonly #stopped = new AbortController();
  #forwardPort: number | undefined;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#changeBudget = new ByteBudget(CHANGE_BUDGET, options.timers);
    this.#directory = new PeerDirectory({ ...options, random: Math.random });
    this.#clocks = new ClockExchange(options);
    this.#relay = new RelayDuty({
      ...options,
      stamp: () => this.#clocks.stamp(),
      nextSequence: () => this.#nextSequence(),
      zoneBudget: new ByteBudget(RELAY_BUDGET_OF_PEER, options.timers),
      relaysBudget: new ByteBudget(RELAY_BUDGET_OF_PEER, options.timers),
      send: (peers, bytes) => this.#sendTo(peers, bytes),
    });
    this.#cacheEvents = new CacheEventPublisher({
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
    // Errors such as an unreachable peer only make routing choices worse; `#tryBind` handles those of the port.
    this.#socket.on('error', () => undefined);
  }

  /** @param forwardPort where this daemon takes forwarded requests, if it does */
  start(forwardPort?: number): void {
    this.#forwardPort = forwardPort;
    runInBackground(this.#options.log, 'datagrams', this.#listen());
  }

  /** Announces a port for forwarded requests that was opened after the start. */
  setForwardPort(forwardPort: number): void {
    this.#forwardPort = forwardPort;
    this.#directory.setForwardPort(forwardPort);
  }

  get #isStopped(): boolean {
    return this.#stopped.signal.aborted;
  }

  async #listen(): Promise<void> {
    const { timers, log } = this.#options;
    const ports = new PortOpener({ timers, log, stopped: this.#stopped.signal });
    const port = await ports.open('datagrams', () => this.#tryBind());
    if (port === undefined || this.#isStopped) return;
    this.#isBound = true;
    const announced = { port, forwardPort: this.#forwardPort };
    runLoopInBackground(this.#options, 'list of daemons', () => this.#directory.run(announced));
    this.#scheduleHeartbeats();
    this.#relay.start();
    this.#paces.start();
  }

  #tryBind(): Promise<Result<number, Error>> {
    const socket = this.#socket;
    const { host, port } = this.#options.listen;
    return new Promise((resolve) => {
      const onError = (error: Error): void => {
        socket.off('listening', onListening);
        resolve(err(error));
      };
      const onListening = (): void => {
        socket.off('error', onError);
        resolve(ok(socket.address().port));
      };
      socket.once('error', onError);
      socket.once('listening', onListening);
      socket.bind({ address: host, port });
    });
  }

  stop(): void {
    if (this.#isStopped) return;
    this.#stopped.abort();
    this.#directory.stop();
    this.#cancelFlush?.();
    this.#cancelHeartbeat?.();
    this.#relay.stop();
    this.#cacheEvents.stop();
    this.#paces.stop();
    this.#socket.close();
  }

  /** Handles a restore of the store from an older copy. */
  handleStoreRestored(): void {
    this.#directory.handleStoreRestored();
  }

  /** Schedules a report of this daemon's load after a change. */
  scheduleReport(): void {
    if (this.#cancelFlush !== undefined) return;
    this.#flushAfter(this.#options.roster.isLarge ? COALESCE_FOR_RELAY_MS : COALESCE_MS);
  }

  /** Schedules a report with the short delay, for calls that last about as long as the normal delay. */
  scheduleUrgentReport(): void {
    if (this.#isFlushUrgent) return;
    this.#cancelFlush?.();
    this.#flushAfter(COALESCE_MS);
    this.#isFlushUrgent = true;
  }

  #flushAfter(delayMs: number): void {
    if (this.#isStopped) return;
    const { timers, roster } = this.#options;
    this.#cancelFlush = timers.after(delayMs, () => {
      this.#cancelFlush = undefined;
      this.#isFlushUrgent = false;
      const notices = { reads: this.#ownReads, reach: this.#ownReach };
      this.#ownReads = [];
      this.#ownReach = [];
      if (this.#relay.isRelay) this.#relay.forward(notices);
      this.#sendOwnWork(roster.changeRecipients(timers.nowMs()), notices);
    });
  }

  /** Advertises that a read of a shared prompt part has started. */
  advertiseRead(read: ReadNotice): void {
    this.#ownReads.push(read);
    this.scheduleReport();
  }

  /** Advertises that a server is unreachable, or reachable again. */
  advertiseReachability(reach: Omit<ReachabilityNotice, 'by'>): void {
    this.#ownReach.push({ ...reach, by: this.#options.daemon });
    this.scheduleReport();
  }

  /** As the relay, forwards server changes from the store to the zone if they fit a message. */
  forwardServers(changes: TableChanges<ServerRecord>): void {
    const { zone, roster } = this.#options;
    const isReadable = changes.rows.every(({ kind }) => kind !== 'malformed');
    if (!this.#relay.isRelay || this.#isStopped || !isReadable) return;
    const stamp = this.#clocks.stamp();
    const bytes = encodePeerMessage({ kind: 'servers', zone, changes, stamp });
    if (bytes.length <= MAX_FORWARDED_BYTES) this.#sendTo(roster.zonePeers(), bytes);
  }

  /** As the relay, forwards a configuration from the store if it fits a message. */
  forwardConfiguration(changes: TableChanges<VersionedValue>): void {
    if (!this.#isStopped) this.#configurations.forward(changes);
  }

  /** Broadcasts that an engine changes its stage. */
  broadcastStage(notice: StageNotice): void {
    if (this.#isStopped) return;
    this.#sendTo(this.#options.roster.allPeers(), encodePeerMessage({ kind: 'stage', notice }));
  }

  /** Sends a message to some daemons at once. */
  sendMessage(peers: readonly PeerDaemon[], message: PeerMessage): void {
    if (peers.length > 0 && !this.#isStopped) this.#sendTo(peers, encodePeerMessage(message));
  }

  /** Sends a notice of departures to some daemons at once. */
  sendDepartures(peers: readonly PeerDaemon[], message: DeparturesMessage): void {
    this.sendMessage(peers, { ...message, stamp: this.#clocks.stamp() });
  }

  /** Forwards an engine's cache events to daemons that do not read them from the engine. */
  forward(events: EngineCacheEvents, peers: readonly PeerDaemon[]): void {
    if (peers.length > 0 && !this.#isStopped) this.#cacheEvents.forward(events, peers);
  }

  /** Sends heartbeats to the daemons of the zone, most of which receive no other reports from this one. */
  #scheduleHeartbeats(): void {
    const { timers, roster } = this.#options;
    this.#cancelHeartbeat = timers.after(HEARTBEAT_STEP_MS, () => {
      if (roster.isLarge) this.#sendOwnWork(this.#nextHeartbeats(), NO_NOTICES);
      this.#scheduleHeartbeats();
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

  #sendOwnWork(peers: readonly PeerDaemon[], { reads, reach }: PeerNotices): void {
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
    // A socket without a port would take any free one as it sends, and others could not answer.
    if (!this.#isBound) return;
    for (const peer of peers) this.#socket.send(bytes, peer.port, peer.host);
  }

  #applyReport(report: LoadReport): void {
    const { loads, timers } = this.#options;
    loads.applyReport(report, timers.nowMs());
    this.#handleNotices(report);
    if (this.#relay.isRelay) this.#relay.forward(report);
  }

  #applySums(zone: string, sums: LoadSums): void {
    const { loads, timers, ownWork, onSums } = this.#options;
    this.#handleNotices(sums);
    if (zone !== this.#options.zone) {
      this.#relay.applySums(zone, sums);
      return;
    }
    if (this.#relay.isRelay) return;
    loads.applySums(sums, ownWork(), timers.nowMs());
    onSums();
  }

  /** Replaces short server ids by full ones; the short id of a server that is not listed here stays for forwarding. */
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
        this.#applyReport(this.#withServerIds(message.report));
        return;
      case 'sums':
        if (message.sums.relay === daemon) return;
        roster.recordRelayContact(message.sums.relay, message.zone, nowMs);
        this.#applySums(message.zone, this.#withServerIds(message.sums));
        return;
      case 'tables': {
        if (message.relay === daemon) return;
        const sentAfterMs = this.#sentAfterMs(message, sender);
        roster.recordRelayContact(message.relay, message.zone, nowMs);
        recordPeerVersion(message.digest.configurationVersion, message.relay);
        this.#configurations.recordPeerVersion(message.relay, message.digest.configurationVersion);
        if (message.zone === zone && !this.#relay.isRelay)
          handleTableDigest(message.digest, message.relay, sentAfterMs);
        return;
      }
      case 'configuration':
        this.#configurations.apply(message);
        return;
      case 'servers':
        // Rows without software versions would make servers of several versions look alike.
        if (message.lacksSoftwareVersions === true) return;
        if (message.zone === zone && !this.#relay.isRelay)
          applyServers(message.changes, this.#sentAfterMs(message, sender));
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
      case 'stream-records':
      case 'stream-records-stored':
      case 'stream-asked':
      case 'stream-answered':
        this.#options.handleStreamMessage(message, (answer) => this.#reply(answer, sender));
        return;
      case 'clock-asked':
      case 'clock-answered':
        this.#clocks.handleMessage(message, (answer) => this.#reply(answer, sender));
        return;
      case 'departures':
        this.#options.handleDepartures(message, this.#sentAfterMs(message, sender));
        return;
      case 'crashes':
      case 'part-crashes':
        handleCrashRecords(message.records);
        return;
      case 'news':
        for (const events of message.news) applyCacheEvents(events);
        return;
    }
  }

  #sentAfterMs({ kind, stamp }: StampedMessage, sender: RemoteInfo): number {
    return this.#clocks.sentAfterMs(kind, stamp, (question) => this.#reply(question, sender));
  }

  #reply(message: PeerMessage, { port, address }: RemoteInfo): void {
    if (!this.#isStopped) this.#socket.send(encodePeerMessage(message), port, address);
  }

  #handleNotices({ reads, reach }: PeerNotices): void {
    for (const read of reads) this.#options.handleRead(read);
    for (const notice of reach) this.#options.handleReachability(notice);
  }

  #nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }
}
