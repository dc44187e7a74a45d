/** Wires a daemon together: network clients and servers, event loop and operator API. */
import { performance } from 'node:perf_hooks';
import { setTimeout as wait } from 'node:timers/promises';
import type { Milliseconds } from '../core/common/time.js';
import { EMPTY_CONFIGURATION } from '../core/configuration/document.js';
import {
  createDaemonState,
  type DaemonEffect,
  type DaemonEvent,
  type DaemonState,
  readinessOf,
  stepDaemon,
} from '../core/daemon/index.js';
import { CALLER_HTTP_EVENTS } from '../core/logging/catalogue/caller-http.js';
import { DAEMON_EVENTS } from '../core/logging/catalogue/daemon.js';
import type { Endpoint } from '../core/registry/backend.js';
import { createEngineControlClient } from '../shell/engine/index.js';
import {
  createCallerServer,
  createRefusalLog,
  DEFAULT_HTTP_LIMITS,
  type Readiness,
} from '../shell/http/index.js';
import type { Logger } from '../shell/logging/index.js';
import { createMetrics, type FleetSample } from '../shell/metrics/index.js';
import { createOperatorServer, type OperatorServer } from '../shell/operator/index.js';
import { createPeerTransport } from '../shell/peer/index.js';
import { createPlatformClient } from '../shell/platform/index.js';
import {
  allowsUnauthenticatedOperators,
  type DaemonSettings,
  formatEndpoint,
} from '../shell/settings/index.js';
import { type DaemonShells, EffectPerformer } from './effect-performer.js';
import { fleetSample } from './fleet-sample.js';
import { EventSource, runFold } from './fold.js';
import { createHealthClient } from './health-client.js';
import { DaemonOperatorBackend } from './operator-backend.js';
import type { RunningDaemon, StopOutcome } from './types.js';

const TICK_MS: Milliseconds = 100;
const PLATFORM_TIMEOUT_MS: Milliseconds = 2_000;
const ENGINE_CONTROL_TIMEOUT_MS: Milliseconds = 1_000;
/** How long callers of requests that were cut may take to read that. */
const LAST_ANSWERS_MS: Milliseconds = 250;
/** A wait that ends later than all else keeps no process running. */
const NOT_KEPT_RUNNING = { ref: false } as const;

/** Starts a daemon; rejects when it can't listen on the configured addresses. */
export async function startDaemon(
  settings: DaemonSettings,
  logger: Logger,
): Promise<RunningDaemon> {
  const daemon = new Daemon(settings, logger);
  await daemon.start();
  return daemon;
}

class Daemon implements RunningDaemon {
  readonly #settings: DaemonSettings;
  readonly #events = new EventSource<DaemonEvent>();
  readonly #incarnation = Date.now();
  readonly #startedAt = performance.now();
  readonly #shells: DaemonShells;
  #state: DaemonState | null = null;
  #operators: OperatorServer | null = null;
  #ticker: NodeJS.Timeout | null = null;
  #resolveStopReady: () => void = () => {};
  /** Set once the requests that were left are being cut. */
  #cut: Promise<void> | null = null;
  #endpoints: Pick<RunningDaemon, 'callers' | 'operators' | 'peers'> | null = null;

