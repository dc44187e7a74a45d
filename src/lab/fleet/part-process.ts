/** A child process of a fleet: spawned, awaited by its ready line, and stopped by signals. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { Milliseconds } from '../../core/common/time.js';

const MAX_LOG_LINES = 20;
const READY_TIMEOUT_MS = 30_000;

/** How to start a process of the fleet. */
export interface PartOptions {
  readonly name: string;
  /** The script and its arguments, run by the same Node.js executable as this process. */
  readonly command: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  /** The folder for the log file `<name>.log`; null keeps only the last lines in memory. */
  readonly logFolder: string | null;
}

/** How a process ended. */
export interface PartExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process of the fleet, running or ended. */
export class PartProcess {
  readonly name: string;
  /** Resolves when the process has ended; never rejects. */
  readonly exited: Promise<PartExit>;
  private readonly child: ChildProcess;
  private readonly lastLines: string[] = [];
  private readonly firstLine: Promise<string | null>;
  private stopRequested = false;

  constructor(options: PartOptions) {
    this.name = options.name;
    // Detached: Ctrl-C must reach only the runner, which then stops the processes in order.
    this.child = spawn(process.execPath, [...options.command], {
      stdio: ['ignore', 'pipe', 'pipe'],
      detached: true,
      env: { ...process.env, ...options.environment },
    });
    this.exited = new Promise((resolve) => {
      this.child.once('error', (error) => {
        this.lastLines.push(error.message);
        resolve({ code: null, signal: null });
      });
      this.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    this.keepLog(options.logFolder);
    this.firstLine = this.readFirstLine();
  }

  /** The process id; undefined if the process could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Whether `signal` was called; an exit before that is a failure. */
  get isStopping(): boolean {
    return this.stopRequested;
  }

  /** Whether the process has ended. */
  get hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** The last lines of the log. */
  get log(): readonly string[] {
    return this.lastLines;
  }

  /** The JSON of the ready line. Rejects if the process ends or times out before printing it. */
  async ready(): Promise<unknown> {
    const line = await Promise.race([this.firstLine, timeout(READY_TIMEOUT_MS)]);
    if (line !== null) return JSON.parse(line);
    const log = this.lastLines.length === 0 ? '' : `:\n  ${this.lastLines.join('\n  ')}`;
    throw new Error(`${this.name} did not get ready${log}`);
  }

  /** Sends a signal; an exit after it does not count as a failure. */
  signal(signal: NodeJS.Signals): void {
    this.stopRequested = true;
    this.child.kill(signal);
  }

  /** Sends a signal and waits for the exit; after `graceMs`, sends SIGKILL. */
  async stop(signal: NodeJS.Signals, graceMs: Milliseconds): Promise<PartExit> {
    this.signal(signal);
    const killer = setTimeout(() => this.child.kill('SIGKILL'), graceMs);
    const exit = await this.exited;
    clearTimeout(killer);
    return exit;
  }

  private keepLog(folder: string | null): void {
    const { stderr } = this.child;
    if (stderr === null) return;
    if (folder !== null) stderr.pipe(createWriteStream(join(folder, `${this.name}.log`)));
    createInterface({ input: stderr }).on('line', (line) => {
      this.lastLines.push(line);
      if (this.lastLines.length > MAX_LOG_LINES) this.lastLines.shift();
    });
  }

  private readFirstLine(): Promise<string | null> {
    const { stdout } = this.child;
    if (stdout === null) return Promise.resolve(null);
    return new Promise((resolve) => {
      const lines = createInterface({ input: stdout });
      lines.once('line', resolve);
      lines.once('close', () => resolve(null));
      this.child.once('error', () => resolve(null));
    });
  }
}

function timeout(afterMs: Milliseconds): Promise<null> {
  return new Promise((resolve) => {
    setTimeout(() => resolve(null), afterMs).unref();
  });
}
