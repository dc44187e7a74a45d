/**
 * A scale run: hollow daemons and engines that share processes, and real daemons in processes of
 * their own, over TCP and UDP on loopback. Measures what the control plane costs one daemon while no
 * caller sends requests.
 */

import { randomBytes } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import type { Endpoint } from '../../core/registry/backend.js';
import { formatEndpoint } from '../../shell/settings/index.js';
import { FLEET_KEY_VARIABLE } from '../fleet/commands.js';
import { getJson, postJson } from '../fleet/http-json.js';
import { PartProcess } from '../fleet/part-process.js';
import { pollUntil } from '../fleet/poll-until.js';
import { type ProcessSample, sampleProcess } from './process-sample.js';

const DAEMONS_PER_PROCESS = 20;
const ENGINES_PER_PROCESS = 60;
const STOP_GRACE_MS = 10_000;
const CONVERGENCE_TIMEOUT_MS = 120_000;
const MILLISECONDS_PER_SECOND = 1_000;
const NEVER_ABORTED = new AbortController().signal;

/** The size and the times of a run. */
export interface ScaleOptions {
  readonly daemons: number;
  readonly engines: number;
  readonly zones: number;
  /** How many of `daemons` run in a process of their own. */
  readonly realDaemons: number;
  readonly settleMs: number;
  readonly measureMs: number;
  /** The lab's entry script, which each child process runs. */
  readonly labScript: string;
}

/** The control-plane cost per daemon, averaged over the real or the hollow daemons. */
export interface DaemonCost {
  readonly processes: number;
  readonly daemons: number;
  /** Share of one core, 0 to 1. */
  readonly cpuShare: number;
  readonly residentBytes: number;
  /** TCP bytes in and out per second: platform, engines, peer streams. */
  readonly tcpBytesPerSecond: number;
  /** Datagram and frame bytes to and from peers per second. */
  readonly peerBytesPerSecond: number;
}

/** The result of a run. */
export interface ScaleResult {
  readonly daemons: number;
  readonly engines: number;
  readonly zones: number;
  readonly measuredSeconds: number;
  readonly real: DaemonCost;
  readonly hollow: DaemonCost;
  /** Time from sending a configuration change until it is in force on every daemon. */
  readonly changeInForceMs: number;
  readonly changeOutcome: string;
  readonly tableCallsPerSecond: number;
  readonly machineReadsPerSecond: number;
}

interface DaemonHost {
  readonly part: PartProcess;
  readonly operators: readonly Endpoint[];
  readonly callers: readonly Endpoint[];
}

interface Counts {
  readonly table: { readonly calls: number };
  readonly machines: { readonly calls: number };
}

/** Runs one scale run. */
export async function runScale(options: ScaleOptions): Promise<ScaleResult> {
  const parts: PartProcess[] = [];
  const environment = { [FLEET_KEY_VARIABLE]: randomBytes(16).toString('hex') };
  const start = (name: string, command: readonly string[]): PartProcess => {
    const script = [options.labScript, ...command];
    const part = new PartProcess({ name, command: script, environment, logFolder: null });
    parts.push(part);
    return part;
  };
  try {
    const platformPart = start('platform', ['platform', '--table-rate', '1000']);
    const platform = (await platformPart.ready()) as Endpoint;
    await startEngines(options, platform, start);
    const hosts = await startDaemons(options, platform, start);
    return await measure(options, platform, hosts);
  } finally {
    await Promise.all(parts.map((part) => part.stop('SIGTERM', STOP_GRACE_MS)));
  }
}

type StartPart = (name: string, command: readonly string[]) => PartProcess;

async function startEngines(
  options: ScaleOptions,
  platform: Endpoint,
  start: StartPart,
): Promise<void> {
  const parts: PartProcess[] = [];
  for (let first = 1; first <= options.engines; first += ENGINES_PER_PROCESS) {
    const count = Math.min(ENGINES_PER_PROCESS, options.engines - first + 1);
    parts.push(
      start(`engines-${first}`, hollowCommand('engines', first, count, platform, options)),
    );
  }
  await Promise.all(parts.map((part) => part.ready()));
}

async function startDaemons(
  options: ScaleOptions,
  platform: Endpoint,
  start: StartPart,
): Promise<readonly DaemonHost[]> {
  const hosts: DaemonHost[] = [];
  let first = 1;
  while (first <= options.daemons) {
    const maxCount = first <= options.realDaemons ? 1 : DAEMONS_PER_PROCESS;
    const count = Math.min(maxCount, options.daemons - first + 1);
    const part = start(
      `daemons-${first}`,
      hollowCommand('daemons', first, count, platform, options),
    );
    const ready = (await part.ready()) as Omit<DaemonHost, 'part'>;
    hosts.push({ part, operators: ready.operators, callers: ready.callers });
    first += count;
  }
  return hosts;
}

function hollowCommand(
  kind: 'daemons' | 'engines',
  first: number,
  count: number,
  platform: Endpoint,
  options: ScaleOptions,
): readonly string[] {
  return [
    'hollow',
    ...['--kind', kind, '--first', String(first), '--count', String(count)],
    ...['--zones', String(options.zones), '--platform', `${platform.address}:${platform.port}`],
  ];
}

