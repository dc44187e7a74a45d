/**
 * Sees which requests ran at a server when it ended, by a fingerprint that is the same at every daemon and for every
 * try of a caller.
 */
import type { ServerRecord } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import { CrashTable } from './crash-table.js';
import type { Exchange } from './exchange.js';
import type { TableService } from './ports.js';
import { RequestFingerprints } from './request-fingerprint.js';
import type { GatewayLog } from './request-log.js';
import type { ServerEndCheck } from './server-end-check.js';
import { delay, type TimerService } from './timer-service.js';

const READ_RETRY_MS = 500;

/** What a guard is built from. */
export interface CrashGuardOptions {
  readonly table: TableService;
  readonly endCheck: Pick<ServerEndCheck, 'hasEnded'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The daemon's knowledge of requests that end servers. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #table: CrashTable;
  readonly #fingerprints = new RequestFingerprints();
  readonly #stopped = new AbortController();

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    this.#table = new CrashTable(options.table, options.timers);
  }

  start(): void {
    void this.#load();
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** A run or a reading of a request broke at a server. */
  async noteBroken(exchange: Exchange, server: ServerRecord): Promise<void> {
    const { endCheck, timers, log } = this.#options;
    const startedMs = timers.nowMs();
    const hasEnded = await endCheck.hasEnded(server);
    log.write(GATEWAY_EVENTS.brokenRunChecked, {
      request: exchange.options.description.attemptId,
      fingerprint: this.#fingerprints.of(exchange) ?? '',
      server: server.id,
      hasEnded,
      checkMs: Math.round(timers.nowMs() - startedMs),
    });
  }

  /** Reads the secret of the fleet, or makes it, however long the store is away. */
  async #load(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const content = await this.#table.read(signal);
      const key = content && (content.key ?? (await this.#table.createKey(signal)));
      if (key !== undefined) {
        this.#fingerprints.setKey(key);
        return;
      }
      await delay(this.#options.timers, READ_RETRY_MS, signal);
    }
  }
}
