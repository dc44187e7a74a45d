/** Takes what web servers say of their own load; what cannot be read is counted, and said now and then. */
import type { ServerRecord } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { ToldLoad } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { TimerService } from './timer-service.js';

/** A server that writes it wrongly does so with each answer. */
const SAID_AGAIN_MS = 10_000;

/** What a taker is built from. */
export interface ToldLoadsOptions {
  readonly fleet: Pick<FleetView, 'directory' | 'healthOf' | 'webLoads'>;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

/** The servers' words on their load. */
export class ToldLoads {
  readonly #options: ToldLoadsOptions;
  #saidMs = Number.NEGATIVE_INFINITY;
  /** Reports that could not be read, since the start. */
  unreadableTotal = 0;

  constructor(options: ToldLoadsOptions) {
    this.#options = options;
  }

  take(server: ServerRecord, load: ToldLoad): void {
    const { fleet, timers } = this.#options;
    switch (load.kind) {
      case 'figures':
        if (fleet.directory.isOver(server)) return;
        fleet.webLoads.takeReport(
          server.id,
          load.figures,
          fleet.healthOf(server.id).openCalls,
          timers.nowMs(),
        );
        return;
      case 'unreadable':
        this.#noteUnreadable(server.id, load.text);
        return;
    }
  }

  #noteUnreadable(server: string, text: string): void {
    const { timers, log } = this.#options;
    this.unreadableTotal += 1;
    const nowMs = timers.nowMs();
    if (nowMs - this.#saidMs < SAID_AGAIN_MS) return;
    this.#saidMs = nowMs;
    const fields = { server, told: text, unreadable: this.unreadableTotal };
    log.write(GATEWAY_EVENTS.toldLoadUnreadable, fields);
  }
}