  constructor(settings: DaemonSettings, logger: Logger) {
    this.#settings = settings;
    const emit = (event: DaemonEvent): void => this.#events.emit(event);
    const metrics = createMetrics({ sample: () => this.#sample() });
    const logRefusal = createRefusalLog(
      (event, fields) => logger.write(event, fields),
      () => performance.now(),
    );
    this.#shells = {
      logger,
      metrics,
      callers: createCallerServer({
        listen: settings.listen.callers,
        limits: { ...DEFAULT_HTTP_LIMITS, ...settings.limits.http },
        daemonName: settings.name,
        incarnation: this.#incarnation,
        now: () => performance.now(),
        configuration: () => this.#state?.configuration.inForce ?? EMPTY_CONFIGURATION,
        readiness: () => this.#readiness(),
        metricsText: () => metrics.text(),
        onRefused: (reason, heldBytes) => {
          metrics.recordCallerRefusal(reason);
          logRefusal(reason, heldBytes);
        },
        emit: (event) => {
          if (event.kind === 'attempt') {
            metrics.recordAttemptEvent(event.request, event.event, performance.now());
          }
          emit(event);
        },
      }),
      platform: createPlatformClient({ ...settings.platform, timeoutMs: PLATFORM_TIMEOUT_MS }),
      engines: createEngineControlClient({ timeoutMs: ENGINE_CONTROL_TIMEOUT_MS }),
      peers: createPeerTransport({
        listen: settings.listen.peers,
        fleetKey: settings.fleetKey,
        emit,
      }),
      health: createHealthClient(),
    };
  }

  get callers(): Endpoint {
    return this.#boundEndpoints().callers;
  }

  get operators(): Endpoint {
    return this.#boundEndpoints().operators;
  }

  get peers(): Endpoint {
    return this.#boundEndpoints().peers;
  }

  async start(): Promise<void> {
    const peers = await this.#shells.peers.listen();
    this.#startFold(peers);
    const operators = await this.#startOperators();
    const callers = await this.#shells.callers.listen();
    const address = formatEndpoint(callers);
    this.#shells.logger.write(CALLER_HTTP_EVENTS.listening, { address });
    this.#endpoints = { callers, operators, peers };
    this.#ticker = setInterval(() => this.#events.emit({ kind: 'tick' }), TICK_MS);
    this.#shells.logger.write(DAEMON_EVENTS.started, {
      callers: formatEndpoint(callers),
      operators: formatEndpoint(operators),
      peers: formatEndpoint(peers),
    });
  }

  async stop(): Promise<StopOutcome> {
    const { logger, callers } = this.#shells;
    logger.write(DAEMON_EVENTS.stopRequested, { running: callers.activeRequests });
    const outcome = await Promise.race([
      this.#drain(),
      wait(this.#settings.stopGraceMs, 'cut' as const, NOT_KEPT_RUNNING),
    ]);
    if (outcome === 'cut' || this.#cut !== null) {
      await this.stopNow();
      return 'cut';
    }
    logger.write(DAEMON_EVENTS.stopped, { running: callers.activeRequests });
    await this.#close();
    return 'clean';
  }

  stopNow(): Promise<void> {
    this.#cut ??= this.#cutRequests();
    return this.#cut;
  }

  /** Ends the requests that are left, gives their callers a moment to be told, and closes everything. */
  async #cutRequests(): Promise<void> {
    const { logger, callers } = this.#shells;
    const running = callers.activeRequests;
    this.#events.emit({ kind: 'cut' });
    await Promise.race([
      callers.requestsEnded(),
      wait(LAST_ANSWERS_MS, undefined, NOT_KEPT_RUNNING),
    ]);
    logger.write(DAEMON_EVENTS.stoppedUncleanly, { running });
    await this.#close();
  }

  /** Stops accepting callers, waits for their requests to end and releases all duties. */
  async #drain(): Promise<'clean'> {
    this.#events.emit({ kind: 'stop' });
    const { logger, callers } = this.#shells;
    await callers.stopAccepting();
    logger.write(CALLER_HTTP_EVENTS.stoppedAccepting, { running: callers.activeRequests });
    await callers.callerConnectionsClosed();
    // No request can arrive any more, so `stopReady` can't become false again.
    if (this.#state?.stopReady !== true) {
      await new Promise<void>((resolve) => {
        this.#resolveStopReady = resolve;
      });
    }
    return 'clean';
  }

  #boundEndpoints(): Pick<RunningDaemon, 'callers' | 'operators' | 'peers'> {
    if (this.#endpoints === null) {
      throw new Error('the daemon does not listen yet; await startDaemon first');
    }
    return this.#endpoints;
  }

  #startFold(peers: Endpoint): void {
    const initial = createDaemonState({
      name: this.#settings.name,
      zone: this.#settings.zone,
      incarnation: this.#incarnation,
      peerEndpoint: peers,
      seeds: this.#settings.seeds,
      maxWaitingPerClass: this.#settings.limits.queue.maxWaitingPerClass,
    });
    this.#state = initial;
    const operatorBackend = this.#createOperatorBackend(initial);
    const performer = new EffectPerformer({
      shells: this.#shells,
      state: () => this.#state ?? initial,
      now: () => performance.now(),
      emit: (event) => this.#events.emit(event),
      onChangeAnswer: (effect) => operatorBackend.resolveChange(effect),
      onStopReady: () => this.#resolveStopReady(),
    });
    void this.#fold(initial, (effect) => performer.perform(effect));
  }

  async #fold(initial: DaemonState, perform: (effect: DaemonEffect) => void): Promise<void> {
    const step: typeof stepDaemon = (state, event, context) => {
      const transition = stepDaemon(state, event, context);
      this.#state = transition.state;
      return transition;
    };
    try {
      await runFold(this.#events.stream(), step, initial, perform);
    } catch (error) {
      // A defect in a reducer: the state can't be trusted any more. The platform restarts the process.
      const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.#shells.logger.write(DAEMON_EVENTS.defect, { reason });
      this.#shells.logger.flush();
      process.exit(1);
    }
  }

  #createOperatorBackend(initial: DaemonState): DaemonOperatorBackend {
    const backend = new DaemonOperatorBackend({
      platform: this.#shells.platform,
      state: () => this.#state ?? initial,
      now: () => performance.now(),
      startedAt: this.#startedAt,
      submitChange: (request) => this.#events.emit({ kind: 'change', request }),
    });
    const operatorServer = createOperatorServer({
      listen: this.#settings.listen.operators,
      tokens: this.#settings.operatorTokens,
      allowUnauthenticatedLoopback: allowsUnauthenticatedOperators(this.#settings),
      allowUnauthenticatedEverywhere: this.#settings.allowUnauthenticatedOperators,
      backend,
      log: (effect) => this.#shells.logger.write(effect.event, effect.fields),
    });
    if (operatorServer.isErr()) {
      throw new Error(operatorServer.error.message);
    }
    this.#operators = operatorServer.value;
    return backend;
  }

  async #startOperators(): Promise<Endpoint> {
    const startResult = await this.#operators?.start();
    if (startResult === undefined || startResult.isErr()) {
      throw new Error(startResult?.error.message ?? 'the operator server was not created');
    }
    return startResult.value;
  }

  #readiness(): Readiness {
    return this.#state === null
      ? { ready: false, reason: 'the daemon is starting' }
      : readinessOf(this.#state);
  }

  #sample(): FleetSample | null {
    const state = this.#state;
    return state === null
      ? null
      : fleetSample(
          state,
          performance.now(),
          this.#shells.callers.heldBodyBytes,
          this.#shells.peers.counters(),
        );
  }

  async #close(): Promise<void> {
    if (this.#ticker !== null) {
      clearInterval(this.#ticker);
    }
    await Promise.all([
      this.#shells.callers.close(),
      this.#operators?.close(),
      this.#shells.peers.close(),
      this.#shells.platform.close(),
      this.#shells.engines.close(),
      this.#shells.health.close(),
    ]);
  }
}
