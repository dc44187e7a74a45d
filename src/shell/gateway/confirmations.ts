/**
 * Asks servers at their health pages whether they accept work, where the list may show as ready a server that has left: a
 * row may be written because its server is there, or because the store carries out an earlier write late.
 */
import { CONNECT_TIMEOUT_MS, type Departure, type ServerRecord } from '../../core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../core/logging/catalogue/gateway.js';
import type { FleetView } from './fleet-view.js';
import type { HealthReading, RequestCodec } from './ports.js';
import type { GatewayLog } from './request-log.js';
import type { ServerCalls } from './server-calls.js';
import { callWithTimeout, delay, type TimerService } from './timer-service.js';

const CHECK_TIMEOUT_MS = 400;
const FIRST_INTERVAL_MS = 200;
const MAX_INTERVAL_MS = 1_600;
/** All daemons read a row at the same time; this spreads their calls. */
const FIRST_CHECK_SPREAD_MS = 100;
/** Between two queries of a server in use, however often its row is written. */
const MIN_QUERY_INTERVAL_MS = 400;

/** Dependencies of the confirmations. */
export interface ConfirmationsOptions {
  readonly calls: Pick<ServerCalls, 'call'>;
  readonly fleet: Pick<FleetView, 'departures' | 'inForce'>;
  readonly codec: Pick<RequestCodec, 'checkHealth' | 'readHealth'>;
  /** A row that is still listed after this time was renewed by its server. */
  readonly rowExpiryMs: number;
  /** Called when a server is used again. */
  readonly onConfirmed: () => void;
  readonly random: () => number;
  /** Their clock is that of the departures. */
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
}

type ConfirmationOutcome = 'confirmed' | 'renewed' | 'departed' | 'stopped';

/** Asks servers whether they accept work. */
export class Confirmations {
  readonly #options: ConfirmationsOptions;
  readonly #stopped = new AbortController();
  /** Servers in use that will be asked, by id. */
  readonly #awaitingQuery = new Set<string>();
  /** When servers in use were last asked, by id. */
  readonly #queriedAtMs = new Map<string, number>();

  constructor(options: ConfirmationsOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Whether a server in use says that it declines work; false if a query that has not begun will tell. */
  async declinesWork(server: ServerRecord): Promise<boolean> {
    const { id } = server;
    if (this.#awaitingQuery.has(id)) return false;
    this.#awaitingQuery.add(id);
    await this.#untilQueryIsDue(id);
    this.#awaitingQuery.delete(id);
    if (this.#stopped.signal.aborted) return false;
    return (await this.#readHealth(server)) === 'declines-work';
  }

  /** Asks a server until it says that it accepts work, departs, or must have renewed its row. */
  async confirm(unconfirmed: Departure): Promise<void> {
    const { fleet, onConfirmed, timers, log } = this.#options;
    const { server, learnedAtMs } = unconfirmed;
    const outcome = await this.#outcomeOf(unconfirmed);
    if (outcome === 'stopped') return;
    const isUsed = outcome !== 'departed' && fleet.departures.confirm(server);
    const tookMs = Math.round(timers.nowMs() - learnedAtMs);
    log.write(GATEWAY_EVENTS.confirmationEnded, { server: server.id, outcome, tookMs });
    if (isUsed) onConfirmed();
  }

  async #outcomeOf(unconfirmed: Departure): Promise<ConfirmationOutcome> {
    const { fleet, rowExpiryMs, timers } = this.#options;
    const { signal } = this.#stopped;
    const { server, learnedAtMs } = unconfirmed;
    const endMs = learnedAtMs + rowExpiryMs;
    await this.#spread();
    for (let intervalMs = FIRST_INTERVAL_MS; ; intervalMs *= 2) {
      if (signal.aborted) return 'stopped';
      if (fleet.departures.of(server.id) !== unconfirmed) return 'departed';
      if (timers.nowMs() >= endMs) return 'renewed';
      if ((await this.#readHealth(server)) === 'accepts-work') return 'confirmed';
      const remainingMs = Math.max(0, endMs - timers.nowMs());
      await delay(timers, Math.min(intervalMs, MAX_INTERVAL_MS, remainingMs), signal);
    }
  }

  async #untilQueryIsDue(id: string): Promise<void> {
    const { timers } = this.#options;
    this.#forgetOldQueries();
    const dueAtMs = (this.#queriedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) + MIN_QUERY_INTERVAL_MS;
    await delay(timers, Math.max(0, dueAtMs - timers.nowMs()), this.#stopped.signal);
    await this.#spread();
    this.#queriedAtMs.set(id, timers.nowMs());
  }

  #forgetOldQueries(): void {
    const nowMs = this.#options.timers.nowMs();
    for (const [id, atMs] of this.#queriedAtMs) {
      if (nowMs - atMs >= MIN_QUERY_INTERVAL_MS) this.#queriedAtMs.delete(id);
    }
  }

  #spread(): Promise<void> {
    const { random, timers } = this.#options;
    return delay(timers, FIRST_CHECK_SPREAD_MS * random(), this.#stopped.signal);
  }

  async #readHealth(server: ServerRecord): Promise<HealthReading> {
    const { calls, codec, fleet, timers } = this.#options;
    const service = fleet.inForce?.configuration.services.get(server.service);
    if (service?.healthPath === undefined) return 'unknown';
    const call = codec.checkHealth(service.healthPath, server.id);
    return callWithTimeout(timers, CHECK_TIMEOUT_MS, this.#stopped.signal, async (signal) => {
      const result = await calls.call({
        ...call,
        server,
        purpose: 'health',
        request: '',
        mayKeepConnection: true,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        signal,
      });
      if (result.kind !== 'answered') return 'unknown';
      const { status, message } = result.answer;
      result.answer.discard();
      return codec.readHealth(status, message.headers, server.id);
    });
  }
}
