/** One daemon of a case: its settings file and its process, started with the command of the deploy file. */
import { spawn } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(fileURLToPath(new URL('../..', import.meta.url)));
/** `run` in deploy/system.toml. */
const RUN = ['node', '--max-semi-space-size=2', '--max-old-space-size=96', 'target/gateway.cjs'];
const LEAST_PORT = 12_000;
const PORTS = 18_000;
const READY_TIMEOUT_MS = 20_000;

/**
 * Ports of the loopback address that are free at this moment. They lie below those that systems give to outgoing connections,
 * so that none is taken by one before the daemon listens.
 */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = LEAST_PORT + Math.floor(Math.random() * PORTS);
    if (!ports.includes(port) && (await isFree(port))) ports.push(port);
  }
  return ports;
}

function isFree(port) {
  const server = createServer();
  return new Promise((done) => {
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

/** A daemon's process. */
export class Daemon {
  #options;
  #child;
  name;
  port = 0;
  #readinessPort = 0;

  constructor(options) {
    this.#options = options;
    this.name = options.name;
  }

  /** Starts the process; a second call starts another one with the same settings. */
  async start() {
    const { name, zone, storePort, directory, memoryMb = 350, extra = '' } = this.#options;
    if (this.port === 0) {
      const [port, readiness, peers] = await freePorts(3);
      this.port = port;
      this.#readinessPort = readiness;
      writeFileSync(
        this.#file,
        settingsText({ name, zone, storePort, port, readiness, peers, memoryMb, extra }),
      );
    }
    const log = openSync(join(directory, `${name}.log`), 'a');
    const [program, ...args] = RUN;
    this.#child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, THREADFORK_NODE_FILE: this.#file },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
  }

  get #file() {
    return join(this.#options.directory, `${this.name}.yaml`);
  }

  get pid() {
    return this.#child?.pid;
  }

  signal(signal) {
    if (this.#child?.exitCode === null && this.#child.signalCode === null) this.#child.kill(signal);
  }

  /** Resolves once the process has ended. */
  ended() {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    return new Promise((done) => child.once('exit', done));
  }

  async isReady() {
    try {
      const signal = AbortSignal.timeout(500);
      return (await fetch(`http://127.0.0.1:${this.#readinessPort}/ready`, { signal })).ok;
    } catch {
      return false;
    }
  }

  async untilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if (await this.isReady()) return true;
      await pause(50);
    }
    return false;
  }
}

export function pause(ms) {
  return new Promise((done) => setTimeout(done, ms));
}

/** What platform/gateway.yaml.template gives for a small deployment, with loopback addresses and free ports. */
function settingsText({ name, zone, storePort, port, readiness, peers, memoryMb, extra }) {
  return `name: "${name}"
zone: "${zone}"
listen:
  callers: "127.0.0.1:${port}"
  readiness: "127.0.0.1:${readiness}"
  peers: "127.0.0.1:${peers}"
store: "127.0.0.1:${storePort}"
${extra}bounds:
  contactMs: 3000
  stopGraceSeconds: 8
  leaseMs: 3000
  drainMs: 2000
retryBudget:
  ratio: 0.2
  slack: 54
limits:
  memoryMb: ${memoryMb}
  descriptors: 4100
logging:
  maxLinesPerSecond: 200
`;
}
