/** The processes of the HTTP benchmark: platform, backends, one daemon and the pass-through. */
import { randomBytes, randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { configurationSchema } from '../../src/core/configuration/document.js';
import type { Endpoint } from '../../src/core/registry/backend.js';
import { daemonCommand, FLEET_KEY_VARIABLE } from '../../src/lab/fleet/commands.js';
import { getJson, postJson } from '../../src/lab/fleet/http-json.js';
import { PartProcess } from '../../src/lab/fleet/part-process.js';
import { pollUntil } from '../../src/lab/fleet/poll-until.js';
import { MachineRegistration } from '../../src/lab/platform/index.js';
import { MODEL, VERSION } from './shapes.js';

/** Number of backend processes; enough that they are not the bottleneck. */
const BACKENDS = 3;
const ZONE = 'bench-a';
const TIMEOUT_MS = 20_000;
const STOP_GRACE_MS = 5_000;
const MS_PER_SECOND = 1_000;
/** Clock ticks per second in /proc: USER_HZ, which Linux fixes at 100. */
const TICKS_PER_SECOND = 100;

/** A proxy process under test. */
export interface Subject {
  readonly callers: Endpoint;
  readonly process: PartProcess;
}

/** The processes, all on loopback. */
export class BenchProcesses {
  readonly #parts: PartProcess[] = [];
  #daemon: Subject | null = null;
  #passThrough: Subject | null = null;

  /** The daemon. */
  get daemon(): Subject {
    return started(this.#daemon);
  }

  /** The pass-through. */
  get passThrough(): Subject {
    return started(this.#passThrough);
  }

  /** Starts all processes; resolves when daemon and pass-through accept requests. */
  async start(): Promise<void> {
    const platform = endpointOf(await this.#spawn('platform', platformCommand()).ready());
    const weight = { model: MODEL, version: VERSION, bytes: 1 };
    await postJson(platform, '/weights', weight);
    const list = new MachineRegistration(platform);
    const names = Array.from({ length: BACKENDS }, (_, place) => `backend-${place + 1}`);
    const backends = await Promise.all(names.map((name) => this.#startBackend(name, list)));
    await this.#startPassThrough(backends);
    await this.#startDaemon(platform, list);
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.#parts.map((part) => part.stop('SIGTERM', STOP_GRACE_MS)));
  }

  async #startBackend(name: string, list: MachineRegistration): Promise<Endpoint> {
    const process = this.#spawn(name, [scriptPath('./emulated-backend.js'), name]);
    const endpoint = endpointOf(await process.ready());
    const engine = { kind: 'engine', zone: ZONE, accelerator: 'new', state: 'live' } as const;
    await list.put({ ...engine, name, ...endpoint });
    return endpoint;
  }

  async #startPassThrough(backends: readonly Endpoint[]): Promise<void> {
    const addresses = backends.map(({ address, port }) => `${address}:${port}`);
    const process = this.#spawn('pass-through', [scriptPath('./pass-through.js'), ...addresses]);
    this.#passThrough = { callers: endpointOf(await process.ready()), process };
  }

  async #startDaemon(platform: Endpoint, list: MachineRegistration): Promise<void> {
    const name = 'daemon-1';
    const key = { [FLEET_KEY_VARIABLE]: randomBytes(16).toString('hex') };
    const process = this.#spawn(name, daemonCommand({ name, zone: ZONE }, platform), key);
    const ready = record(await process.ready());
    const callers = parseEndpoint(ready.callers);
    const operators = parseEndpoint(ready.operators);
    const peers = parseEndpoint(ready.peers);
    await list.put({ kind: 'daemon', name, zone: ZONE, state: 'live', ...peers });
    await waitFor('the configuration to be applied', () => applyConfiguration(operators));
    await waitFor('the daemon to be ready', () => isReady(callers, operators));
    this.#daemon = { callers, process };
  }

  #spawn(
    name: string,
    command: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): PartProcess {
    const part = new PartProcess({ name, command, environment, logFolder: null });
    this.#parts.push(part);
    return part;
  }
}

/** The CPU time that a process has used, in milliseconds (Linux only). */
export function cpuTimeMs({ process }: Subject): number {
  const stat = readFileSync(`/proc/${process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND;
}

function platformCommand(): string[] {
  const script = scriptPath('../../src/lab/main.js');
  return [script, 'platform', '--listen', '127.0.0.1:0', '--machine-lag-ms', '0'];
}

async function applyConfiguration(operators: Endpoint): Promise<true | null> {
  const document = configurationSchema.parse({
    models: { [MODEL]: { version: VERSION } },
    tenants: { bench: { class: 'interactive' } },
    anonymousTenant: 'bench',
  });
  const body = { id: randomUUID(), document, dryRun: false };
  const { json } = await postJson(operators, '/v1/commands', body);
  return record(json).kind === 'applied' ? true : null;
}

async function isReady(callers: Endpoint, operators: Endpoint): Promise<true | null> {
  const { status } = await getJson(callers, '/readyz');
  const granted = record((await getJson(operators, '/v1/status')).json).enginesGranted;
  return status === 200 && granted === BACKENDS ? true : null;
}

function waitFor(what: string, poll: () => Promise<true | null>): Promise<true> {
  const { signal } = new AbortController();
  return pollUntil(poll, { what, timeoutMs: TIMEOUT_MS, signal });
}

function scriptPath(relative: string): string {
  return fileURLToPath(new URL(relative, import.meta.url));
}

function endpointOf(ready: unknown): Endpoint {
  const { address, port } = record(ready);
  return { address: String(address), port: Number(port) };
}

function parseEndpoint(text: unknown): Endpoint {
  const [address = '', port = ''] = String(text).split(':');
  return { address, port: Number(port) };
}

function record(value: unknown): Record<string, unknown> {
  return typeof value === 'object' && value !== null ? { ...value } : {};
}

function started(subject: Subject | null): Subject {
  if (subject === null) {
    throw new Error('the processes have not been started; call start first');
  }
  return subject;
}
