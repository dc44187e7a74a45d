/** One daemon of a run: its settings file, its process, and the signals that are sent to it. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { OwnEnd, SoakBounds } from './record.js';

const CALLERS_PORT = 8_144;
const READINESS_PORT = 8_140;
const PEERS_PORT = 7_660;
/** The flags that deployed gateways run with. */
export const NODE_FLAGS = ['--max-semi-space-size=2', '--max-old-space-size=96'];
const LEASE_MS = 3_000;
const USAGE_WINDOW_SECONDS = 5;

export interface GatewayProcessOptions {
  readonly name: string;
  readonly zone: string;
  /** A loopback address that no other daemon uses. */
  readonly host: string;
  readonly storePort: number;
  readonly dutyPort: number;
  readonly program: string;
  /** Program of an earlier release for the first incarnation; undefined if it runs `program` as well. */
  readonly earlierProgram: string | undefined;
  /** Directory for the settings file and the log. */
  readonly directory: string;
  readonly bounds: SoakBounds;
}

export class GatewayProcess {
  readonly #options: GatewayProcessOptions;
  readonly #settingsPath: string;
  #process: ChildProcess | undefined;
  #logged: Promise<void> = Promise.resolve();
  readonly #ownEnds: OwnEnd[] = [];
  /** Number of starts so far; identifies the current incarnation. */
  incarnation = 0;
  isStopping = false;
  isFrozen = false;

  constructor(options: GatewayProcessOptions) {
    this.#options = options;
    this.#settingsPath = join(options.directory, `${options.name}.yaml`);
    writeFileSync(this.#settingsPath, settingsText(options));
  }

  get name(): string {
    return this.#options.name;
  }

  get host(): string {
    return this.#options.host;
  }

  get port(): number {
    return CALLERS_PORT;
  }

  get isRunning(): boolean {
    return this.#process !== undefined;
  }

  start(): void {
    if (this.#process !== undefined) return;
    const { directory, name } = this.#options;
    const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [...NODE_FLAGS, this.#nextProgram, this.#settingsPath], {
      // Standard input tells the daemon when this process has ended.
      stdio: ['pipe', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (exitCode) => {
      // A signal that ends the process leaves no code; SIGTERM asks it to end by itself.
      const isOwnEnd = exitCode !== null && !(this.isStopping && exitCode === 0);
      if (isOwnEnd) this.#ownEnds.push({ daemon: name, exitCode, atMs: performance.now() });
      if (this.#process === child) this.#process = undefined;
      this.isStopping = false;
      this.isFrozen = false;
    });
    // Output may still be read after the process has exited, but not after `close`.
    child.once('close', () => log.end());
    this.#logged = new Promise((resolve) => log.once('close', () => resolve()));
    this.#process = child;
    this.incarnation += 1;
  }

  get #nextProgram(): string {
    const { program, earlierProgram } = this.#options;
    return this.incarnation === 0 ? (earlierProgram ?? program) : program;
  }

  signal(signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    if (signal === 'SIGTERM') this.isStopping = true;
    if (signal === 'SIGSTOP') this.isFrozen = true;
    if (signal === 'SIGCONT') this.isFrozen = false;
    this.#process?.kill(signal);
  }

  /** Resolves once the process has exited. */
  ended(): Promise<void> {
    const child = this.#process;
    if (child === undefined) return Promise.resolve();
    return new Promise((resolve) => child.once('exit', () => resolve()));
  }

  /** Resolves once the log has all output of the last process, which has to exit. */
  logged(): Promise<void> {
    return this.#logged;
  }

  /** The ends of its processes without a signal that ends them. */
  get ownEnds(): readonly OwnEnd[] {
    return this.#ownEnds;
  }

  /** Whether the readiness endpoint reports that the daemon is ready. */
  async isReady(): Promise<boolean> {
    if (this.#process === undefined || this.isFrozen) return false;
    try {
      const answer = await fetch(`http://${this.host}:${READINESS_PORT}/ready`, {
        signal: AbortSignal.timeout(500),
      });
      await answer.arrayBuffer();
      return answer.ok;
    } catch {
      return false; // The daemon does not listen yet, or has stopped listening.
    }
  }
}

function settingsText(options: GatewayProcessOptions): string {
  const { name, zone, host, storePort, dutyPort, bounds } = options;
  return [
    `name: ${name}`,
    `zone: ${zone}`,
    'listen:',
    `  callers: ${host}:${CALLERS_PORT}`,
    `  readiness: ${host}:${READINESS_PORT}`,
    `  peers: ${host}:${PEERS_PORT}`,
    `store: 127.0.0.1:${storePort}`,
    'duties:',
    `  address: 127.0.0.1:${dutyPort}`,
    `  usageWindowSeconds: ${USAGE_WINDOW_SECONDS}`,
    '  usageDueSeconds: 10',
    'bounds:',
    `  contactMs: ${bounds.contactMs}`,
    `  stopGraceSeconds: ${bounds.graceMs / 1_000}`,
    `  leaseMs: ${LEASE_MS}`,
    `  drainMs: ${bounds.drainMs}`,
    'retryBudget:',
    `  ratio: ${bounds.budgetRatio}`,
    `  slack: ${bounds.budgetSlack}`,
    'logging:',
    '  maxLinesPerSecond: 200',
    '',
  ].join('\n');
}
