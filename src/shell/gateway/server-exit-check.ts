/**
 * Tells a server that has ended from one that broke an answer off: right after a run broke, one connection to it is
 * tried. A server that has ended refuses it; one that was reset, cut or spoilt an answer takes it, or says nothing. One
 * that has started again takes it, too; its later life in the list shows that the one before has ended.
 */
import { bootIdOf, type ServerRecord } from '../../core/gateway/index.js';
import type { BackendConnections } from './backend-connections.js';
import type { TimerService } from './timer-service.js';

/** Runs of one server break together when it ends; they share one connection of this time. */
const SHARED_MS = 1_000;
const MOST_KNOWN = 256;

/** What a check is built from. */
export interface ServerExitCheckOptions {
  readonly connections: Pick<BackendConnections, 'isRefused'>;
  /** Whether a later life of a server is listed already. */
  readonly isSuperseded: (server: ServerRecord) => boolean;
  readonly timers: TimerService;
}

interface KnownCheck {
  readonly atMs: number;
  readonly hasEnded: Promise<boolean>;
}

/** Checks whether servers have ended. */
export class ServerExitCheck {
  readonly #options: ServerExitCheckOptions;
  /** By life: one that has begun meanwhile takes connections and says nothing of the one before. */
  readonly #checks = new Map<string, KnownCheck>();

  constructor(options: ServerExitCheckOptions) {
    this.#options = options;
  }

  /** Whether a life of a server is over, just after a run there broke: refused, or followed by another one. */
  async hasEnded(server: ServerRecord): Promise<boolean> {
    const { isSuperseded } = this.#options;
    if (isSuperseded(server)) return true;
    const isRefused = await this.#isRefused(server);
    return isRefused || isSuperseded(server);
  }

  #isRefused(server: ServerRecord): Promise<boolean> {
    const { connections, timers } = this.#options;
    const nowMs = timers.nowMs();
    const life = bootIdOf(server);
    const known = this.#checks.get(life);
    if (known !== undefined && nowMs - known.atMs < SHARED_MS) return known.hasEnded;
    this.#dropOld(nowMs);
    const hasEnded = connections.isRefused(server.address);
    this.#checks.set(life, { atMs: nowMs, hasEnded });
    return hasEnded;
  }

  #dropOld(nowMs: number): void {
    for (const [life, { atMs }] of this.#checks) {
      if (nowMs - atMs >= SHARED_MS || this.#checks.size >= MOST_KNOWN) this.#checks.delete(life);
    }
  }
}
