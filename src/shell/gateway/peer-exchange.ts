/**
 * Tells other daemons of this one's work at engines, by datagrams: an engine's queue is the sum of
 * what all daemons sent it, and its own reports are late and priced. Datagrams may be lost; nothing
 * but the quality of a choice depends on them.
 *
 * In a large fleet a change is told to the relay of each zone alone, which tells its zone the sums;
 * cache news are passed on within a zone in the same way. Who does what is the roster's to say.
 */
import { createSocket, type Socket } from 'node:dgram';
import {
  type LoadReport,
  type PeerDaemon,
  type PeerLoads,
  type PeerRoster,
  type ReadNotice,
  type ServerRecord,
  type StageNotice,
  SumsToTell,
  type TableWordMessage,
  WordToTell,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { ByteBudget } from './byte-budget.js';
import { PeerDirectory } from './peer-directory.js';
import { decodePeerMessage, type EngineNews, encodePeerMessage } from './peer-messages.js';
import type { TableService } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { TableChanges } from './table-watcher.js';
import type { CancelTimer, TimerService } from './timer-service.js';

/** Changes within this time go in one message; longer where a relay sums them up. */
const COALESCE_MS = 12;
const COALESCE_FOR_RELAY_MS = 90;
/** A relay tells its zone what has changed this often. */
const RELAY_GAP_MS = 60;
/** Others look this often whether they are the relay now. */
const ROLE_CHECK_MS = 240;
/** News within this time go in one message. */
const NEWS_GAP_MS = 250;
/** Entries of a message, so that it stays within one packet. */
const MOST_ENTRIES = 40;
const MOST_ROWS = 12;
/** Heartbeats are spread over time, some peers at each step. */
const HEARTBEAT_STEP_MS = 240;
const DATAGRAM_OVERHEAD_BYTES = 28;
/** Own work, to all peers together, as docs/CAPACITY.md plans for. */
const CHANGE_BUDGET = { bytesPerSecond: 4_096, burstBytes: 32_768 };
/** What is passed on, to each peer of the own zone. */
const RELAY_BUDGET_OF_PEER = { bytesPerSecond: 4_096, burstBytes: 16_384 };

/** Where a daemon takes messages. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** What an exchange is built from. */
export interface PeerExchangeOptions {
  readonly daemon: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly listen: PeerAddress;
  readonly table: TableService;
  readonly roster: PeerRoster;
  readonly loads: Pick<PeerLoads, 'take' | 'takeSums' | 'totals'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** This daemon's work at this moment. */
  readonly ownWork: () => LoadReport['work'];
  /** Told how many daemons there are, this one counted. */
  readonly noteDaemonCount: (daemons: number) => void;
  /** A read that another daemon told of. */
  readonly takeRead: (read: ReadNotice) => void;
  /** Told when this daemon becomes its zone's relay, or no longer is. */
  readonly noteRelay: (isRelay: boolean) => void;
  /** What this daemon has seen of the store's tables. */
  readonly tableWord: () => TableWordMessage;
  /** What the zone's relay has seen of them. */
  readonly takeTables: (word: TableWordMessage) => void;
  /** Changes of servers that the zone's relay had from the store. */
  readonly takeServers: (changes: TableChanges<ServerRecord>) => void;
  /** An engine that another daemon ordered to change its stage. */
  readonly takeStage: (notice: StageNotice) => void;
  /** Cache news that another daemon passed on. */
  readonly takeNews: (news: EngineNews) => void;
}

/** The daemon's part in telling loads and news. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: Socket;
  readonly #directory: PeerDirectory;
  readonly #changeBudget: ByteBudget;
  readonly #relayBudget: ByteBudget;
  readonly #sums = new SumsToTell();
  readonly #wordToTell = new WordToTell();
  #ownReads: ReadNotice[] = [];
  #readsToPassOn: ReadNotice[] = [];
  readonly #waitingNews = new Map<PeerDaemon['name'], EngineNews[]>();
  #sequence = 0;
  #heartbeatsSent = 0;
  #cancelFlush: CancelTimer | undefined;
  #cancelBeat: CancelTimer | undefined;
  #cancelRelay: CancelTimer | undefined;
  #cancelNews: CancelTimer | undefined;
  #isRelay = false;
  #isStopped = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#changeBudget = new ByteBudget(CHANGE_BUDGET, options.timers);
    this.#relayBudget = new ByteBudget(RELAY_BUDGET_OF_PEER, options.timers);
    this.#directory = new PeerDirectory(options);
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message) => this.#receive(message));
    // An address in use, or an unreachable peer, costs nothing but better choices.
    this.#socket.on('error', () => undefined);
  }

  start(): void {
    const { host, port } = this.#options.listen;
    this.#socket.bind({ address: host, port }, () => {
      if (this.#isStopped) return;
      void this.#directory.run(this.#socket.address().port);
      this.#beat();
      this.#relay();
    });
  }

  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#directory.stop();
    this.#cancelFlush?.();
    this.#cancelBeat?.();
    this.#cancelRelay?.();
    this.#cancelNews?.();
    this.#socket.close();
  }

  /** Says soon what has changed. */
  noteChange(): void {
    if (this.#cancelFlush !== undefined || this.#isStopped) return;
    const { timers, roster } = this.#options;
    const gapMs = roster.isLarge ? COALESCE_FOR_RELAY_MS : COALESCE_MS;
    this.#cancelFlush = timers.after(gapMs, () => {
      this.#cancelFlush = undefined;
      this.#tellOwnWork(roster.toldOfChanges(timers.nowMs()), this.#takeOwnReads());
    });
  }

  #takeOwnReads(): readonly ReadNotice[] {
    const reads = this.#ownReads;
    this.#ownReads = [];
    if (this.#isRelay) this.#readsToPassOn.push(...reads);
    return reads;
  }

  /** Says soon that a read of a shared part was begun. */
  noteRead(read: ReadNotice): void {
    this.#ownReads.push(read);
    this.noteChange();
  }

  /** As the relay of its zone, passes on what it had from the store, where that fits one message. */
  passOnServers(changes: TableChanges<ServerRecord>): void {
    const { zone, roster } = this.#options;
    const isWhole = changes.rows.every(({ kind }) => kind !== 'malformed');
    if (!this.#isRelay || this.#isStopped || !isWhole || changes.rows.length > MOST_ROWS) return;
    this.#sendTo(roster.zonePeers(), encodePeerMessage({ kind: 'servers', zone, changes }));
  }

  /** Tells everyone of an engine that changes its stage. */
  tellStage(notice: StageNotice): void {
    if (this.#isStopped) return;
    this.#sendTo(this.#options.roster.everyone(), encodePeerMessage({ kind: 'stage', notice }));
  }

  /** Passes an engine's news on to daemons that do not ask for them. */
  passOn(news: EngineNews, peers: readonly PeerDaemon[]): void {
    if (peers.length === 0 || this.#isStopped) return;
    for (const { name } of peers) {
      const waiting = this.#waitingNews.get(name);
      if (waiting === undefined) this.#waitingNews.set(name, [news]);
      else waiting.push(news);
    }
    this.#cancelNews ??= this.#options.timers.after(NEWS_GAP_MS, () => {
      this.#cancelNews = undefined;
      this.#tellNews();
    });
  }

  /** Shows those who hear of no change that this daemon is there. */
  #beat(): void {
    const { timers, roster } = this.#options;
    this.#cancelBeat = timers.after(HEARTBEAT_STEP_MS, () => {
      if (roster.isLarge) this.#tellOwnWork(this.#nextHeartbeats(), []);
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

  #tellOwnWork(peers: readonly PeerDaemon[], reads: readonly ReadNotice[]): void {
    if (peers.length === 0) return;
    const { daemon, incarnation, ownWork } = this.#options;
    const report = { daemon, incarnation, sequence: this.#nextSequence(), work: ownWork(), reads };
    const bytes = encodePeerMessage({ kind: 'report', report });
    if (!this.#changeBudget.tryTake(sizeOnLink(bytes) * peers.length)) return;
    this.#sendTo(peers, bytes);
  }

  #relay(): void {
    const { timers, roster } = this.#options;
    this.#cancelRelay = timers.after(this.#isRelay ? RELAY_GAP_MS : ROLE_CHECK_MS, () => {
      this.#noteRole(roster.isRelay(timers.nowMs()));
      if (this.#isRelay) {
        this.#tellSums();
        this.#tellTables();
      }
      this.#relay();
    });
  }

  #noteRole(isRelay: boolean): void {
    if (this.#isRelay === isRelay) return;
    this.#isRelay = isRelay;
    this.#options.noteRelay(isRelay);
    const { zone, log, roster } = this.#options;
    log.write(GATEWAY_EVENTS.roleInFleet, { zone, isRelay, daemons: roster.daemonCount });
  }

  #tellTables(): void {
    const { daemon, zone, roster, timers, tableWord } = this.#options;
    const word = tableWord();
    const audience = this.#wordToTell.next(word, timers.nowMs());
    if (audience === 'nobody') return;
    const bytes = encodePeerMessage({ kind: 'tables', relay: daemon, zone, word });
    this.#sendTo(audience === 'everyone' ? roster.everyone() : roster.zonePeers(), bytes);
  }

  #tellSums(): void {
    const { daemon, incarnation, timers, roster, loads, ownWork } = this.#options;
    const nowMs = timers.nowMs();
    const { isWhole, work } = this.#sums.next(loads.totals(ownWork(), nowMs), nowMs);
    const reads = this.#readsToPassOn;
    this.#readsToPassOn = [];
    if (!isWhole && work.length === 0 && reads.length === 0) return;
    for (let first = 0; first === 0 || first < work.length; first += MOST_ENTRIES) {
      const part = work.slice(first, first + MOST_ENTRIES);
      const sums = {
        relay: daemon,
        incarnation,
        sequence: this.#nextSequence(),
        isWhole: isWhole && first === 0,
        work: part,
        reads: first === 0 ? reads : [],
      };
      const bytes = encodePeerMessage({ kind: 'sums', sums });
      if (this.#relayBudget.tryTake(sizeOnLink(bytes))) this.#sendTo(roster.zonePeers(), bytes);
    }
  }

  #tellNews(): void {
    const { daemon, roster } = this.#options;
    const zonePeers = roster.zonePeers();
    for (const peer of zonePeers) {
      const waiting = this.#waitingNews.get(peer.name);
      if (waiting === undefined) continue;
      for (const news of partNews(waiting)) {
        const bytes = encodePeerMessage({ kind: 'news', daemon, news });
        const shareOfBudget = sizeOnLink(bytes) / zonePeers.length;
        if (this.#relayBudget.tryTake(shareOfBudget)) this.#sendTo([peer], bytes);
      }
    }
    this.#waitingNews.clear();
  }

  #sendTo(peers: readonly PeerDaemon[], bytes: Buffer): void {
    for (const peer of peers) this.#socket.send(bytes, peer.port, peer.host);
  }

  #receive(bytes: Buffer): void {
    const { daemon, zone, roster, loads, timers, ownWork } = this.#options;
    const { takeNews, takeStage, takeTables, takeServers } = this.#options;
    const message = decodePeerMessage(bytes);
    const nowMs = timers.nowMs();
    switch (message?.kind) {
      case undefined:
        return;
      case 'report':
        if (message.report.daemon === daemon) return;
        roster.heard(message.report.daemon, nowMs);
        loads.take(message.report, nowMs);
        this.#takeReads(message.report.reads);
        if (this.#isRelay) this.#readsToPassOn.push(...message.report.reads);
        return;
      case 'sums':
        if (message.sums.relay === daemon) return;
        roster.heardRelay(message.sums.relay, zone, nowMs);
        this.#takeReads(message.sums.reads);
        if (!roster.isRelay(nowMs)) loads.takeSums(message.sums, ownWork(), nowMs);
        return;
      case 'tables':
        if (message.relay === daemon) return;
        roster.heardRelay(message.relay, message.zone, nowMs);
        if (message.zone === zone && !this.#isRelay) takeTables(message.word);
        return;
      case 'servers':
        if (message.zone === zone && !this.#isRelay) takeServers(message.changes);
        return;
      case 'stage':
        takeStage(message.notice);
        return;
      case 'news':
        for (const news of message.news) takeNews(news);
        return;
    }
  }

  #takeReads(reads: readonly ReadNotice[]): void {
    for (const read of reads) this.#options.takeRead(read);
  }

  #nextSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }
}

function sizeOnLink(bytes: Buffer): number {
  return bytes.length + DATAGRAM_OVERHEAD_BYTES;
}

/** Parts news into messages that stay within one packet. */
function partNews(waiting: readonly EngineNews[]): readonly (readonly EngineNews[])[] {
  const messages: EngineNews[][] = [];
  let room = 0;
  for (const { engineId, isReset, events } of waiting) {
    for (let first = 0; first === 0 || first < events.length; ) {
      if (room <= 0) {
        messages.push([]);
        room = MOST_ENTRIES;
      }
      const part = events.slice(first, first + room);
      messages.at(-1)?.push({ engineId, isReset: isReset && first === 0, events: part });
      first += Math.max(1, part.length);
      room -= part.length + 1;
    }
  }
  return messages;
}
