/** Injects the faults around the starts and stops of daemons' processes, and records what they disturb. */
import type { GatewayProcess } from './gateway-process.js';
import { pause } from './pause.js';
import { takePort } from './port-holder.js';
import type { Disturbance, FalseReadiness } from './record.js';
import type { DaemonPort, SeriesSignal, StartFault, TimedSignal } from './start-fault.js';

/** Time from the start of a daemon's process until it serves again, on a busy machine. */
export const START_MS = 3_000;
/** Time from the end of a process that was asked to end until its daemon is started again. */
const RESTART_DELAY_MS = 100;
const READINESS_POLL_INTERVAL_MS = 100;

type Ports = Extract<StartFault, { kind: 'ports-taken' }>;
type Settings = Extract<StartFault, { kind: 'settings-spoiled' }>;

export interface StartFaultsOptions {
  readonly daemons: readonly GatewayProcess[];
  /** Time from a stop signal until the process is killed. */
  readonly graceMs: number;
  /** Starts a daemon that does not run, unless the run has ended. */
  readonly start: (daemon: GatewayProcess) => void;
  readonly record: (disturbance: Disturbance) => void;
}

export class StartFaults {
  readonly falseReadiness: FalseReadiness[] = [];
  readonly #options: StartFaultsOptions;

  constructor(options: StartFaultsOptions) {
    this.#options = options;
  }

  async begin(fault: StartFault): Promise<void> {
    const daemons = fault.daemons.flatMap((index) => this.#options.daemons[index] ?? []);
    await Promise.all(daemons.map((daemon) => this.#strike(daemon, fault)));
  }

  async #strike(daemon: GatewayProcess, fault: StartFault): Promise<void> {
    switch (fault.kind) {
      case 'signals':
        return this.#sendSeries(daemon, fault.signals);
      case 'young-signals':
        await this.#kill(daemon, fault.downMs);
        if (fault.since === 'program') await awaitProgram(daemon);
        return this.#sendSeries(daemon, fault.signals);
      case 'stop-again':
        await this.#stop(daemon, 'SIGTERM');
        await pause(fault.afterMs);
        return this.#stop(daemon, 'SIGTERM');
      case 'ports-taken':
        return this.#takePorts(daemon, fault);
      case 'settings-spoiled':
        return this.#spoilSettings(daemon, fault);
    }
  }

  async #sendSeries(daemon: GatewayProcess, signals: readonly TimedSignal[]): Promise<void> {
    const beginMs = performance.now();
    for (const { signal, afterMs } of signals) {
      await pause(Math.max(0, beginMs + afterMs - performance.now()));
      this.#send(daemon, signal);
    }
  }

  #send(daemon: GatewayProcess, signal: SeriesSignal): void {
    switch (signal) {
      case 'SIGHUP':
        daemon.signal(signal);
        return;
      case 'SIGTERM':
      case 'SIGINT':
        if (daemon.isStopping) daemon.signal(signal);
        else void this.#stop(daemon, signal);
        return;
      case 'SIGKILL':
        void this.#kill(daemon, RESTART_DELAY_MS);
        return;
    }
  }

  /** Kills a daemon and starts it again. */
  async #kill(daemon: GatewayProcess, downMs: number): Promise<void> {
    await this.#end(daemon);
    await pause(downMs);
    this.#options.start(daemon);
    this.#recordStart(daemon);
  }

  /** Kills a daemon; resolves once its process has ended. */
  async #end(daemon: GatewayProcess): Promise<void> {
    this.#record(daemon, performance.now(), false);
    daemon.signal('SIGKILL');
    await daemon.ended();
  }

  async #stop(daemon: GatewayProcess, signal: 'SIGTERM' | 'SIGINT'): Promise<void> {
    if (!daemon.isRunning || daemon.isStopping) return;
    const fromMs = performance.now();
    daemon.signal(signal);
    const killTimer = setTimeout(() => daemon.signal('SIGKILL'), this.#options.graceMs);
    await daemon.ended();
    clearTimeout(killTimer);
    await pause(RESTART_DELAY_MS);
    this.#options.start(daemon);
    this.#record(daemon, fromMs, true);
  }

  async #takePorts(daemon: GatewayProcess, { ports, downMs, forMs }: Ports): Promise<void> {
    await this.#end(daemon);
    const taken = await Promise.all(ports.map((port) => takePort(daemon.host, port)));
    await pause(downMs);
    this.#options.start(daemon);
    this.#recordStart(daemon);
    const fromMs = performance.now();
    const isTaken = ports.some((port, index) => port === 'callers' && taken[index] !== undefined);
    if (isTaken) await this.#watchReadiness(daemon, fromMs + forMs);
    else await pause(forMs);
    await Promise.all(taken.map((port) => port?.release()));
    if (ports.some(isNeededToServe)) this.#record(daemon, fromMs, false);
  }

  /** Records when a daemon says that it is ready, until a moment up to which it cannot serve callers. */
  async #watchReadiness(daemon: GatewayProcess, untilMs: number): Promise<void> {
    while (performance.now() < untilMs) {
      if (await daemon.isReady()) this.falseReadiness.push(notice(daemon));
      await pause(READINESS_POLL_INTERVAL_MS);
    }
  }

  async #spoilSettings(daemon: GatewayProcess, fault: Settings): Promise<void> {
    const { settings } = daemon;
    if (fault.isAtStart) await this.#end(daemon);
    const { incarnation } = daemon;
    settings.spoil(fault.flaw, fault.keptShare);
    if (fault.isAtStart) this.#options.start(daemon);
    else daemon.signal('SIGHUP');
    await pause(fault.forMs);
    settings.write();
    // A process that runs needs no settings, one that starts does.
    if (daemon.incarnation !== incarnation) this.#recordStart(daemon);
    if (!fault.isAtStart) daemon.signal('SIGHUP');
  }

  /** Records a disturbance of a daemon from a moment until a process that starts now serves. */
  #record({ name }: GatewayProcess, fromMs: number, isPlanned: boolean): void {
    const toMs = performance.now() + START_MS;
    this.#options.record({ scope: 'daemon', name, fromMs, toMs, isPlanned });
  }

  /** Records that a daemon was disturbed from its last start until now, as it could not serve before. */
  #recordStart(daemon: GatewayProcess): void {
    this.#record(daemon, daemon.lives.at(-1)?.startedMs ?? 0, false);
  }
}

/** Resolves once a process of a daemon loads its program: another fault may end the first one before. */
async function awaitProgram(daemon: GatewayProcess): Promise<void> {
  const untilMs = performance.now() + START_MS;
  while (!(await daemon.begun()) && performance.now() < untilMs) await pause(RESTART_DELAY_MS);
}

function notice({ name }: GatewayProcess): FalseReadiness {
  return { daemon: name, atMs: performance.now() };
}

/** A daemon serves without its metrics. */
function isNeededToServe(port: DaemonPort): boolean {
  return port !== 'metrics';
}
