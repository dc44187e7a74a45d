/**
 * A run of a small deployment: two gateways, model servers of both stages, web servers, steady traffic, and a number of
 * disruptions of the servers. Counts the ends of the gateways' processes and writes what was seen to `record.txt`.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { modelRequest, send } from './client.mjs';
import { configuration, MODEL, WEB } from './configuration.mjs';
import { createGateways, Store, sleep, startGateways } from './platform.mjs';
import { Engine, WebServer } from './servers.mjs';

export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

export class Deployment {
  lines = [];
  sent = 0;
  pending = new Set();
  outcomes = [];
  startedMs = performance.now();

  constructor(options) {
    this.options = options;
  }

  record(what, fields) {
    const atMs = Math.round(performance.now() - this.startedMs);
    this.lines.push(`${String(atMs).padStart(7)} ms ${what} ${JSON.stringify(fields)}`);
  }

  async start() {
    const { gateways, prefill, decode, web, bounds } = this.options;
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    await this.store.start();
    this.store.put('op', 'config', configuration(1, this.options.generate));
    const zones = ['a', 'b', 'c'];
    const record = (what, fields) => this.record(what, fields);
    this.engines = [
      ...Array.from({ length: prefill }, (_, n) => this.#engine(n, 'prefill', record)),
      ...Array.from({ length: decode }, (_, n) => this.#engine(n, 'decode', record)),
    ];
    this.webServers = Array.from(
      { length: web },
      (_, n) => new WebServer(WEB, zones[n % 3], this.store, record),
    );
    for (const server of [...this.engines, ...this.webServers]) await server.start();
    this.gateways = createGateways(gateways, this.store.address, this.directory, bounds);
    await startGateways(this.gateways);
  }

  #engine(index, stage, record) {
    const engine = new Engine(MODEL, ['a', 'b', 'c'][index % 3], this.store, record, stage);
    this.options.prepare?.(engine, index);
    return engine;
  }

  /** Sends requests at a steady rate until `untilMs`, each to a gateway that the entrance uses. */
  async traffic(untilMs, perSecond, makeRequest) {
    let next = performance.now();
    while (performance.now() < untilMs) {
      next += 1_000 / perSecond;
      const waitMs = next - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      const open = this.gateways.filter(({ isIn }) => isIn);
      const choice = open.length > 0 ? open : this.gateways;
      const gateway = choice[Math.floor(Math.random() * choice.length)];
      this.#send(gateway, makeRequest());
    }
  }

  #send(gateway, request) {
    const answer = send(gateway, request).then((outcome) => {
      const { id, status, error, startedMs, endedMs } = outcome;
      const tookMs = Math.round(endedMs - startedMs);
      this.record(outcome.outcome, { id, gateway: gateway.name, status, error, tookMs });
      this.outcomes.push({ ...outcome, path: request.path });
      this.pending.delete(answer);
    });
    this.sent += 1;
    this.pending.add(answer);
  }

  async stop() {
    await Promise.all(this.pending);
    this.isOver = true;
    for (const gateway of this.gateways ?? []) await gateway.stop();
    for (const server of [...(this.engines ?? []), ...(this.webServers ?? [])]) server.stop();
    this.store?.stop();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

export const generate = () => modelRequest('/generate/2f', 3_000);
export const chat = (deadlineMs = 6_000) => modelRequest('/generate/2f', deadlineMs, false);
export const renew = () => ({
  method: 'POST',
  path: '/renew/2f',
  deadlineMs: 1_000,
  body: Buffer.alloc(600, 'r'),
});
export const slip = () => ({ method: 'GET', path: '/slip/2f', deadlineMs: 1_000 });

/** Counts by outcome, as one line of text. */
export function summaryOf(outcomes) {
  const counts = new Map();
  for (const { outcome, status } of outcomes) {
    const key = `${outcome}${status === undefined ? '' : ` ${status}`}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, count]) => `${key}: ${count}`).join(', ');
}

/** Runs a case to its exit code, and writes `record.txt` into its folder. */
export async function runCase(folder, options, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const deployment = new Deployment(options);
  let code = COULD_NOT_RUN;
  let verdict;
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => void deployment.stop().finally(() => process.exit(COULD_NOT_RUN)));
  }
  try {
    await deployment.start();
    deployment.startedMs = performance.now();
    verdict = await play(deployment, isTroubled);
    code = verdict.isBroken ? BROKEN : HELD;
  } catch (error) {
    verdict = { text: [`the case could not run: ${error.stack}`] };
  } finally {
    await deployment.stop().catch((error) => {
      verdict.text.push(`the end failed: ${error.message}`);
    });
  }
  const head = [`disruption: ${isTroubled ? 'yes' : 'no'}`, ...verdict.text, `exit code: ${code}`];
  writeFileSync(join(folder, 'record.txt'), `${[...head, '', ...deployment.lines].join('\n')}\n`);
  process.stdout.write(`${head.join('\n')}\n`);
  process.exit(code);
}

const MIN_MACHINES = 2;
const ENDS_IN_A_DAY = 3;

/** The rule Fault: processes of two machines (a tenth, two at least) ended by themselves three times each. */
export function judgeEnds({ gateways, outcomes, sent }) {
  const many = gateways.filter(({ ends }) => ends.length >= ENDS_IN_A_DAY);
  const text = [
    `requests sent: ${sent}; ${summaryOf(outcomes)}`,
    ...gateways.map(
      ({ name, ends }) =>
        `${name}: its process ended by itself ${ends.length} times ${[
          ...new Set(ends.map(({ code, signal, error }) => `(${signal ?? code}: ${error})`)),
        ].join(' ')}`,
    ),
    `machines whose process ended ${ENDS_IN_A_DAY} times or more: ${many.length} of ${gateways.length}`,
  ];
  return { isBroken: many.length >= MIN_MACHINES, text };
}
