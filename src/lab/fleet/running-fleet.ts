/** Starts all processes of a fleet, puts its configuration in force, and stops them. */
import { randomBytes, randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Milliseconds } from '../../core/common/time.js';
import type { Endpoint } from '../../core/registry/backend.js';
import { parseEndpoint } from '../../shell/settings/index.js';
import { MachineRegistration } from '../platform/index.js';
import {
  daemonCommand,
  engineCommand,
  FLEET_KEY_VARIABLE,
  platformCommand,
  webCommand,
} from './commands.js';
import type { Fleet } from './definition.js';
import { getJson, postJson } from './http-json.js';
import { type PartExit, PartProcess } from './part-process.js';
import { pollUntil } from './poll-until.js';

const CONFIGURATION_TIMEOUT_MS: Milliseconds = 20_000;
const READY_TIMEOUT_MS: Milliseconds = 20_000;
const DAEMON_STOP_GRACE_MS: Milliseconds = 20_000;
const STOP_GRACE_MS: Milliseconds = 5_000;
const FLEET_KEY_BYTES = 16;

const endpointText = z.string().transform((text, context): Endpoint => {
  const parsed = parseEndpoint(text);
  if (parsed.isOk()) return parsed.value;
  context.addIssue({ code: 'custom', message: parsed.error });
  return z.NEVER;
});
const endpointReadySchema = z.object({ address: z.string(), port: z.int() });
const daemonReadySchema = z.object({
  callers: endpointText,
  operators: endpointText,
  peers: endpointText,
});
const appliedSchema = z.object({
  kind: z.literal('applied'),
  version: z.int(),
  inForce: z.int(),
});
const statusSchema = z.object({ enginesGranted: z.int(), configurationVersion: z.int() });

/** A running engine or web backend. */
export interface RunningBackend {
  readonly name: string;
  readonly zone: string;
  readonly endpoint: Endpoint;
  readonly process: PartProcess;
}

/** A running daemon. */
export interface RunningDaemonPart {
  readonly name: string;
  readonly zone: string;
  readonly callers: Endpoint;
  readonly operators: Endpoint;
  readonly peers: Endpoint;
  readonly process: PartProcess;
}

/** Options of the runner. */
export interface FleetOptions {
  /** The folder for the log files; null keeps only the last lines in memory. */
  readonly logFolder: string | null;
  /** Aborts the start. */
  readonly signal: AbortSignal;
  /** Called with a description of each step of starting and stopping. */
  readonly onStep: (step: string) => void;
}

/** A fleet of processes. */
export class RunningFleet {
  platform: Endpoint = { address: '', port: 0 };
  engines: readonly RunningBackend[] = [];
  webs: readonly RunningBackend[] = [];
  daemons: readonly RunningDaemonPart[] = [];
  /** Failures of processes: an unexpected exit, or a stop that was not clean. */
  readonly problems: string[] = [];
  private readonly parts: PartProcess[] = [];
  private readonly fleetKey = randomBytes(FLEET_KEY_BYTES).toString('hex');

  constructor(
    private readonly fleet: Fleet,
    private readonly options: FleetOptions,
  ) {}

  /** Starts all processes; resolves when the fleet accepts requests. On failure, call `stop`. */
  async start(): Promise<void> {
    const { definition } = this.fleet;
    const { onStep } = this.options;
    onStep('starting the platform');
    await this.startPlatform();
    onStep(`starting ${definition.engines.length} engines and ${definition.webs.length} backends`);
    await this.startBackends();
    onStep(`starting ${definition.daemons.length} daemons`);
    await this.startDaemons();
    onStep('putting the configuration in force');
    const { version, inForce } = await this.applyConfiguration();
    onStep(
      `version ${version} is applied, in force on ${inForce} daemons; waiting for all of them`,
    );
    await Promise.all(this.daemons.map((daemon) => this.ready(daemon, version)));
  }

  /** Stops the daemons first, which finish their requests, then the backends and the platform. */
  async stop(): Promise<void> {
    this.options.onStep('stopping the daemons');
    const daemons = this.daemons.map((daemon) => daemon.process);
    await Promise.all(daemons.map((part) => this.stopPart(part, 'SIGTERM', DAEMON_STOP_GRACE_MS)));
    this.options.onStep('stopping the backends and the platform');
    const others = this.parts.filter((part) => !daemons.includes(part));
    await Promise.all(others.map((part) => this.stopPart(part, 'SIGINT', STOP_GRACE_MS)));
  }

  /** Kills all running processes immediately; this is not recorded in `problems`. */
  async kill(): Promise<void> {
    for (const part of this.parts) part.signal('SIGKILL');
    await Promise.all(this.parts.map((part) => part.exited));
  }

  /** Waits for a daemon's exit and restarts it under the same name. Resolves when it listens. */
  async restartDaemon(name: string): Promise<RunningDaemonPart> {
    const before = this.daemons.find((daemon) => daemon.name === name);
    if (before === undefined) throw new Error(`there is no daemon ${name}`);
    await before.process.exited;
    const restarted = await this.startDaemon(before);
    this.daemons = this.daemons.map((daemon) => (daemon.name === name ? restarted : daemon));
    return restarted;
  }

  /** Waits for an engine's exit and restarts it under the same name. Resolves when it listens. */
  async restartEngine(name: string): Promise<RunningBackend> {
    const before = this.engines.find((engine) => engine.name === name);
    const number = this.fleet.definition.engines.findIndex((engine) => engine.name === name);
    const engine = this.fleet.definition.engines[number];
    if (before === undefined || engine === undefined) throw new Error(`there is no engine ${name}`);
    await before.process.exited;
    const command = engineCommand(this.fleet.definition, engine, number + 1, this.platform);
    const restarted = await this.backend(engine, command);
    this.engines = this.engines.map((other) => (other.name === name ? restarted : other));
    return restarted;
  }