async function measure(
  options: ScaleOptions,
  platform: Endpoint,
  hosts: readonly DaemonHost[],
): Promise<ScaleResult> {
  await waitForMembership(options, hosts);
  const change = await timeChange(hosts);
  await wait(options.settleMs);
  const before = await readAll(platform, hosts);
  await wait(options.measureMs);
  const after = await readAll(platform, hosts);
  const seconds = (after.at - before.at) / MILLISECONDS_PER_SECOND;
  const rate = (service: keyof Counts): number =>
    (after.counts[service].calls - before.counts[service].calls) / seconds;
  return {
    daemons: options.daemons,
    engines: options.engines,
    zones: options.zones,
    measuredSeconds: seconds,
    real: costOf(hosts, before, after, (host) => host.operators.length === 1),
    hollow: costOf(hosts, before, after, (host) => host.operators.length > 1),
    changeInForceMs: change.inForceMs,
    changeOutcome: change.outcome,
    tableCallsPerSecond: rate('table'),
    machineReadsPerSecond: rate('machines'),
  };
}

/** Waits until every daemon counts all daemons as alive. */
async function waitForMembership(
  options: ScaleOptions,
  hosts: readonly DaemonHost[],
): Promise<void> {
  for (const operator of hosts.flatMap((host) => host.operators)) {
    await pollUntil(
      async () => {
        const status = (await getJson(operator, '/v1/status')).json as { daemonsAlive: number };
        return status.daemonsAlive === options.daemons ? true : null;
      },
      {
        what: 'every daemon to count all daemons as alive',
        timeoutMs: CONVERGENCE_TIMEOUT_MS,
        signal: NEVER_ABORTED,
      },
    );
  }
}

/** Applies a configuration change and measures the time until the last daemon has it in force. */
async function timeChange(
  hosts: readonly DaemonHost[],
): Promise<{ readonly inForceMs: number; readonly outcome: string }> {
  const operators = hosts.flatMap((host) => host.operators);
  const [first] = operators;
  if (first === undefined) throw new Error('a scale run needs at least one daemon');
  const startedAt = performance.now();
  const text = 'begin; serve model model-0 version v1; serve model model-1 version v1; commit';
  const answer = await postJson(first, '/v1/commands', { text });
  const { kind } = answer.json as { readonly kind: string };
  for (const operator of operators) {
    await pollUntil(
      async () => {
        const status = (await getJson(operator, '/v1/status')).json as {
          configurationVersion: number;
        };
        return status.configurationVersion >= 1 ? true : null;
      },
      {
        what: 'the change to be in force',
        timeoutMs: CONVERGENCE_TIMEOUT_MS,
        signal: NEVER_ABORTED,
      },
    );
  }
  return { inForceMs: Math.round(performance.now() - startedAt), outcome: kind };
}

interface Snapshot {
  readonly at: number;
  readonly counts: Counts;
  readonly samples: ReadonlyMap<DaemonHost, ProcessSample>;
  readonly peerBytes: ReadonlyMap<DaemonHost, number>;
}

async function readAll(platform: Endpoint, hosts: readonly DaemonHost[]): Promise<Snapshot> {
  const samples = new Map<DaemonHost, ProcessSample>();
  const peerBytes = new Map<DaemonHost, number>();
  for (const host of hosts) {
    peerBytes.set(host, await peerBytesOf(host));
  }
  const counts = (await getJson(platform, '/counts')).json as Counts;
  const at = performance.now();
  for (const host of hosts) {
    samples.set(host, sampleProcess(host.part.pid ?? 0));
  }
  return { at, counts, samples, peerBytes };
}

async function peerBytesOf(host: DaemonHost): Promise<number> {
  let bytes = 0;
  for (const caller of host.callers) {
    const answer = await request(`http://${formatEndpoint(caller)}/metrics`);
    const text = await answer.body.text();
    for (const name of ['threadfork_peer_sent_bytes', 'threadfork_peer_received_bytes']) {
      bytes += Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);
    }
  }
  return bytes;
}

function costOf(
  hosts: readonly DaemonHost[],
  before: Snapshot,
  after: Snapshot,
  isCounted: (host: DaemonHost) => boolean,
): DaemonCost {
  const counted = hosts.filter(isCounted);
  const daemons = counted.reduce((sum, host) => sum + host.operators.length, 0);
  const seconds = (after.at - before.at) / MILLISECONDS_PER_SECOND;
  const increase = (read: (snapshot: Snapshot, host: DaemonHost) => number): number =>
    counted.reduce((sum, host) => sum + read(after, host) - read(before, host), 0);
  const resident = counted.reduce(
    (sum, host) => sum + (after.samples.get(host)?.residentBytes ?? 0),
    0,
  );
  const perDaemon = (total: number): number => (daemons === 0 ? 0 : total / daemons);
  return {
    processes: counted.length,
    daemons,
    cpuShare: perDaemon(increase((r, host) => r.samples.get(host)?.cpuSeconds ?? 0) / seconds),
    residentBytes: perDaemon(resident),
    tcpBytesPerSecond: perDaemon(
      increase((r, host) => r.samples.get(host)?.ioBytes ?? 0) / seconds,
    ),
    peerBytesPerSecond: perDaemon(increase((r, host) => r.peerBytes.get(host) ?? 0) / seconds),
  };
}
