/**
 * Probes each daemon periodically for routes that the operator added last, dropped last, or never added. Probes carry no
 * API key and no attempt id, so daemons never forward them to a server.
 */
import http from 'node:http';
import { HOST } from './callers.js';
import type { Operator } from './configuration.js';
import type { GatewayProcess } from './gateway-process.js';
import type { RouteProbe } from './record.js';

const INTERVAL_MS = 250;
const TIMEOUT_MS = 1_000;
const UNKNOWN_ROUTE = '/never-there/';
const NOT_FOUND = 404;
/** Statuses for a missing attempt id or API key, which the daemon sends only if it has the route. */
const REFUSED_WITH_ROUTE: ReadonlySet<number> = new Set([400, 401]);

export interface RouteProbesOptions {
  readonly daemons: readonly GatewayProcess[];
  readonly operator: Pick<Operator, 'recentRoutes'>;
}

/** Sends the probes of a run and records their results. */
export class RouteProbes {
  readonly records: RouteProbe[] = [];
  readonly #options: RouteProbesOptions;
  readonly #agent = new http.Agent({ keepAlive: true });
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(options: RouteProbesOptions) {
    this.#options = options;
  }

  start(): void {
    for (const daemon of this.#options.daemons) {
      let probesSent = 0;
      const timer = setInterval(() => {
        const { added, dropped } = this.#options.operator.recentRoutes;
        const paths = [added, dropped, UNKNOWN_ROUTE].filter((path) => path !== undefined);
        const path = paths[probesSent % paths.length] ?? UNKNOWN_ROUTE;
        probesSent += 1;
        if (daemon.isRunning && !daemon.isFrozen) this.#probe(daemon, path);
      }, INTERVAL_MS);
      this.#timers.push(timer);
    }
  }

  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#agent.destroy();
  }

  #probe({ name, incarnation, host, port }: GatewayProcess, path: string): void {
    const sentMs = performance.now();
    const request = http.request({
      host,
      port,
      path: `${path}x`,
      agent: this.#agent,
      timeout: TIMEOUT_MS,
      headers: { Host: HOST },
    });
    request.on('timeout', () => request.destroy());
    // A stopped or frozen daemon does not respond, which other promises cover.
    request.on('error', () => undefined);
    request.on('response', (response) => {
      response.resume();
      const { statusCode = 0 } = response;
      const hasRoute = REFUSED_WITH_ROUTE.has(statusCode);
      if (!hasRoute && statusCode !== NOT_FOUND) return;
      const endedMs = performance.now();
      this.records.push({ daemon: name, incarnation, path, sentMs, endedMs, hasRoute });
    });
    request.end();
  }
}