  private async startPlatform(): Promise<void> {
    const { definition } = this.fleet;
    const part = this.spawn('platform', platformCommand(definition));
    this.platform = endpointReadySchema.parse(await part.ready());
    for (const weight of definition.platform.weights) {
      const body = { ...weightName(weight), bytes: 1 };
      const { status } = await postJson(this.platform, '/weights', body);
      if (status !== 200) throw new Error(`weights ${weight}: the platform answered ${status}`);
    }
  }

  private async startBackends(): Promise<void> {
    const { definition } = this.fleet;
    const engines = definition.engines.map((engine, number) =>
      this.backend(engine, engineCommand(definition, engine, number + 1, this.platform)),
    );
    const webs = definition.webs.map((web) => this.backend(web, webCommand(web, this.platform)));
    this.engines = await Promise.all(engines);
    this.webs = await Promise.all(webs);
  }

  private async backend(
    { name, zone }: { readonly name: string; readonly zone: string },
    command: readonly string[],
  ): Promise<RunningBackend> {
    const process = this.spawn(name, command);
    const endpoint = endpointReadySchema.parse(await process.ready());
    return { name, zone, endpoint, process };
  }

  private async startDaemons(): Promise<void> {
    const { daemons } = this.fleet.definition;
    this.daemons = await Promise.all(daemons.map((daemon) => this.startDaemon(daemon)));
  }

  private async startDaemon({
    name,
    zone,
  }: {
    readonly name: string;
    readonly zone: string;
  }): Promise<RunningDaemonPart> {
    const environment = { [FLEET_KEY_VARIABLE]: this.fleetKey };
    const process = this.spawn(name, daemonCommand({ name, zone }, this.platform), environment);
    const ready = daemonReadySchema.parse(await process.ready());
    const list = new MachineRegistration(this.platform);
    await list.put({ kind: 'daemon', name, zone, state: 'live', ...ready.peers });
    return { name, zone, ...ready, process };
  }

  /** Retries on the first daemon until `applied`; the change id makes the retries idempotent. */
  private async applyConfiguration(): Promise<z.infer<typeof appliedSchema>> {
    const body = { id: randomUUID(), document: this.fleet.configuration, dryRun: false };
    let lastAnswer = 'no answer';
    const poll = async () => {
      const daemon = this.daemons[0];
      if (daemon === undefined) return null;
      const { status, json } = await postJson(daemon.operators, '/v1/commands', body);
      lastAnswer = `${status} ${JSON.stringify(json)}`;
      return appliedSchema.safeParse(json).data ?? null;
    };
    const what = 'the configuration to be applied';
    return this.pollUntil(poll, what, CONFIGURATION_TIMEOUT_MS).catch((error: Error) => {
      throw new Error(`${error.message}; last answer: ${lastAnswer}`);
    });
  }

  /** Waits until a daemon is ready, has the version, and is granted engines to send requests to. */
  private async ready(daemon: RunningDaemonPart, version: number): Promise<void> {
    const { name, callers, operators } = daemon;
    let lastAnswer = 'no answer';
    const poll = async () => {
      const readiness = await getJson(callers, '/readyz');
      const status = statusSchema.safeParse((await getJson(operators, '/v1/status')).json).data;
      lastAnswer = `readyz ${readiness.status}, ${JSON.stringify(status)}`;
      if (readiness.status !== 200 || status === undefined) return null;
      return status.enginesGranted > 0 && status.configurationVersion >= version ? true : null;
    };
    await this.pollUntil(poll, `${name} to be ready`, READY_TIMEOUT_MS).catch((error: Error) => {
      throw new Error(`${error.message}; last answer: ${lastAnswer}`);
    });
  }

  private pollUntil<T>(
    poll: () => Promise<T | null>,
    what: string,
    timeoutMs: Milliseconds,
  ): Promise<T> {
    return pollUntil(poll, { what, timeoutMs, signal: this.options.signal });
  }

  private spawn(
    name: string,
    command: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): PartProcess {
    const { logFolder } = this.options;
    const part = new PartProcess({ name, command, environment, logFolder });
    this.parts.push(part);
    void part.exited.then((exit) => this.recordUnexpectedExit(part, exit));
    return part;
  }

  private recordUnexpectedExit(part: PartProcess, exit: PartExit): void {
    if (part.isStopping) return;
    const log = part.log.map((line) => `\n  ${line}`).join('');
    this.problems.push(`${part.name} exited unexpectedly (${exit.signal ?? exit.code})${log}`);
  }

  private async stopPart(
    part: PartProcess,
    signal: NodeJS.Signals,
    graceMs: Milliseconds,
  ): Promise<void> {
    const wasRunning = !part.hasExited;
    const exit = await part.stop(signal, graceMs);
    if (!wasRunning || exit.code === 0) return;
    const how = exit.signal === 'SIGKILL' ? `was killed after ${graceMs} ms` : `exit ${exit.code}`;
    this.problems.push(`${part.name} did not stop cleanly: ${how}`);
  }
}

function weightName(text: string): { model: string; version: string; adapter?: string } {
  const [path = '', version = ''] = text.split('@');
  const [model = '', adapter] = path.split('/');
  return adapter === undefined ? { model, version } : { model, version, adapter };
}
