/**
 * Grants the requests to servers that name a limit, for all daemons, where this daemon is the one that they ask: the
 * first by rendezvous hashing of those that answer. Nothing of it is kept elsewhere. A daemon that takes over grants
 * nothing for a moment, and while two both grant, they stay within the limit together (`limit-ledger.ts`).
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

/** The books of a server that nobody asked about for so long are closed: by then its limit is not believed any more. */
const LEDGER_KEPT_MS = 120_000;
/**
 * For telling all daemons that a limit began or ended, as docs/CAPACITY.md plans for a daemon's messages. Who isn't
 * told learns it from the server, or with its next ask.
 */
const TOLD_BUDGET = { bytesPerSecond: 4_096, burstBytes: 65_536 };

/** What it is built from. */
export interface PermitGranterOptions {
  readonly daemon: string;
  readonly limits: NamedLimits;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** All other daemons. */
  readonly allPeers: () => readonly PeerDaemon[];
  readonly send: (peers: readonly PeerDaemon[], message: LimitUpdateMessage) => void;
  /** Told of what an ask brought to light. */
  readonly noteTold: (serverId: string, change: LimitChange, by: string) => void;
}

/** The granting side of a daemon. */
export class PermitGranter {
  readonly #options: PermitGranterOptions;
  readonly #ledgers = new Map<string, LimitLedger>();
  readonly #toldBudget: ByteBudget;

  constructor(options: PermitGranterOptions) {
    this.#options = options;
    this.#toldBudget = new ByteBudget(TOLD_BUDGET, options.timers);
  }

  /** Servers whose requests this daemon grants. */
  get count(): number {
    return this.#ledgers.size;
  }

  /** Answers an ask, of this daemon or another. */
  answer(ask: PermitRequestMessage): PermitGrantMessage {
    const { daemon, limits, timers } = this.#options;
    const { serverId, number } = ask;
    const nowMs = timers.nowMs();
    const ledger = this.#ledgerOf(ask, nowMs);
    this.#takeTold(ask, nowMs);
    const limit = limits.advertisementOf(serverId, nowMs);
    if (limit?.perSecond !== undefined) ledger.setLimit(limit.perSecond);
    const wanted = limit?.perSecond === undefined ? 0 : ask.wanted;
    const unmetered = ask.unmetered.map(({ ageMs, count }) => ({ atMs: nowMs - ageMs, count }));
    const granted = ledger.handleRequest({ ...ask, wanted, unmetered }, nowMs);
    return { kind: 'limit-grant', daemon, number, serverId, limit, ...granted };
  }

  /** Tells all daemons what this one, which grants, knows of a limit. */
  tellAll(serverId: string): void {
    const { daemon, limits, timers, allPeers, send } = this.#options;
    const limit = limits.advertisementOf(serverId, timers.nowMs());
    if (limit === undefined) return;
    const peers = allPeers();
    const message: LimitUpdateMessage = { kind: 'limit-told', daemon, serverId, limit };
    const bytes = datagramWireBytes(encodePeerMessage(message)) * peers.length;
    if (this.#toldBudget.tryTake(bytes)) send(peers, message);
  }

  #takeTold({ serverId, limit, daemon: by }: PermitRequestMessage, nowMs: number): void {
    const { limits, noteTold } = this.#options;
    const change = limit === undefined ? undefined : limits.applyAdvertised(serverId, limit, nowMs);
    if (change === undefined) return;
    noteTold(serverId, change, by);
    // Who knows of a limit need not know how high it is: that is for the one that grants.
    if (change.kind !== 'changed') this.tellAll(serverId);
  }

  #ledgerOf(
    { serverId, knownForMs, daemon: by }: PermitRequestMessage,
    nowMs: number,
  ): LimitLedger {
    const known = this.#ledgers.get(serverId);
    if (known !== undefined) return known;
    this.#dropOld(nowMs);
    const ledger = new LimitLedger();
    this.#ledgers.set(serverId, ledger);
    const fields = { server: serverId, by, knownForMs: Math.round(knownForMs) };
    this.#options.log.write(GATEWAY_EVENTS.limitGrantsBegun, fields);
    return ledger;
  }

  #dropOld(nowMs: number): void {
    for (const [serverId, { lastRequestAtMs }] of this.#ledgers) {
      if (nowMs - lastRequestAtMs <= LEDGER_KEPT_MS) continue;
      this.#ledgers.delete(serverId);
    }
  }
}
