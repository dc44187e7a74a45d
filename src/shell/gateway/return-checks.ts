/**
 * Asks servers that are listed again after they had departed whether they accept work. A row may come back because its
 * server is back, or because the store carries out an earlier write late; the server itself knows.
 */
import { CONNECT_TIMEOUT_MS, type Departure, type ServerRecord } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { ServerCalls } from './server-calls.js';
import { callWithTimeout, delay, type TimerService } from './timer-service.js';

const CHECK_TIMEOUT_MS = 400;
const FIRST_INTERVAL_MS = 200;
const MAX_INTERVAL_MS = 1_600;
/** All daemons read the row at the same time; this spreads their calls. */
const FIRST_CHECK_SPREAD_MS = 100;

/** Dependencies of the checks. */
export interface ReturnChecksOptions {
  readonly calls: Pick<ServerCalls, 'call'>;
  readonly fleet: Pick<FleetView, 'departures' | 'inForce'>;
  readonly codec: Pick<RequestCodec, 'checkHealth' | 'isAcceptingWork'>;
  /** A row that is still listed after this time was renewed by its server. */
  readonly rowExpiryMs: number;
  /** Called when a server is used again. */
  readonly onConfirmed: () => void;
  readonly random: () => number;
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

type CheckOutcome = 'confirmed' | 'renewed' | 'departed' | 'stopped';

/** Checks the servers that are listed again. */
export class ReturnChecks {
  readonly #options: ReturnChecksOptions;
  readonly #stopped = new AbortController();

  constructor(options: ReturnChecksOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Checks a server until it says that it accepts work, departs again, or must have renewed its row. */
  async check(returned: Departure): Promise<void> {
    const { fleet, onConfirmed, timers, log } = this.#options;
    const { server, learnedAtMs } = returned;
    const outcome = await this.#outcomeOf(returned);
    if (outcome === 'stopped') return;
    const isUsed = outcome !== 'departed' && fleet.departures.confirmReturn(server);
    const tookMs = Math.round(timers.nowMs() - learnedAtMs);
    log.write(GATEWAY_EVENTS.returnChecked, { server: server.id, outcome, tookMs });
    if (isUsed) onConfirmed();
  }

  async #outcomeOf(returned: Departure): Promise<CheckOutcome> {
    const { random, rowExpiryMs, timers } = this.#options;
    const { signal } = this.#stopped;
    const endMs = returned.learnedAtMs + rowExpiryMs;
    await delay(timers, FIRST_CHECK_SPREAD_MS * random(), signal);
    for (let intervalMs = FIRST_INTERVAL_MS; ; intervalMs *= 2) {
      if (signal.aborted) return 'stopped';
      if (!this.#isCurrent(returned)) return 'departed';
      if (timers.nowMs() >= endMs) return 'renewed';
      if (await this.#isAcceptingWork(returned.server)) return 'confirmed';
      const remainingMs = Math.max(0, endMs - timers.nowMs());
      await delay(timers, Math.min(intervalMs, MAX_INTERVAL_MS, remainingMs), signal);
    }
  }

  #isCurrent(returned: Departure): boolean {
    return this.#options.fleet.departures.of(returned.server.id) === returned;
  }

  async #isAcceptingWork(server: ServerRecord): Promise<boolean> {
    const { calls, codec, fleet, timers } = this.#options;
    const service = fleet.inForce?.configuration.services.get(server.service);
    if (service?.healthPath === undefined) return false;
    const call = codec.checkHealth(service.healthPath, server.id);
    return callWithTimeout(timers, CHECK_TIMEOUT_MS, this.#stopped.signal, async (signal) => {
      const result = await calls.call({
        ...call,
        server,
        purpose: 'health',
        request: '',
        mayKeepConnection: false,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        signal,
      });
      if (result.kind !== 'answered') return false;
      const { status, message } = result.answer;
      message.resume();
      return codec.isAcceptingWork(status, message.headers, server.id);
    });
  }
}
