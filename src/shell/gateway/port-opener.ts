/**
 * Opens the ports that a gateway listens on. A port that another process holds is tried again until it is free: at a restart
 * it may belong to the process before, or to any connection that another program has opened from it.
 */
import type { Server } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { PROCESS_EVENTS } from '../../core/logging/catalogue/process.js';
import { runInBackground } from './internal-faults.js';
import type { GatewayLog } from './request-log.js';
import { delay, type TimerService } from './timer-service.js';

const RETRY_MS = 100;
const REMINDER_MS = 10_000;
/** Connections that wait to be accepted. */
const BACKLOG = 1_024;

/** What a port is for, as log lines name it. */
export type ListenerName = 'callers' | 'readiness' | 'metrics' | 'peers' | 'datagrams';

/** One attempt to listen: the port, or why it could not be listened on. */
export type ListenAttempt = () => Promise<Result<number, Error>>;

/** Dependencies of a `PortOpener`. */
export interface PortOpenerOptions {
  readonly timers: TimerService;
  readonly log: Pick<GatewayLog, 'write'>;
  /** Ports are no longer waited for once this is aborted. */
  readonly stopped: AbortSignal;
}

/** Opens ports, and waits for those that are taken. */
export class PortOpener {
  readonly #options: PortOpenerOptions;

  constructor(options: PortOpenerOptions) {
    this.#options = options;
  }

  /** Resolves with the port once it is listened on; with undefined if the wait is stopped before. */
  async open(listener: ListenerName, attempt: ListenAttempt): Promise<number | undefined> {
    const first = await attempt();
    return first.isOk() ? first.value : this.#wait(listener, attempt, first.error);
  }

  /**
   * Resolves after the first attempt: with the port, or with undefined if it is taken. `onOpened` is then called once it
   * is listened on.
   */
  async openInBackground(
    listener: ListenerName,
    attempt: ListenAttempt,
    onOpened: (port: number) => void,
  ): Promise<number | undefined> {
    const first = await attempt();
    if (first.isOk()) return first.value;
    const opened = this.#wait(listener, attempt, first.error).then((port) => {
      if (port !== undefined) onOpened(port);
    });
    runInBackground(this.#options.log, `port for ${listener}`, opened);
    return undefined;
  }

  async #wait(
    listener: ListenerName,
    attempt: ListenAttempt,
    firstError: Error,
  ): Promise<number | undefined> {
    const { timers, log, stopped } = this.#options;
    const startedMs = timers.nowMs();
    const waitedMs = () => Math.round(timers.nowMs() - startedMs);
    let reason = firstError.message;
    let nextLineMs = 0;
    while (!stopped.aborted) {
      if (waitedMs() >= nextLineMs) {
        log.write(PROCESS_EVENTS.portAwaited, { listener, reason, waitedMs: waitedMs() });
        nextLineMs += REMINDER_MS;
      }
      await delay(timers, RETRY_MS, stopped);
      if (stopped.aborted) return undefined;
      const result = await attempt();
      if (result.isOk()) {
        log.write(PROCESS_EVENTS.portOpened, {
          listener,
          port: result.value,
          waitedMs: waitedMs(),
        });
        return result.value;
      }
      reason = result.error.message;
    }
    return undefined;
  }
}

/** Tries once to let a server listen; a server that could not can be tried again. */
export function tryListen(
  server: Server,
  { host, port }: { readonly host: string; readonly port: number },
): Promise<Result<number, Error>> {
  return new Promise((resolve) => {
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      resolve(err(error));
    };
    const onListening = (): void => {
      server.off('error', onError);
      const address = server.address();
      resolve(ok(typeof address === 'object' && address !== null ? address.port : port));
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen({ host, port, backlog: BACKLOG });
  });
}
