/**
 * Daemons before servers that name a rate limit, in virtual time: each calls the servers through `ServerCalls`, and they
 * exchange messages that are delayed or lost. Seeds are fixed.
 */
import type { IncomingMessage } from 'node:http';
import { REQUEST_CODEC } from '../../../platform/request-codec.js';
import { type PeerDaemon, PeerRoster, type ServerRecord } from '../../../src/core/gateway/index.js';
import type { BackendAnswer } from '../../../src/shell/gateway/backend-answer.js';
import type { CallResult } from '../../../src/shell/gateway/backend-connections.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../../src/shell/gateway/gateway-metrics.js';
import {
  LimitCoordinator,
  type PermitWaitRequest,
} from '../../../src/shell/gateway/limit-coordinator.js';
import type { LimitMessage } from '../../../src/shell/gateway/limit-message-fields.js';
import { decodePeerMessage, encodePeerMessage } from '../../../src/shell/gateway/peer-messages.js';
import { RequestProgress } from '../../../src/shell/gateway/request-progress.js';
import { type ServerCall, ServerCalls } from '../../../src/shell/gateway/server-calls.js';
import { ServicePathMonitor } from '../../../src/shell/gateway/service-path-monitor.js';
import { quietDepartureReports } from './departure-reports.js';
import { seededRandom } from './engine-simulation.js';
import { ManualTimers } from './manual-timers.js';

const SERVICE = 's';
const STEP_MS = 5;
/** UDP and IPv4 headers. */
const DATAGRAM_OVERHEAD_BYTES = 28;
const USUAL_ANSWER_MS = 20;

/** Options of a fleet. */
export interface LimitFleetOptions {
  readonly daemons: number;
  readonly seed: number;
  /** Servers of the service; each names the same limit. */
  readonly servers?: number;
  /** Share of the messages that are lost, 0 to 1. */
  readonly lossRate?: number;
  /** How long a request may wait for a permit; at 0, requests without a permit go to servers that are not simulated. */
  readonly waitMs?: number;
}

/** A request that reached the server. */
export interface Arrival {
  readonly atMs: number;
  readonly daemon: number;
  readonly serverId: string;
}

/** One daemon of the fleet. */
class Daemon {
  readonly fleet = new FleetView({ ratio: 0.2, slack: 50 });
  readonly roster: PeerRoster;
  readonly limits: LimitCoordinator;
  readonly calls: ServerCalls;
  isPartitioned = false;
  /** When each server first named a limit to this daemon. */
  readonly limitReceivedAtMs = new Map<string, number>();

  constructor(world: LimitFleet, place: number, peers: readonly PeerDaemon[]) {
    const name = nameOf(place);
    const { timers } = world;
    this.roster = new PeerRoster({ name, zone: 'z' });
    this.roster.replace(peers, timers.nowMs());
    this.fleet.directory.replaceAll(world.servers);
    const metrics = new GatewayMetrics();
    const log = { write: () => undefined };
    this.limits = new LimitCoordinator({
      daemon: name,
      fleet: this.fleet,
      roster: this.roster,
      send: (recipients, message) => {
        for (const { port } of recipients) world.deliver(place, port, message);
      },
      timers,
      random: () => world.random(),
      log,
      metrics,
    });
    this.calls = new ServerCalls({
      reports: quietDepartureReports(this.fleet, timers),
      stalls: { whenCurrent: () => undefined },
      connections: { call: ({ address }) => world.serve(place, address) },
      fleet: this.fleet,
      paths: new ServicePathMonitor({
        fleet: this.fleet,
        connections: { tryConnect: () => Promise.resolve('accepted') },
        timers,
        log,
      }),
      codec: REQUEST_CODEC,
      timers,
      metrics,
      log,
      wallClock: () => timers.nowMs(),
      onLimitChange: (server, change, purpose) =>
        this.limits.recordReportedLimit(server, change, purpose),
    });
  }
}

/** A fleet of daemons and the servers that they call. */
export class LimitFleet {
  readonly timers = new ManualTimers();
  readonly servers: readonly ServerRecord[];
  readonly daemons: readonly Daemon[];
  readonly arrivals: Arrival[] = [];
  /** Requests a second that each server names; undefined while they name none. */
  perSecond: number | undefined;
  /** From a request's arrival at a server to its answer. */
  answerMs = USUAL_ANSWER_MS;
  /** Number of requests that arrived at daemons. */
  offered = 0;
  firstNamedMs: number | undefined;
  /** Bytes that each daemon sent to the others. */
  readonly bytesSent: number[];
  readonly random: () => number;
  readonly #lossRate: number;
  readonly #waitMs: number;

  constructor(options: LimitFleetOptions) {
    const { daemons, seed, servers = 1, lossRate = 0, waitMs = 0 } = options;
    this.random = seededRandom(seed);
    this.#lossRate = lossRate;
    this.#waitMs = waitMs;
    this.servers = Array.from({ length: servers }, (_, place) => serverAt(place));
    const places = Array.from({ length: daemons }, (_, place) => place);
    const peers = places.map((place) => {
      return { name: nameOf(place), host: '127.0.0.1', port: place, zone: 'z' };
    });
    this.daemons = places.map((place) => new Daemon(this, place, peers));
    this.bytesSent = places.map(() => 0);
  }

