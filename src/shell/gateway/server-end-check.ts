/**
 * Tells a server that has ended from one that broke an answer off: right after a run broke, one connection to it is
 * tried. A server that has ended refuses it; one that was reset, cut or spoilt an answer takes it, or says nothing.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
import type { BackendConnections } from './backend-connections.js';
import type { TimerService } from './timer-service.js';

/** Runs of one server break together when it ends; they share one connection of this time. */
const SHARED_MS = 1_000;
const MOST_KNOWN = 256;

interface KnownCheck {
  readonly atMs: number;
  readonly hasEnded: Promise<boolean>;
}

/** Checks whether servers have ended. */
export class ServerEndCheck {
  readonly #connections: Pick<BackendConnections, 'isRefused'>;
  readonly #timers: TimerService;
  readonly #checks = new Map<ServerRecord['id'], KnownCheck>();

  constructor(connections: Pick<BackendConnections, 'isRefused'>, timers: TimerService) {
    this.#connections = connections;
    this.#timers = timers;
  }

  /** Whether a server refuses connections, just after a run there broke. */
  hasEnded({ id, address }: ServerRecord): Promise<boolean> {
    const nowMs = this.#timers.nowMs();
    const known = this.#checks.get(id);
    if (known !== undefined && nowMs - known.atMs < SHARED_MS) return known.hasEnded;
    this.#dropOld(nowMs);
    const hasEnded = this.#connections.isRefused(address);
    this.#checks.set(id, { atMs: nowMs, hasEnded });
    return hasEnded;
  }

  #dropOld(nowMs: number): void {
    for (const [id, { atMs }] of this.#checks) {
      if (nowMs - atMs >= SHARED_MS || this.#checks.size >= MOST_KNOWN) this.#checks.delete(id);
    }
  }
}
