/**
 * The load of web servers that many daemons share: the calls that this daemon reports to the others, the load that
 * servers report, and the load that is expected when a server is chosen. When switched off, each daemon counts only its
 * own calls.
 */
import type {
  LoadReport,
  PeerRoster,
  ServerRecord,
  WebServerLoad,
} from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { PeerExchange } from './peer-exchange.js';
import type { ReportedLoad } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** Minimum interval between log lines on unreadable loads, as a faulty server sends them with every answer. */
const LOG_INTERVAL_MS = 10_000;
const NO_WORK: LoadReport['work'] = [];

/** Dependencies of `WebWork`. */
export interface WebWorkOptions {
  readonly isEnabled: boolean;
  readonly fleet: Pick<
    FleetView,
    'directory' | 'healthOf' | 'webLoads' | 'webLoadsOf' | 'ownWebWork' | 'isCrowded'
  >;
  readonly roster: Pick<PeerRoster, 'isLarge'>;
  /** Undefined where this daemon sends nothing to other daemons. */
  readonly peers: () => Pick<PeerExchange, 'scheduleUrgentReport'> | undefined;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** Tracks the load of web servers as far as this daemon knows it. */
export class WebWork {
  readonly #options: WebWorkOptions;
  #loggedMs = Number.NEGATIVE_INFINITY;
  /** Unreadable load reports of servers since the process started. */
  unreadableTotal = 0;

  constructor(options: WebWorkOptions) {
    this.#options = options;
  }

  /** The calls of this daemon that it reports to the others; empty where it reports none. */
  ownLoad(): LoadReport['work'] {
    return this.#isReported ? this.#options.fleet.ownWebWork() : NO_WORK;
  }

  /** Records that a call to a server of a service began or ended. */
  recordCall(service: string): void {
    const { fleet, peers } = this.#options;
    if (this.#isReported && fleet.isCrowded(service)) peers()?.scheduleUrgentReport();
  }

  /** The expected load of the servers of a service; undefined where only own calls count. */
  loadsOf(service: string): ((serverId: string) => WebServerLoad) | undefined {
    const { isEnabled, fleet, timers } = this.#options;
    return isEnabled ? fleet.webLoadsOf(service, this.#isReported, timers.nowMs()) : undefined;
  }

  /** Applies the load that a server reported with an answer. */
  applyReportedLoad(server: ServerRecord, load: ReportedLoad): void {
    const { isEnabled, fleet, timers } = this.#options;
    if (!isEnabled) return;
    switch (load.kind) {
      case 'figures': {
        const isListed = fleet.directory.get(server.id) !== undefined;
        if (!isListed || fleet.directory.isSuperseded(server)) return;
        const { openCalls } = fleet.healthOf(server.id);
        fleet.webLoads.recordReport(server.id, load.figures, openCalls, timers.nowMs());
        return;
      }
      case 'unreadable':
        this.#logUnreadable(server.id, load.text);
        return;
    }
  }

  /**
   * Whether daemons report their calls to each other. In a small fleet a daemon's own calls show enough of the load, and
   * each daemon would have to report to every other.
   */
  get #isReported(): boolean {
    return this.#options.isEnabled && this.#options.roster.isLarge;
  }

  #logUnreadable(server: string, told: string): void {
    const { timers, log } = this.#options;
    this.unreadableTotal += 1;
    const nowMs = timers.nowMs();
    if (nowMs - this.#loggedMs < LOG_INTERVAL_MS) return;
    this.#loggedMs = nowMs;
    const fields = { server, told, unreadable: this.unreadableTotal };
    log.write(GATEWAY_EVENTS.toldLoadUnreadable, fields);
  }
}
