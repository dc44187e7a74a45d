/**
 * A stand-in of the platform: the store (rows, conditional transactions, feeds), and the start of the project's own
 * gateways with the run command and the settings template of the deploy file. A process that ends is started again.
 */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';

const ROOT = new URL('../../', import.meta.url).pathname;
const RESTART_MS = 500;
const START_MS = 25_000;
const STORE_MS = 4;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Below the ports that the system gives to outgoing connections, so that a restarted process finds its port free. */
const FIRST_PORT = 18_000;
const LAST_PORT = 31_999;

const givenPorts = new Set();

/** A free port of the loopback address, which was not given before. */
export async function freePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (givenPorts.has(port) || !(await isFree(port))) continue;
    givenPorts.add(port);
    return port;
  }
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** The platform's store. */
export class Store {
  #rows = new Map();
  #feeds = new Set();
  #version = 1;
  #server;

  async start() {
    this.#server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () =>
        setTimeout(() => this.#answer(request, Buffer.concat(chunks), response), STORE_MS),
      );
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(table, key, document) {
    this.putBytes(table, key, Buffer.from(JSON.stringify(document)));
  }

  putBytes(table, key, bytes) {
    this.#version += 1;
    this.#set(table, '', key, bytes.toString('base64'));
    this.#wakeFeeds();
  }

  remove(table, key) {
    this.#version += 1;
    this.#set(table, '', key, undefined);
    this.#wakeFeeds();
  }

  #set(table, part, privateKey, value) {
    const row = { table, part, privateKey, value, ver: this.#version };
    this.#rows.set(`${table}/${part}/${privateKey}`, row);
  }

  #reply(response, status, rows) {
    const shown = rows.map((row) => (row.value === undefined ? { ...row, gone: true } : row));
    const now = Math.round(performance.now());
    const body = JSON.stringify({ rows: shown, more: false, ver: this.#version, now_ms: now });
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(body);
  }

  #answer(request, body, response) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/rows-get') {
      const end = query.get('targetVersion');
      const rows = [...this.#rows.values()]
        .filter((row) => row.table === query.get('table') && row.value !== undefined)
        .filter((row) => row.part === (query.get('part') ?? ''))
        .filter((row) => row.privateKey >= (query.get('source') ?? ''))
        .filter((row) => end === null || row.privateKey < end)
        .sort((left, right) => (left.privateKey < right.privateKey ? -1 : 1));
      return this.#reply(response, 200, rows);
    }
    if (url.pathname === '/rows-feed') {
      const feed = { table: query.get('table'), after: Number(query.get('after')), response };
      const timer = setTimeout(
        () => {
          if (this.#feeds.delete(feed)) this.#reply(response, 200, []);
        },
        Number(query.get('waitMs')),
      );
      this.#feeds.add(feed);
      response.once('close', () => {
        clearTimeout(timer);
        this.#feeds.delete(feed);
      });
      return this.#wakeFeeds();
    }
    if (url.pathname === '/rows-tx') return this.#transact(JSON.parse(body.toString()), response);
    response.writeHead(404).end();
  }

  #wakeFeeds() {
    for (const feed of [...this.#feeds]) {
      const rows = [...this.#rows.values()]
        .filter((row) => row.table === feed.table && row.ver > feed.after)
        .sort((left, right) => left.ver - right.ver);
      if (rows.length === 0) continue;
      this.#feeds.delete(feed);
      this.#reply(feed.response, 200, rows);
    }
  }

  #transact({ expectedRevision = [], put = [], remove = [] }, response) {
    if ([...put, ...remove].some(({ table }) => table === 'servers' || table === 'op')) {
      return response.writeHead(403).end();
    }
    const rowOf = ({ table, part = '', privateKey }) =>
      this.#rows.get(`${table}/${part}/${privateKey}`);
    const versionOf = (entry) => (rowOf(entry)?.value === undefined ? 0 : rowOf(entry).ver);
    if (!expectedRevision.every((entry) => versionOf(entry) === entry.ver)) {
      const current = expectedRevision.map(rowOf).filter((row) => row?.value !== undefined);
      return this.#reply(response, 412, current);
    }
    this.#version += 1;
    for (const row of put) this.#set(row.table, row.part ?? '', row.privateKey, row.value);
    for (const row of remove) this.#set(row.table, row.part ?? '', row.privateKey, undefined);
    this.#wakeFeeds();
    this.#reply(response, 200, []);
  }
}

/** The run command of the deploy file, split at spaces as the platform does. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Fills the settings template of the deploy file; only its plain gaps and sections are needed here. */
function settingsOf(fields) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const path = /^template = "(.*)"$/m.exec(deploy)[1];
  const fieldOf = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  let text = readFileSync(join(ROOT, path), 'utf8');
  for (let before = ''; before !== text; ) {
    before = text;
    text = text.replace(
      /\{\{#([\w.]+)\}\}((?:(?!\{\{#)[\s\S])*?)\{\{\/\1\}\}/g,
      (_, name, inner) => (fieldOf(name) === undefined ? '' : inner),
    );
  }
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
    const value = fieldOf(name) ?? '';
    return json === undefined ? String(value) : JSON.stringify(value);
  });
}

/** One gateway: starts it, starts it again when it ends, and asks whether it is ready. */
export class Gateway {
  /** Ends of its process that nobody asked for: { atMs, code, signal }. */
  ends = [];
  isIn = false;
  #misses = 0;
  #process;
  #isStopping = false;

