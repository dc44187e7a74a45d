/** One real process of `threadforkd`, with limits of its own, between a platform, a web server and callers of the test. */
import { type ChildProcess, spawn } from 'node:child_process';
import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { pause } from '../../../soak/pause.js';
import { configurationSchema } from '../../../src/core/configuration/document.js';
import { postJson } from '../../../src/lab/fleet/http-json.js';
import {
  createPlatformServer,
  MachineRegistration,
  type PlatformServer,
} from '../../../src/lab/platform/index.js';
import type { HttpLimits } from '../../../src/shell/http/index.js';
import { parseEndpoint } from '../../../src/shell/settings/index.js';

const PROGRAM = fileURLToPath(new URL('../../../src/daemon/main.js', import.meta.url));
const HOST = '127.0.0.1';
const ANY_PORT = { address: HOST, port: 0 };
const SERVICE = 'orders';
const POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;
const ANSWER_TIMEOUT_MS = 20_000;
const OUTPUT_CHARACTERS = 2_000;
const BYTES_PER_KILOBYTE = 1_024;
const CONFIGURATION = configurationSchema.parse({
  tenants: { field: { class: 'interactive' } },
  routes: [{ prefix: '/orders/', service: SERVICE, repeatable: false }],
  anonymousTenant: 'field',
});

/** Limits of the process under test. */
export interface DaemonLimits {
  readonly maxOldSpaceMb: number;
  readonly http: Partial<HttpLimits>;
}

/** How the process ended. */
export interface DaemonEnd {
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A daemon process and what surrounds it. */
export class RealDaemon {
  /** How the server handles requests of callers. */
  serve: (request: IncomingMessage, response: ServerResponse) => void = answer;
  end: DaemonEnd | undefined;
  readonly #directory = mkdtempSync(join(tmpdir(), 'threadforkd-process-'));
  readonly #server = createServer((request, response) => {
    response.on('error', () => response.destroy());
    if (request.url === '/healthz') response.writeHead(200).end();
    else this.serve(request, response);
  });
  readonly #callers: Socket[] = [];
  #platform: PlatformServer | undefined;
  #process: ChildProcess | undefined;
  #callersPort = 0;
  #output = '';

  /** The end of what the process wrote. */
  get output(): string {
    return this.#output.slice(-OUTPUT_CHARACTERS);
  }

  /** Starts the process and waits until it serves a request. */
  async start(limits: DaemonLimits): Promise<void> {
    this.#server.listen(0, HOST);
    await once(this.#server, 'listening');
    this.#platform = await createPlatformServer(ANY_PORT);
    const machines = new MachineRegistration(this.#platform);
    const { port } = this.#server.address() as AddressInfo;
    const web = { name: 'orders-1', zone: 'a', state: 'live', address: HOST, port } as const;
    await machines.put({ kind: 'web', service: SERVICE, ...web });
    const { callers, operators, peers } = await this.#spawn(limits, this.#platform.port);
    await machines.put({ kind: 'daemon', name: 'd1', zone: 'a', state: 'live', ...peers });
    this.#callersPort = callers.port;
    const change = { id: randomUUID(), document: CONFIGURATION, dryRun: false };
    await this.waitUntil(async () => {
      const { json } = await postJson(operators, '/v1/commands', change);
      return (json as { kind?: string } | null)?.kind === 'applied';
    }, READY_TIMEOUT_MS);
    await this.waitUntil(async () => (await this.request()) === 200, READY_TIMEOUT_MS);
  }

  async stop(): Promise<void> {
    this.leave();
    const child = this.#process;
    if (child !== undefined && this.end === undefined) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    await this.#platform?.close();
    this.#server.closeAllConnections();
    this.#server.close();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Opens a caller's connection, which stays until `leave`, and writes to it. What is answered stays unread. */
  connect(...writes: readonly (string | Buffer)[]): Socket {
    const socket = connect(this.#callersPort, HOST);
    socket.on('error', () => socket.destroy());
    for (const bytes of writes) socket.write(bytes);
    this.#callers.push(socket);
    return socket;
  }

  /** Closes the connections of all callers. */
  leave(): void {
    for (const socket of this.#callers.splice(0)) socket.destroy();
  }

  /** Sends one ordinary request on a connection of its own; undefined if it got no answer. */
  async request(body = 'order'): Promise<number | undefined> {
    const signal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
    const url = `http://${HOST}:${this.#callersPort}/orders/1`;
    const headers = { connection: 'close' };
    try {
      const answered = await fetch(url, { method: 'POST', body, headers, signal });
      await answered.arrayBuffer();
      return answered.status;
    } catch {
      return undefined;
    }
  }

  /** Peak of the resident memory since the start. */
  get peakBytes(): number {
    const status = readFileSync(`/proc/${this.#process?.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KILOBYTE;
  }

  /** Open descriptors. */
  get descriptors(): number {
    return readdirSync(`/proc/${this.#process?.pid}/fd`).length;
  }

  /** Resolves once a condition holds or the process has ended; rejects after a time limit. */
  async waitUntil(isTrue: () => Promise<boolean>, limitMs: number): Promise<void> {
    const untilMs = performance.now() + limitMs;
    while (this.end === undefined && !(await isTrue())) {
      if (performance.now() > untilMs) throw new Error(`not so in time; output: ${this.output}`);
      await pause(POLL_MS);
    }
  }

  async #spawn(limits: DaemonLimits, platformPort: number) {
    const settings = join(this.#directory, 'daemon.yaml');
    writeFileSync(settings, settingsText(limits, platformPort));
    const flags = ['--max-semi-space-size=2', `--max-old-space-size=${limits.maxOldSpaceMb}`];
    const child = spawn(process.execPath, [...flags, PROGRAM, '--settings', settings], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process = child;
    child.once('exit', (exitCode, signal) => {
      this.end = { exitCode, signal };
    });
    child.stderr.on('data', (chunk: Buffer) => {
      this.#output += chunk.toString('utf8');
    });
    const [line] = await once(createInterface({ input: child.stdout }), 'line');
    const ready = JSON.parse(String(line)) as Record<'callers' | 'operators' | 'peers', string>;
    return {
      callers: parseEndpoint(ready.callers)._unsafeUnwrap(),
      operators: parseEndpoint(ready.operators)._unsafeUnwrap(),
      peers: parseEndpoint(ready.peers)._unsafeUnwrap(),
    };
  }
}

/** Answers a request as a server does. */
function answer(request: IncomingMessage, response: ServerResponse): void {
  request.resume();
  request.once('end', () => response.end('served'));
}

function settingsText(limits: DaemonLimits, platformPort: number): string {
  const listen = `{ callers: ${HOST}:0, operators: ${HOST}:0, peers: ${HOST}:0 }`;
  const http = Object.entries(limits.http).map(([name, value]) => `    ${name}: ${value}`);
  return [
    'name: d1',
    'zone: a',
    `listen: ${listen}`,
    `platform: ${HOST}:${platformPort}`,
    'fleetKey: { value: 0123456789abcdef }',
    'limits:',
    '  http:',
    ...http,
    '',
  ].join('\n');
}
