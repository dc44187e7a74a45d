/** One daemon of a run: its settings file, its processes one after another, and the signals that are sent to them. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { Readable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import {
  causeOfEnd,
  type DaemonSignal,
  type EndCause,
  isStopSignal,
  type ProcessExit,
} from './process-end.js';
import type { DaemonLife } from './record.js';
import { peakResidentBytes } from './resident-memory.js';
import { DAEMON_PORTS, type DaemonSettings, SettingsFile } from './settings-file.js';

/** The flags that deployed gateways run with. */
export const NODE_FLAGS = ['--max-semi-space-size=2', '--max-old-space-size=96'];
const MARKER = fileURLToPath(new URL('../../soak/start-marker.cjs', import.meta.url));
const READINESS_TIMEOUT_MS = 500;

export interface GatewayProcessOptions extends DaemonSettings {
  readonly program: string;
  /** Program of an earlier release for the first incarnation; undefined if it runs `program` as well. */
  readonly earlierProgram: string | undefined;
  /** Directory for the settings file and the log. */
  readonly directory: string;
  /** Called when a process has ended that was not asked to. */
  readonly onUnaskedEnd?: (daemon: GatewayProcess, cause: Exclude<EndCause, 'requested'>) => void;
}

/** A life whose process runs. */
interface RunningLife extends DaemonLife {
  readonly sent: Set<DaemonSignal>;
  hasBegun: boolean;
}

export class GatewayProcess {
  readonly #options: GatewayProcessOptions;
  readonly settings: SettingsFile;
  /** The processes so far, in order. */
  readonly lives: DaemonLife[] = [];
  #process: ChildProcess | undefined;
  #life: RunningLife | undefined;
  #begun = Promise.resolve(false);
  #logged: Promise<void> = Promise.resolve();
  /** Number of starts so far; identifies the current incarnation. */
  incarnation = 0;
  isStopping = false;
  isFrozen = false;

  constructor(options: GatewayProcessOptions) {
    this.#options = options;
    this.settings = new SettingsFile(join(options.directory, `${options.name}.yaml`), options);
  }

  get name(): string {
    return this.#options.name;
  }

  get host(): string {
    return this.#options.host;
  }

  get port(): number {
    return DAEMON_PORTS.callers;
  }

  get isRunning(): boolean {
    return this.#process !== undefined;
  }

  start(): void {
    if (this.#process !== undefined) return;
    const { directory, name } = this.#options;
    const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
    const flags = [...NODE_FLAGS, '--require', MARKER];
    const child = spawn(process.execPath, [...flags, this.#nextProgram, this.settings.path], {
      // Standard input tells the daemon when this process has ended; the last pipe, when it begins to load its program.
      stdio: ['pipe', 'pipe', 'pipe', 'pipe'],
    });
    this.incarnation += 1;
    const life = newLife(name, this.incarnation);
    this.lives.push(life);
    this.#begun = new Promise((resolve) => {
      const begin = () => {
        life.hasBegun = true;
        resolve(true);
      };
      for (const output of outputsOf(child)) output.once('data', begin);
      child.once('exit', () => resolve(false));
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', () => {
      life.endedMs = performance.now();
      if (this.#process === child) this.#process = undefined;
      this.isStopping = false;
      this.isFrozen = false;
    });
    // Output may still be read after the process has exited, but not after `close`.
    child.once('close', (exitCode, signal) => {
      log.end();
      this.#recordEnd(life, { exitCode, signal });
    });
    this.#logged = new Promise((resolve) => log.once('close', () => resolve()));
    this.#process = child;
    this.#life = life;
  }

  get #nextProgram(): string {
    const { program, earlierProgram } = this.#options;
    return this.incarnation === 0 ? (earlierProgram ?? program) : program;
  }

  #recordEnd(life: RunningLife, exit: ProcessExit): void {
    const { sent, hasBegun } = life;
    const cause = causeOfEnd({ ...exit, sent, hasBegun });
    life.end = { ...exit, cause };
    if (cause !== 'requested') this.#options.onUnaskedEnd?.(this, cause);
  }

  signal(signal: DaemonSignal): void {
    const life = this.#life;
    if (life === undefined || !this.#process?.kill(signal)) return;
    life.sent.add(signal);
    if (signal === 'SIGKILL') life.killedMs ??= performance.now();
    if (isStopSignal(signal)) {
      life.stopMs ??= performance.now();
      this.isStopping = true;
    }
    if (signal === 'SIGSTOP') this.isFrozen = true;
    if (signal === 'SIGCONT') this.isFrozen = false;
  }

  /** Notes the memory that the running process has taken so far. */
  noteMemory(): void {
    const pid = this.#process?.pid;
    const life = this.#life;
    if (pid === undefined || life === undefined) return;
    life.peakResidentBytes = Math.max(life.peakResidentBytes, peakResidentBytes(pid) ?? 0);
  }

  /** Resolves once the process has exited. */
  ended(): Promise<void> {
    const child = this.#process;
    if (child === undefined) return Promise.resolve();
    return new Promise((resolve) => child.once('exit', () => resolve()));
  }

  /** Resolves with true once the process begins to load the daemon's program, with false if it exits before. */
  begun(): Promise<boolean> {
    return this.#begun;
  }

  /** Resolves once the log has all output of the last process, which has to exit. */
  logged(): Promise<void> {
    return this.#logged;
  }

  /** Whether the readiness endpoint reports that the daemon is ready. */
  async isReady(): Promise<boolean> {
    const life = this.#life;
    if (this.#process === undefined || this.isFrozen) return false;
    const askedMs = performance.now();
    try {
      const answer = await fetch(`http://${this.host}:${DAEMON_PORTS.readiness}/ready`, {
        signal: AbortSignal.timeout(READINESS_TIMEOUT_MS),
      });
      await answer.arrayBuffer();
      if (answer.ok) life?.readyMs.push(askedMs);
      return answer.ok;
    } catch {
      return false; // The daemon does not listen yet, or has stopped listening.
    }
  }
}

function newLife(daemon: string, incarnation: number): RunningLife {
  return {
    daemon,
    incarnation,
    startedMs: performance.now(),
    stopMs: undefined,
    killedMs: undefined,
    endedMs: undefined,
    end: undefined,
    readyMs: [],
    peakResidentBytes: 0,
    sent: new Set(),
    hasBegun: false,
  };
}

/** What a process writes to: its standard streams, and the pipe of `start-marker.cjs`. */
function outputsOf({ stdio: [, ...outputs] }: ChildProcess): readonly Readable[] {
  return outputs.filter((output) => output instanceof Readable);
}