  constructor(name, zone, storeAddress, directory, bounds = {}) {
    Object.assign(this, { name, zone, storeAddress, directory, bounds });
  }

  async start() {
    this.port = await freePort();
    this.readinessPort = await freePort();
    const peers = await freePort();
    const metrics = await freePort();
    this.settingsPath = join(this.directory, `${this.name}.yaml`);
    const fields = {
      node: this.name,
      zone: this.zone,
      ip: '127.0.0.1',
      listen: {
        front: `127.0.0.1:${this.port}`,
        readiness: `127.0.0.1:${this.readinessPort}`,
      },
      portRange: [peers],
      provider: { address: this.storeAddress },
      bounds: {
        contactMs: 3000,
        graceS: 8,
        leaseMs: 3000,
        drainMs: 2000,
        budgetRatio: 0.2,
        budgetSlack: 58,
        ...this.bounds,
      },
    };
    // The template holds the port of the metrics of the deploy file; each gateway here needs one of its own.
    const text = settingsOf(fields).replace('127.0.0.1:9464', `127.0.0.1:${metrics}`);
    writeFileSync(this.settingsPath, text);
    this.output = createWriteStream(join(this.directory, `${this.name}.log`));
    this.#spawn();
    this.probe = setInterval(() => void this.#probe(), 1_000);
  }

  get pid() {
    return this.#process?.pid;
  }

  #spawn() {
    const [program, ...words] = runCommand();
    const { PATH, HOME, LANG } = process.env;
    this.#process = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, THREADFORK_NODE_FILE: this.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process.stdout.pipe(this.output, { end: false });
    this.#process.stderr.pipe(this.output, { end: false });
    let lastError = '';
    this.#process.stderr.on('data', (bytes) => {
      lastError = `${lastError}${bytes}`.slice(-4_000);
    });
    this.#process.once('exit', (code, signal) => {
      if (this.#isStopping) return;
      this.isIn = false;
      this.ends.push({ atMs: performance.now(), code, signal, error: errorLineOf(lastError) });
      setTimeout(() => {
        if (!this.#isStopping) this.#spawn();
      }, RESTART_MS);
    });
  }

  /** As at the entrance: out after two misses, in after a 200. */
  async #probe() {
    if (await this.isReady()) {
      this.#misses = 0;
      this.isIn = true;
    } else {
      this.#misses += 1;
      if (this.#misses >= 2) this.isIn = false;
    }
  }

  async isReady() {
    try {
      const answer = await fetch(`http://127.0.0.1:${this.readinessPort}/ready`, {
        signal: AbortSignal.timeout(500),
      });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  signal(name) {
    this.#process?.kill(name);
  }

  async stop() {
    this.#isStopping = true;
    clearInterval(this.probe);
    const child = this.#process;
    if (child === undefined) return;
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await ended;
  }
}

function errorLineOf(text) {
  return /^\s*(?:\w*Error|TypeError|RangeError)\b.*$/m.exec(text)?.[0].trim() ?? '';
}

/** Creates gateways, which are still to be started. */
export function createGateways(count, storeAddress, directory, bounds) {
  const zones = ['a', 'b', 'c'];
  return Array.from(
    { length: count },
    (_, index) =>
      new Gateway(`gateway-${index}`, zones[index % 3], storeAddress, directory, bounds),
  );
}

/** Starts gateways and waits until all are ready. */
export async function startGateways(gateways) {
  for (const gateway of gateways) await gateway.start();
  const deadline = performance.now() + START_MS;
  while (!gateways.every(({ isIn }) => isIn)) {
    if (performance.now() > deadline) {
      const errors = gateways.flatMap(({ ends }) => ends.map(({ error }) => error));
      throw new Error(`the gateways did not become ready ${[...new Set(errors)].join(' ')}`);
    }
    await sleep(100);
  }
}
