/** Builds the gateway's program as it is deployed, and runs it as a process of its own. */
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { LogEvent } from '../../../src/core/logging/log-event.js';

/** The flags of `deploy/system.toml`. */
const NODE_FLAGS = ['--max-semi-space-size=2', '--max-old-space-size=96'];
const HOST = '127.0.0.1';

/** A line of the process's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/** How a process ended: with an exit code or by a signal. */
export interface ProcessEnd {
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** The ports that a settings file names; 0 stands for any free one. */
export interface ListenerPorts {
  readonly callers?: number;
  readonly readiness?: number;
  readonly metrics?: number;
  readonly peers?: number;
}

/** The text of a settings file. No store answers at the address that it names. */
export function settingsText(ports: ListenerPorts = {}): string {
  const { callers = 0, readiness = 0, metrics = 0, peers = 0 } = ports;
  return [
    'name: front-1',
    'zone: a',
    'listen:',
    `  callers: ${HOST}:${callers}`,
    `  readiness: ${HOST}:${readiness}`,
    `  metrics: ${HOST}:${metrics}`,
    `  peers: ${HOST}:${peers}`,
    `store: ${HOST}:1`,
    'bounds:',
    '  contactMs: 3000',
    '  stopGraceSeconds: 2',
    '  leaseMs: 3000',
    'retryBudget:',
    '  ratio: 0.2',
    '  slack: 4',
    'logging:',
    '  maxLinesPerSecond: 200',
    '',
  ].join('\n');
}

/** One process of the program. */
export class GatewayProcess {
  readonly #child: ChildProcess;
  readonly #lines: LogLine[] = [];
  readonly #waiters = new Set<() => void>();
  readonly ended: Promise<ProcessEnd>;
  /** Resolves once it has written to standard error, or has ended. */
  readonly told: Promise<unknown>;
  #end: ProcessEnd | undefined;

  /** @param log where its standard output goes: to this object, or to a descriptor */
  constructor(program: string, settingsPath: string, log: 'pipe' | number) {
    this.#child = spawn(process.execPath, [...NODE_FLAGS, program, settingsPath], {
      stdio: ['ignore', log, 'pipe'],
    });
    const { stdout, stderr } = this.#child;
    if (stderr === null) throw new Error('standard error is a pipe');
    if (stdout !== null) {
      createInterface({ input: stdout }).on('line', (line) => this.#record(line));
    }
    this.told = Promise.race([once(stderr, 'data'), once(stderr, 'close')]);
    stderr.resume();
    // `close` follows the last line of the log.
    this.ended = once(this.#child, 'close').then(([exitCode, signal]) => {
      this.#end = { exitCode, signal };
      this.#wake();
      return this.#end;
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Reads its log no longer, as a reader that has ended. */
  closeLog(): void {
    this.#child.stdout?.destroy();
  }

  /** Resolves with the first matching line, including lines before the call; rejects if the process ends without one. */
  async logged(
    event: LogEvent,
    matches: (line: LogLine) => boolean = () => true,
  ): Promise<LogLine> {
    for (;;) {
      const found = this.#lines.find((line) => line.event === event.number && matches(line));
      if (found !== undefined) return found;
      if (this.#end !== undefined) {
        throw new Error(`ended (${JSON.stringify(this.#end)}) without event ${event.number}`);
      }
      await new Promise<void>((resolve) => this.#waiters.add(resolve));
    }
  }

  #record(text: string): void {
    this.#lines.push(JSON.parse(text) as LogLine);
    this.#wake();
  }

  #wake(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }
}

/** The built program in a temporary folder, with the processes and the settings files of one test file. */
export class GatewayProgram {
  readonly #directory = mkdtempSync(join(tmpdir(), 'threadfork-program-'));
  readonly #processes: GatewayProcess[] = [];
  #settingsFiles = 0;

  constructor() {
    execFileSync(process.execPath, [...NODE_FLAGS, 'scripts/build-gateway.mjs', this.#directory]);
  }

  /** Writes a settings file, if there is a text, and returns its path. */
  writeSettings(text: string | undefined = settingsText()): string {
    this.#settingsFiles += 1;
    const path = join(this.#directory, `settings-${this.#settingsFiles}.yaml`);
    if (text !== undefined) writeFileSync(path, text);
    return path;
  }

  /** The path of a settings file that does not exist. */
  missingSettings(): string {
    return join(this.#directory, 'missing.yaml');
  }

  start(settingsPath = this.writeSettings(), log: 'pipe' | number = 'pipe'): GatewayProcess {
    const started = new GatewayProcess(join(this.#directory, 'gateway.cjs'), settingsPath, log);
    this.#processes.push(started);
    return started;
  }

  /** Ends the processes that still run; resolves once they are gone. */
  async killAll(): Promise<void> {
    for (const started of this.#processes) started.signal('SIGKILL');
    await Promise.all(this.#processes.splice(0).map(({ ended }) => ended));
  }

  remove(): void {
    rmSync(this.#directory, { recursive: true });
  }
}
