/** One real process of the gateway, with limits of its own, between a store, a server and callers of the test. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  readlinkSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { TABLES } from '../../../platform/names.js';
import { AddressBlock } from '../../../soak/address-block.js';
import { bundleGateway } from '../../../soak/bundle.js';
import { pause } from '../../../soak/pause.js';
import { PlatformStore } from '../../../soak/platform-store.js';
import { CONFIGURATION, HOST } from './real-configuration.js';

const POLL_MS = 50;
const GET_TIMEOUT_MS = 2_000;
const READY_TIMEOUT_MS = 20_000;
const CALLERS_PORT = 8_144;
const READINESS_PORT = 8_140;
const METRICS_PORT = 9_464;
const PEERS_PORT = 7_660;
const BYTES_PER_KILOBYTE = 1_024;
const MILLISECONDS_PER_SECOND = 1_000;
/** Callers write in pieces of this length, so that what the process has taken can be told from what waits. */
const PIECE_BYTES = 16_384;
const QUIET_MS = 1_000;
const SETTLE_LIMIT_MS = 10_000;

/** Limits of the process under test. */
export interface ProcessLimits {
  /** Flags of node besides those of the deployment. */
  readonly maxOldSpaceMb?: number;
  /** The memory that the settings name; none where it is undefined. */
  readonly memoryMb?: number;
  /** The most descriptors that the system gives it; as many as this process has where it is undefined. */
  readonly descriptors?: number;
}

/** Limits of the configuration that apply to callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** How the process ended. */
export interface ProcessEnd {
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A request of a test. */
export interface TestRequest {
  readonly path?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  /** How many bytes of the body are sent; all where it is undefined. */
  readonly sentBytes?: number;
}

/** A request that was sent, and its answer as far as it has come. */
export class SentRequest {
  readonly socket: Socket;
  #received = '';
  #takenBytes = 0;

