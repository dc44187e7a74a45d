/**
 * Grants all daemons permits for the servers that name a rate limit and whose granter is this daemon: the first by
 * rendezvous hashing of those that answer. The ledgers exist only in this process. A daemon that takes over grants nothing
 * for a moment, and two daemons that both grant stay within the limit together (`limit-ledger.ts`).
 */
import {
  type LimitChange,
  LimitLedger,
  type NamedLimits,
  type PeerDaemon,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { ByteBudget, datagramWireBytes } from './byte-budget.js';
import type {
  LimitUpdateMessage,
  PermitGrantMessage,
  PermitRequestMessage,
} from './limit-message-fields.js';
import { encodePeerMessage } from './peer-messages.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** A ledger without permit requests for this long is dropped; by then its limit has expired. */
const LEDGER_RETENTION_MS = 120_000;
/**
 * Budget for broadcasting that a limit began or ended, as planned in docs/CAPACITY.md for a daemon's messages. A daemon
 * that misses a broadcast learns of the change from the server, or with its next permit request.
 */
const BROADCAST_BUDGET = { bytesPerSecond: 4_096, burstBytes: 65_536 };

/** Options of a `PermitGranter`. */
export interface PermitGranterOptions {
  readonly daemon: string;
  readonly limits: NamedLimits;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** All other daemons. */
  readonly allPeers: () => readonly PeerDaemon[];
  readonly send: (peers: readonly PeerDaemon[], message: LimitUpdateMessage) => void;
  /** Called when a permit request changes what is known of a limit. */
  readonly onAdvertisedLimit: (serverId: string, change: LimitChange, by: string) => void;
}

/** The granting side of a daemon. */
export class PermitGranter {
  readonly #options: PermitGranterOptions;
  readonly #ledgers = new Map<string, LimitLedger>();
  readonly #broadcastBudget: ByteBudget;

  constructor(options: PermitGranterOptions) {
    this.#options = options;
    this.#broadcastBudget = new ByteBudget(BROADCAST_BUDGET, options.timers);
  }

  /** Number of servers for which this daemon grants permits. */
  get count(): number {
    return this.#ledgers.size;
  }

  /** Answers a permit request of this daemon or another. */
  answer(request: PermitRequestMessage): PermitGrantMessage {
    const { daemon, limits, timers } = this.#options;
    const { serverId, number } = request;
    const nowMs = timers.nowMs();
    const ledger = this.#ledgerOf(request, nowMs);
    this.#applyAdvertisedLimit(request, nowMs);
    const limit = limits.advertisementOf(serverId, nowMs);
    if (limit?.perSecond !== undefined) ledger.setLimit(limit.perSecond);
    const wanted = limit?.perSecond === undefined ? 0 : request.wanted;
    const unmetered = request.unmetered.map(({ ageMs, count }) => ({ atMs: nowMs - ageMs, count }));
    const granted = ledger.handleRequest({ ...request, wanted, unmetered }, nowMs);
    return { kind: 'limit-grant', daemon, number, serverId, limit, ...granted };
  }

  /** Sends all daemons what this one, as the granter, knows of a limit. */
  broadcastLimit(serverId: string): void {
    const { daemon, limits, timers, allPeers, send } = this.#options;
    const limit = limits.advertisementOf(serverId, timers.nowMs());
    if (limit === undefined) return;
    const peers = allPeers();
    const message: LimitUpdateMessage = { kind: 'limit-told', daemon, serverId, limit };
    const bytes = datagramWireBytes(encodePeerMessage(message)) * peers.length;
    if (this.#broadcastBudget.tryTake(bytes)) send(peers, message);
  }

  #applyAdvertisedLimit(
    { serverId, limit, daemon: by }: PermitRequestMessage,
    nowMs: number,
  ): void {
    const { limits, onAdvertisedLimit } = this.#options;
    const change = limit === undefined ? undefined : limits.applyAdvertised(serverId, limit, nowMs);
    if (change === undefined) return;
    onAdvertisedLimit(serverId, change, by);
    // Only the granter needs to know how high a limit is; for the others it is enough that there is one.
    if (change.kind !== 'changed') this.broadcastLimit(serverId);
  }

  #ledgerOf(
    { serverId, knownForMs, daemon: by }: PermitRequestMessage,
    nowMs: number,
  ): LimitLedger {
    const known = this.#ledgers.get(serverId);
    if (known !== undefined) return known;
    this.#removeStaleLedgers(nowMs);
    const ledger = new LimitLedger();
    this.#ledgers.set(serverId, ledger);
    const fields = { server: serverId, by, knownForMs: Math.round(knownForMs) };
    this.#options.log.write(GATEWAY_EVENTS.limitGrantsBegun, fields);
    return ledger;
  }

  #removeStaleLedgers(nowMs: number): void {
    for (const [serverId, { lastRequestAtMs }] of this.#ledgers) {
      if (nowMs - lastRequestAtMs <= LEDGER_RETENTION_MS) continue;
      this.#ledgers.delete(serverId);
    }
  }
}
