/** Parts the engines' news calls among the daemons, as the roster says. */
import type { PeerRoster, ServerRecord } from '../../core/gateway/index.js';
import type { CacheEventDuty } from './cache-event-watchers.js';
import type { FleetView } from './fleet-view.js';
import type { PeerExchange } from './peer-exchange.js';
import type { EngineCacheEvents } from './peer-messages.js';
import type { TimerService } from './timer-service.js';

/** Without a list of daemons by then, this one asks all engines. */
const LIST_AWAITED_MS = 4_000;

/** What a duty is built from. */
export interface RosterCacheEventDutyOptions {
  readonly roster: PeerRoster;
  readonly fleet: FleetView;
  /** Absent where this daemon tells no others. */
  readonly peers: Pick<PeerExchange, 'forward'> | undefined;
  readonly timers: TimerService;
}

/** Asks for the news that the roster gives this daemon to ask for. */
export class RosterCacheEventDuty implements CacheEventDuty {
  readonly #options: RosterCacheEventDutyOptions;
  readonly #startedMs: number;

  constructor(options: RosterCacheEventDutyOptions) {
    this.#options = options;
    this.#startedMs = options.timers.nowMs();
  }

  isWatcher(engine: ServerRecord): boolean {
    const { roster, peers, timers, fleet } = this.#options;
    // A service that is not configured is nobody's to use.
    const services = fleet.inForce?.configuration.services;
    if (services !== undefined && !services.has(engine.service)) return false;
    if (peers === undefined) return true;
    const nowMs = timers.nowMs();
    if (!roster.hasList) return nowMs - this.#startedMs > LIST_AWAITED_MS;
    return roster.isWatcher(engine.id, this.#maxCacheEventPolls(engine), nowMs);
  }

  forward(engine: ServerRecord, news: EngineCacheEvents): void {
    const { roster, peers, timers } = this.#options;
    const told = roster.cacheEventRecipients(
      engine.id,
      this.#maxCacheEventPolls(engine),
      timers.nowMs(),
    );
    peers?.forward(news, told);
  }

  #maxCacheEventPolls(engine: ServerRecord): number {
    const services = this.#options.fleet.inForce?.configuration.services;
    return services?.get(engine.service)?.engine?.maxCacheEventPolls ?? 1;
  }
}
