/** Divides the long polls for engines' cache events among the daemons, as assigned by the roster. */
import type { PeerRoster, ServerRecord } from '../../core/gateway/index.js';
import type { CacheEventDuty } from './cache-event-watchers.js';
import type { FleetView } from './fleet-view.js';
import type { PeerExchange } from './peer-exchange.js';
import type { EngineCacheEvents } from './peer-messages.js';
import type { TimerService } from './timer-service.js';

/** A daemon that has no list of daemons by this time after its start polls all engines. */
const LIST_TIMEOUT_MS = 4_000;

/** Dependencies of a `RosterCacheEventDuty`. */
export interface RosterCacheEventDutyOptions {
  readonly roster: PeerRoster;
  readonly fleet: FleetView;
  /** Undefined if this daemon exchanges no messages with others. */
  readonly peers: Pick<PeerExchange, 'forward'> | undefined;
  readonly timers: TimerService;
}

/** Decides which engines' cache events this daemon reads, and to which daemons it forwards them. */
export class RosterCacheEventDuty implements CacheEventDuty {
  readonly #options: RosterCacheEventDutyOptions;
  readonly #startedMs: number;

  constructor(options: RosterCacheEventDutyOptions) {
    this.#options = options;
    this.#startedMs = options.timers.nowMs();
  }

  isWatcher(engine: ServerRecord): boolean {
    const { roster, peers, timers, fleet } = this.#options;
    // No request is sent to a service that is not configured, so its cache events are not needed.
    const services = fleet.inForce?.configuration.services;
    if (services !== undefined && !services.has(engine.service)) return false;
    if (peers === undefined) return true;
    const nowMs = timers.nowMs();
    if (!roster.hasList) return nowMs - this.#startedMs > LIST_TIMEOUT_MS;
    return roster.isWatcher(engine.id, this.#maxCacheEventPolls(engine), nowMs);
  }

  forward(engine: ServerRecord, events: EngineCacheEvents): void {
    const { roster, peers, timers } = this.#options;
    const recipients = roster.cacheEventRecipients(
      engine.id,
      this.#maxCacheEventPolls(engine),
      timers.nowMs(),
    );
    peers?.forward(events, recipients);
  }

  #maxCacheEventPolls(engine: ServerRecord): number {
    const services = this.#options.fleet.inForce?.configuration.services;
    return services?.get(engine.service)?.engine?.maxCacheEventPolls ?? 1;
  }
}
