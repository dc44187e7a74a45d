/**
 * The work at web servers that many daemons share: what this one tells of its own, what servers say of theirs, and what
 * is expected there when a server is chosen. Switched off, each daemon goes by its own calls alone.
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

/** A server that writes its load wrongly does so with each answer. */
const SAID_AGAIN_MS = 10_000;
const NO_WORK: LoadReport['work'] = [];

/** What it is built from. */
export interface WebWorkOptions {
  readonly isEnabled: boolean;
  readonly fleet: Pick<
    FleetView,
    'directory' | 'healthOf' | 'webLoads' | 'webLoadsOf' | 'ownWebWork' | 'isCrowded'
  >;
  readonly roster: Pick<PeerRoster, 'isLarge'>;
  /** Absent where this daemon tells no others. */
  readonly peers: () => Pick<PeerExchange, 'scheduleUrgentReport'> | undefined;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** A daemon's part in the work at web servers. */
export class WebWork {
  readonly #options: WebWorkOptions;
  #saidMs = Number.NEGATIVE_INFINITY;
  /** Words of servers on their load that could not be read, since the start. */
  unreadableTotal = 0;

  constructor(options: WebWorkOptions) {
    this.#options = options;
  }

  /** This daemon's calls, as far as the others are told of them. */
  ownLoad(): LoadReport['work'] {
    return this.#isTold ? this.#options.fleet.ownWebWork() : NO_WORK;
  }

  /** A call to a server of a service began or ended. */
  recordCall(service: string): void {
    const { fleet, peers } = this.#options;
    if (this.#isTold && fleet.isCrowded(service)) peers()?.scheduleUrgentReport();
  }

  /** What is expected at the servers of a service; undefined where only own calls count. */
  loadsOf(service: string): ((serverId: string) => WebServerLoad) | undefined {
    const { isEnabled, fleet, timers } = this.#options;
    return isEnabled ? fleet.webLoadsOf(service, this.#isTold, timers.nowMs()) : undefined;
  }

  /** A server says something of its load. */
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
        this.#noteUnreadable(server.id, load.text);
        return;
    }
  }

  /** Small fleets see enough of their own calls, and each of their daemons would tell all others. */
  get #isTold(): boolean {
    return this.#options.isEnabled && this.#options.roster.isLarge;
  }

  #noteUnreadable(server: string, told: string): void {
    const { timers, log } = this.#options;
    this.unreadableTotal += 1;
    const nowMs = timers.nowMs();
    if (nowMs - this.#saidMs < SAID_AGAIN_MS) return;
    this.#saidMs = nowMs;
    const fields = { server, told, unreadable: this.unreadableTotal };
    log.write(GATEWAY_EVENTS.toldLoadUnreadable, fields);
  }
}
