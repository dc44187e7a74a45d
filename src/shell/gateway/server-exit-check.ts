/**
 * Decides whether a server has exited or only broke off an answer, by connection attempts right after a run broke. A
 * server that has exited refuses the connection; one that is running accepts it or, behind a faulty network, does not
 * answer. Where the network itself refuses connections, no other server of the service accepts one either, so a refusal
 * shows an exit only beside a server that accepts. A server that has already restarted accepts connections too; its later
 * boot in the server list shows that the earlier one has exited.
 */
import { bootIdOf, type ServerRecord } from '../../core/gateway/index.js';
import type { BackendConnections } from './backend-connections.js';
import type { PathComparison } from './path-comparison.js';
import type { TimerService } from './timer-service.js';

/** All runs of a server break when it exits; checks within this time share one connection attempt. */
const CHECK_REUSE_MS = 1_000;
const MAX_CACHED_CHECKS = 256;

/** Dependencies of the check. */
export interface ServerExitCheckOptions {
  readonly connections: Pick<BackendConnections, 'tryConnect'>;
  /** Whether a later boot of the server is already listed. */
  readonly isSuperseded: (server: ServerRecord) => boolean;
  readonly comparison: Pick<PathComparison, 'reachesOthers'>;
  readonly timers: TimerService;
}

interface CachedCheck {
  readonly atMs: number;
  readonly hasEnded: Promise<boolean>;
}

/** Checks whether servers have exited. */
export class ServerExitCheck {
  readonly #options: ServerExitCheckOptions;
  /** By boot id, since a later boot accepts connections whether or not the earlier one exited. */
  readonly #checks = new Map<string, CachedCheck>();

  constructor(options: ServerExitCheckOptions) {
    this.#options = options;
  }

  /** Whether the server has exited, just after a run there broke: its port refuses connections or a later boot is listed. */
  async hasEnded(server: ServerRecord): Promise<boolean> {
    const { isSuperseded } = this.#options;
    if (isSuperseded(server)) return true;
    const isRefusedAlone = await this.#isRefusedAlone(server);
    return isRefusedAlone || isSuperseded(server);
  }

  /**
   * Whether the server may have exited: as `hasEnded`, but a network that refuses connections counts too. For answers that a
   * server's exit would truncate unnoticed.
   */
  async mayHaveEnded(server: ServerRecord): Promise<boolean> {
    const { connections, isSuperseded } = this.#options;
    if (isSuperseded(server)) return true;
    const outcome = await connections.tryConnect(server.address);
    return outcome === 'refused' || isSuperseded(server);
  }

  #isRefusedAlone(server: ServerRecord): Promise<boolean> {
    const { timers } = this.#options;
    const nowMs = timers.nowMs();
    const bootId = bootIdOf(server);
    const cached = this.#checks.get(bootId);
    if (cached !== undefined && nowMs - cached.atMs < CHECK_REUSE_MS) return cached.hasEnded;
    this.#evictOld(nowMs);
    const hasEnded = this.#tryWithOthers(server);
    this.#checks.set(bootId, { atMs: nowMs, hasEnded });
    return hasEnded;
  }

  async #tryWithOthers(server: ServerRecord): Promise<boolean> {
    const { connections, comparison } = this.#options;
    const outcome = await connections.tryConnect(server.address);
    return outcome === 'refused' && comparison.reachesOthers(server);
  }

  #evictOld(nowMs: number): void {
    for (const [bootId, { atMs }] of this.#checks) {
      if (nowMs - atMs >= CHECK_REUSE_MS || this.#checks.size >= MAX_CACHED_CHECKS)
        this.#checks.delete(bootId);
    }
  }
}