  /** Advances time while requests arrive at each daemon at its own rate, in requests a second. */
  async play(spanMs: number, rateOf: (place: number) => number): Promise<void> {
    const endMs = this.timers.nowMs() + spanMs;
    while (this.timers.nowMs() < endMs) {
      this.timers.advance(STEP_MS);
      for (const [place, daemon] of this.daemons.entries()) {
        if (this.random() < (rateOf(place) * STEP_MS) / 1_000) void this.#arrive(daemon);
      }
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** The daemon that grants permits. */
  granter(): Daemon | undefined {
    return this.daemons.find(({ limits }) => limits.grantedServers > 0);
  }

  deliver(from: number, to: number, message: LimitMessage): void {
    const bytes = encodePeerMessage(message);
    this.bytesSent[from] = (this.bytesSent[from] ?? 0) + bytes.length + DATAGRAM_OVERHEAD_BYTES;
    const isCut =
      this.daemons[from]?.isPartitioned === true || this.daemons[to]?.isPartitioned === true;
    if (isCut || this.random() < this.#lossRate) return;
    const delayMs = 1 + 4 * this.random();
    this.timers.after(delayMs, () => {
      const read = decodePeerMessage(bytes);
      const isOfLimits =
        read?.kind === 'limit-ask' || read?.kind === 'limit-grant' || read?.kind === 'limit-told';
      if (!isOfLimits) throw new Error('a message on limits cannot be decoded');
      this.daemons[to]?.limits.handleMessage(read, (answer) => this.deliver(to, from, answer));
    });
  }

  /** Answers for a server and names its limit, which the calling daemon then advertises. */
  serve(place: number, address: string): Promise<CallResult> {
    const serverId = this.servers.find((server) => server.address === address)?.id ?? '';
    this.arrivals.push({ atMs: this.timers.nowMs(), daemon: place, serverId });
    const headers: Record<string, string> = { 'x-attempt-id': 'a' };
    if (this.perSecond !== undefined) headers['server-limit'] = String(this.perSecond);
    if (this.perSecond !== undefined) this.firstNamedMs ??= this.timers.nowMs();
    const message = { headers } as unknown as IncomingMessage;
    const answer = { status: 200, message } as unknown as BackendAnswer;
    return new Promise((resolve) => {
      this.timers.after(this.answerMs, () => {
        const received = this.daemons[place]?.limitReceivedAtMs;
        const isFirst = this.perSecond !== undefined && received?.has(serverId) === false;
        if (isFirst) received?.set(serverId, this.timers.nowMs());
        resolve({ kind: 'answered', answer });
      });
    });
  }

  /** The most requests in 4 s that reached a server from daemons to which it had named its limit. */
  maxInSpan(fromMs: number): number {
    return Math.max(...this.servers.map(({ id }) => this.#maxInSpanAt(id, fromMs)));
  }

  #maxInSpanAt(id: string, fromMs: number): number {
    const counted = this.arrivals.filter(({ atMs, daemon, serverId }) => {
      const limitReceivedAtMs =
        this.daemons[daemon]?.limitReceivedAtMs.get(id) ?? Number.POSITIVE_INFINITY;
      return serverId === id && limitReceivedAtMs <= Math.max(atMs, fromMs);
    });
    let worst = 0;
    let first = 0;
    for (const [last, { atMs }] of counted.entries()) {
      while ((counted[first]?.atMs ?? 0) <= atMs - 4_000) first += 1;
      if (atMs >= fromMs) worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }

  /** Requests that reached servers within a span. */
  countBetween(fromMs: number, toMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
  }

  async #arrive(daemon: Daemon): Promise<void> {
    const { limits, fleet, calls } = daemon;
    this.offered += 1;
    limits.recordArrival(SERVICE);
    const arrivedAtMs = this.timers.nowMs();
    const wanted = this.#pickRandom(fleet.candidatesWithLimited(SERVICE, arrivedAtMs));
    const atLimit = fleet.serversAtLimit(SERVICE, arrivedAtMs);
    await limits.requestPermits(atLimit.filter(({ id }) => id === wanted?.id));
    for (;;) {
      const server = this.#pickRandom(fleet.candidates(SERVICE, this.timers.nowMs()));
      if (server !== undefined) {
        void calls.call(callTo(server));
        return;
      }
      if (!(await limits.waitForPermit(this.#waitRequest(arrivedAtMs)))) return;
    }
  }

  #pickRandom(servers: readonly ServerRecord[]): ServerRecord | undefined {
    return servers[Math.floor(this.random() * servers.length)];
  }

  /** The permit wait of a request. */
  #waitRequest(arrivedAtMs: number): PermitWaitRequest {
    const leftMs = () => arrivedAtMs + this.#waitMs - this.timers.nowMs();
    return {
      service: SERVICE,
      rank: 0,
      attemptId: 'a',
      arrivedAtMs,
      maxWaitMs: leftMs(),
      signal: new AbortController().signal,
      progress: new RequestProgress(),
      isCutByStop: () => false,
    };
  }
}

function callTo(server: ServerRecord): ServerCall {
  return {
    server,
    purpose: 'run',
    request: 'a',
    method: 'GET',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    mayKeepConnection: false,
    connectTimeoutMs: 220,
    signal: new AbortController().signal,
  };
}

function serverAt(place: number): ServerRecord {
  return {
    id: `i-${place}`,
    service: SERVICE,
    address: `10.0.0.${place}:80`,
    zone: 'z',
    slots: 64,
    state: 'ready',
    isSpot: false,
    stage: undefined,
    bornMs: 1,
  };
}

function nameOf(place: number): string {
  return `front-${place}`;
}