  constructor(socket: Socket) {
    this.socket = socket;
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      this.#received += chunk.toString('latin1');
    });
  }

  /** The status of the answer; undefined before it has begun. */
  get status(): number | undefined {
    const found = /^HTTP\/1\.1 (\d{3})/.exec(this.#received)?.[1];
    return found === undefined ? undefined : Number(found);
  }

  /** Writes bytes as they are, in pieces. */
  write(bytes: Buffer): void {
    for (let from = 0; from < bytes.length; from += PIECE_BYTES) {
      const piece = bytes.subarray(from, from + PIECE_BYTES);
      this.socket.write(piece, () => {
        this.#takenBytes += piece.length;
      });
    }
  }

  /** Whether the system has taken all that was written. */
  get isTaken(): boolean {
    return this.socket.writableLength === 0 && !this.socket.connecting;
  }

  /** The bytes that the system has taken for the process. */
  get takenBytes(): number {
    return this.#takenBytes;
  }

  /** The answers so far, their heads included. */
  get received(): string {
    return this.#received;
  }

  /** The characters of the answer so far, its head included. */
  get receivedLength(): number {
    return this.#received.length;
  }

  /** Whether the answer says when the caller may come back. */
  get saysWhenToReturn(): boolean {
    return this.retryAfterMs !== undefined;
  }

  /** The time after which the caller may come back; undefined where the answer names none. */
  get retryAfterMs(): number | undefined {
    const seconds = /\r\nRetry-After: ([\d.]+)\r\n/i.exec(this.#received)?.[1];
    return seconds === undefined ? undefined : Number(seconds) * MILLISECONDS_PER_SECOND;
  }
}

/** A gateway process and what surrounds it. */
export class RealGateway {
  readonly store = new PlatformStore(() => 0.5);
  /** How the server handles requests of callers. */
  serve: (request: IncomingMessage, response: ServerResponse) => void = answer;
  /** How the server handles the process's own calls: health checks, reports, cache events. */
  serveCall: (request: IncomingMessage, response: ServerResponse) => unknown = (_, response) => {
    response.writeHead(200).end();
  };
  readonly #limits: ProcessLimits;
  readonly #callerLimits: CallerLimits;
  readonly #directory = mkdtempSync(join(tmpdir(), 'threadfork-process-'));
  readonly #server = http.createServer({ maxHeaderSize: 131_072 }, (request, response) =>
    this.#serve(request, response),
  );
  readonly #sent: SentRequest[] = [];
  #addresses: AddressBlock | undefined;
  #process: ChildProcess | undefined;
  #requests = 0;
  /** What the process wrote to standard output and standard error. */
  output = '';
  end: ProcessEnd | undefined;

  constructor(limits: ProcessLimits, callerLimits: Partial<CallerLimits> = {}) {
    this.#limits = limits;
    this.#callerLimits = { ...CONFIGURATION.limits, ...callerLimits };
    this.#server.maxHeadersCount = 0;
  }

  /** Starts the process and waits until it is ready. */
  async start(): Promise<void> {
    const program = await bundleGateway(this.#directory, undefined);
    this.#addresses = await AddressBlock.claim();
    this.#server.listen({ host: '127.0.0.1', port: 0, backlog: 1_024 });
    await once(this.#server, 'listening');
    const endpoint = this.store.createEndpoint();
    const settingsPath = join(this.#directory, 'gateway.yaml');
    writeFileSync(settingsPath, this.#settings(await endpoint.open()));
    this.store.put(TABLES.operator, TABLES.configurationKey, {
      ...CONFIGURATION,
      limits: this.#callerLimits,
    });
    this.#listServers();
    this.#spawn([...this.#flags(), program, settingsPath]);
    await this.waitUntil(() => this.isReady(), READY_TIMEOUT_MS);
  }

  async stop(): Promise<void> {
    for (const { socket } of this.#sent) socket.destroy();
    const child = this.#process;
    if (child !== undefined && this.end === undefined) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    this.store.close();
    this.#server.closeAllConnections();
    this.#server.close();
    this.#addresses?.release();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** Begins a planned stop. */
  terminate(): void {
    this.#process?.kill('SIGTERM');
  }

  /** Lists further engines, at the address of the server. */
  listEngines(count: number): void {
    for (let engine = 2; engine <= count + 1; engine += 1) this.#listEngine(`engine-${engine}`);
  }

  /** Sends a request without waiting for its answer. */
  send(request: TestRequest): SentRequest {
    const { path = '/web/1', headers = {}, body = Buffer.alloc(0), sentBytes } = request;
    this.#requests += 1;
    const all = {
      Host: HOST,
      'X-Attempt-Id': `attempt-${this.#requests}`,
      'Content-Length': String(body.length),
      ...headers,
    };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
    const socket = connect(CALLERS_PORT, this.#host);
    const sent = new SentRequest(socket);
    socket.write(`POST ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`);
    socket.write(body.subarray(0, sentBytes));
    this.#sent.push(sent);
    return sent;
  }

  /** Opens a connection and sends bytes as they are. */
  sendBytes(bytes: Buffer): SentRequest {
    const sent = new SentRequest(connect(CALLERS_PORT, this.#host));
    sent.write(bytes);
    this.#sent.push(sent);
    return sent;
  }

  /** Opens connections that send nothing. */
  connect(count: number): readonly Socket[] {
    return Array.from({ length: count }, () => {
      const socket = connect(CALLERS_PORT, this.#host);
      this.#sent.push(new SentRequest(socket));
      return socket;
    });
  }

  /** Closes the connections of all requests that were sent. */
  leave(): void {
    for (const { socket } of this.#sent) socket.destroy();
    this.#sent.length = 0;
  }

  /** Waits until nothing moves between callers and the process, for a while at most. */
  async settle(): Promise<void> {
    const untilMs = performance.now() + SETTLE_LIMIT_MS;
    let moved = this.#movedBytes();
    let sinceMs = performance.now();
    while (this.end === undefined && performance.now() < untilMs) {
      await pause(POLL_MS);
      const now = this.#movedBytes();
      if (now !== moved) sinceMs = performance.now();
      moved = now;
      if (performance.now() - sinceMs > QUIET_MS) return;
    }
  }

  /** The most memory that the process has had resident at once; undefined once it has ended. */
  get peakResidentBytes(): number | undefined {
    const pid = this.#runningPid;
    if (pid === undefined) return undefined;
    const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return kilobytes === undefined ? undefined : Number(kilobytes) * BYTES_PER_KILOBYTE;
  }

  /** The sockets and pipes that the process has open; undefined once it has ended. */
  get openSockets(): number | undefined {
    const pid = this.#runningPid;
    if (pid === undefined) return undefined;
    const names = readdirSync(`/proc/${pid}/fd`).map((name) => linkOf(`/proc/${pid}/fd/${name}`));
    return names.filter((name) => /^(socket|pipe):/.test(name)).length;
  }

  async isReady(): Promise<boolean> {
    return (await this.#get(READINESS_PORT, '/ready'))?.status === 200;
  }

  /** A value of the metrics, by its name with its label; undefined if it cannot be read. */
  async metric(name: string): Promise<number | undefined> {
    const text = (await this.#get(METRICS_PORT, '/metrics'))?.text ?? '';
    const line = text.split('\n').find((one) => one.startsWith(`${name} `));
    return line === undefined ? undefined : Number(line.slice(name.length));
  }

  /** Resolves once a condition holds or the process has ended; rejects after a time limit. */
  async waitUntil(isTrue: () => boolean | Promise<boolean>, limitMs: number): Promise<void> {
    const untilMs = performance.now() + limitMs;
    while (this.end === undefined && !(await isTrue())) {
      if (performance.now() > untilMs) throw new Error(`not so in time; output: ${this.output}`);
      await pause(POLL_MS);
    }
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => response.destroy());
    if (request.headers['x-attempt-id'] === undefined) this.serveCall(request, response);
    else this.serve(request, response);
  }

  get #runningPid(): number | undefined {
    return this.end === undefined ? this.#process?.pid : undefined;
  }

  #movedBytes(): number {
    let bytes = 0;
    for (const sent of this.#sent) bytes += sent.takenBytes + sent.receivedLength;
    return bytes;
  }

  get #host(): string {
    return this.#addresses?.addressOf(0, 0) ?? '127.0.0.1';
  }

  /** Each question has a connection of its own, as those of the platform. */
  #get(
    port: number,
    path: string,
  ): Promise<{ readonly status: number; readonly text: string } | undefined> {
    return new Promise((resolve) => {
      const options = { host: this.#host, port, path, agent: false, timeout: GET_TIMEOUT_MS };
      const request = http.get(options, (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString('utf8');
        });
        response.once('end', () => resolve({ status: response.statusCode ?? 0, text }));
      });
      request.once('timeout', () => request.destroy());
      // It does not listen, or takes no connection now.
      request.once('error', () => resolve(undefined));
    });
  }

  #flags(): readonly string[] {
    const { maxOldSpaceMb = 96 } = this.#limits;
    return ['--max-semi-space-size=2', `--max-old-space-size=${maxOldSpaceMb}`];
  }

  #spawn(words: readonly string[]): void {
    const { descriptors } = this.#limits;
    const command = [process.execPath, ...words];
    const limited = `ulimit -n ${descriptors}; exec "$@"`;
    const [file = '', ...rest] =
      descriptors === undefined ? command : ['sh', '-c', limited, 'sh', ...command];
    const child = spawn(file, rest, { stdio: ['pipe', 'pipe', 'pipe'] });
    this.#process = child;
    const keep = (chunk: Buffer) => {
      this.output += chunk.toString('utf8');
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (exitCode, signal) => {
      this.end = { exitCode, signal };
    });
  }

  /** One server of each service, all at the same address. */
  #listServers(): void {
    this.store.put(TABLES.servers, 'server-1', { ...this.#row, service: 'web' });
    this.#listEngine('engine-1');
  }

  #listEngine(id: string): void {
    this.store.put(TABLES.servers, id, { ...this.#row, service: 'model', stage: 'decode' });
  }

  get #row() {
    const { port } = this.#server.address() as AddressInfo;
    return { address: `127.0.0.1:${port}`, zone: 'a', slots: 4_000, state: 'ready' };
  }

  #settings(storePort: number): string {
    const { memoryMb, descriptors } = this.#limits;
    const lines = [
      'name: daemon-a-0',
      'zone: a',
      'listen:',
      `  callers: ${this.#host}:${CALLERS_PORT}`,
      `  readiness: ${this.#host}:${READINESS_PORT}`,
      `  metrics: ${this.#host}:${METRICS_PORT}`,
      `  peers: ${this.#host}:${PEERS_PORT}`,
      `store: 127.0.0.1:${storePort}`,
      'bounds: { contactMs: 3000, stopGraceSeconds: 8, leaseMs: 3000, drainMs: 2000 }',
      'retryBudget: { ratio: 0.2, slack: 54 }',
      'logging: { maxLinesPerSecond: 200 }',
      'limits:',
      `  memoryMb: ${memoryMb ?? 4_096}`,
      `  descriptors: ${descriptors ?? 4_100}`,
      '',
    ];
    return lines.join('\n');
  }
}

/** Where a link leads; empty if it has gone meanwhile. */
function linkOf(path: string): string {
  try {
    return readlinkSync(path);
  } catch {
    return '';
  }
}

/** Answers a request as a server does. */
export function answer(request: IncomingMessage, response: ServerResponse): void {
  request.resume();
  request.once('end', () => {
    const id = String(request.headers['x-attempt-id']);
    response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Stamp': 'stamp' }).end('served');
  });
}
