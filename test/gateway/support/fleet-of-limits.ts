/**
 * Daemons before one server that names a limit, in virtual time: each calls the server through `ServerCalls`, and they
 * speak by messages that are late, lost or cut off. Fixed seeds.
 */
import type { IncomingMessage } from 'node:http';
import { REQUEST_CODEC } from '../../../platform/request-codec.js';
import { type PeerDaemon, PeerRoster, type ServerRecord } from '../../../src/core/gateway/index.js';
import type { BackendAnswer, CallResult } from '../../../src/shell/gateway/backend-connections.js';
import { FleetView } from '../../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../../src/shell/gateway/gateway-metrics.js';
import { LimitCoordinator } from '../../../src/shell/gateway/limit-coordinator.js';
import type { LimitMessage } from '../../../src/shell/gateway/limit-message-fields.js';
import { decodePeerMessage, encodePeerMessage } from '../../../src/shell/gateway/peer-messages.js';
import { ServerCalls } from '../../../src/shell/gateway/server-calls.js';
import { ManualTimers } from './manual-timers.js';
import { randomOf } from './unlike-engines.js';

export const LIMITED: ServerRecord = {
  id: 'i-limited',
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 64,
  state: 'ready',
  isSpot: false,
  stage: undefined,
  bornMs: 1,
};
const STEP_MS = 5;
/** UDP and IPv4 headers. */
const DATAGRAM_OVERHEAD_BYTES = 28;
const ANSWER_MS = 20;

/** How a fleet is set up. */
export interface FleetOfLimitsOptions {
  readonly daemons: number;
  readonly seed: number;
  /** Part of the messages that get lost. */
  readonly lossShare?: number;
}

/** A request that reached the server. */
export interface Arrival {
  readonly atMs: number;
  readonly daemon: number;
}

/** One daemon, its calls counted. */
class Daemon {
  readonly fleet = new FleetView({ ratio: 0.2, slack: 50 });
  readonly roster: PeerRoster;
  readonly limits: LimitCoordinator;
  readonly calls: ServerCalls;
  isCutOff = false;
  /** When the server first named a limit to it. */
  toldAtMs: number | undefined;

  constructor(world: FleetOfLimits, place: number, peers: readonly PeerDaemon[]) {
    const name = nameOf(place);
    const { timers } = world;
    this.roster = new PeerRoster({ name, zone: 'z' });
    this.roster.replace(peers, timers.nowMs());
    this.fleet.directory.replaceAll([LIMITED]);
    const metrics = new GatewayMetrics();
    const log = { write: () => undefined };
    this.limits = new LimitCoordinator({
      daemon: name,
      fleet: this.fleet,
      roster: this.roster,
      send: (told, message) => {
        for (const { port } of told) world.deliver(place, port, message);
      },
      timers,
      random: () => world.random(),
      log,
      metrics,
    });
    this.calls = new ServerCalls({
      connections: { call: () => world.serve(place) },
      fleet: this.fleet,
      codec: REQUEST_CODEC,
      timers,
      metrics,
      log,
      noteLimitChange: (server, change) => this.limits.noteHeard(server, change),
    });
  }
}

/** The fleet. */
export class FleetOfLimits {
  readonly timers = new ManualTimers();
  readonly daemons: readonly Daemon[];
  readonly arrivals: Arrival[] = [];
  /** Requests a second that the server names; undefined while it names none. */
  perSecond: number | undefined;
  firstNamedMs: number | undefined;
  /** Bytes that each daemon sent to the others. */
  readonly bytesSent: number[];
  readonly random: () => number;
  readonly #lossShare: number;

  constructor({ daemons, seed, lossShare = 0 }: FleetOfLimitsOptions) {
    this.random = randomOf(seed);
    this.#lossShare = lossShare;
    const places = Array.from({ length: daemons }, (_, place) => place);
    const peers = places.map((place) => {
      return { name: nameOf(place), host: '127.0.0.1', port: place, zone: 'z' };
    });
    this.daemons = places.map((place) => new Daemon(this, place, peers));
    this.bytesSent = places.map(() => 0);
  }

  /** Lets time pass, while requests come to each daemon at its own rate, in requests a second. */
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

  /** The daemon that the others ask. */
  granter(): Daemon | undefined {
    return this.daemons.find(({ limits }) => limits.grantedServers > 0);
  }

  deliver(from: number, to: number, message: LimitMessage): void {
    const bytes = encodePeerMessage(message);
    this.bytesSent[from] = (this.bytesSent[from] ?? 0) + bytes.length + DATAGRAM_OVERHEAD_BYTES;
    const isCut = this.daemons[from]?.isCutOff === true || this.daemons[to]?.isCutOff === true;
    if (isCut || this.random() < this.#lossShare) return;
    const delayMs = 1 + 4 * this.random();
    this.timers.after(delayMs, () => {
      const read = decodePeerMessage(bytes);
      const isOfLimits =
        read?.kind === 'limit-ask' || read?.kind === 'limit-grant' || read?.kind === 'limit-told';
      if (!isOfLimits) throw new Error('a message that was sent can be read');
      this.daemons[to]?.limits.take(read, (answer) => this.deliver(to, from, answer));
    });
  }

  /** The server: it answers with its limit, which its daemon then passes on. */
  serve(place: number): Promise<CallResult> {
    this.arrivals.push({ atMs: this.timers.nowMs(), daemon: place });
    const headers: Record<string, string> = { 'x-attempt-id': 'a' };
    if (this.perSecond !== undefined) headers['server-limit'] = String(this.perSecond);
    if (this.perSecond !== undefined) this.firstNamedMs ??= this.timers.nowMs();
    const message = { headers } as unknown as IncomingMessage;
    const answer = { status: 200, message } as unknown as BackendAnswer;
    return new Promise((resolve) => {
      this.timers.after(ANSWER_MS, () => {
        const daemon = this.daemons[place];
        if (daemon !== undefined && this.perSecond !== undefined) {
          daemon.toldAtMs ??= this.timers.nowMs();
        }
        resolve({ kind: 'answered', answer });
      });
    });
  }

  /** Requests that reached the server from daemons that it had told of its limit, in the worst span. */
  worstSpan(fromMs: number, toMs = Number.POSITIVE_INFINITY): number {
    const counted = this.arrivals.filter(({ atMs, daemon }) => {
      const toldAtMs = this.daemons[daemon]?.toldAtMs ?? Number.POSITIVE_INFINITY;
      return toldAtMs <= Math.max(atMs, fromMs) && atMs <= toMs;
    });
    let worst = 0;
    let first = 0;
    for (const [last, { atMs }] of counted.entries()) {
      while ((counted[first]?.atMs ?? 0) <= atMs - 4_000) first += 1;
      if (atMs >= fromMs) worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }

  /** Requests that reached the server within a span. */
  between(fromMs: number, toMs: number): number {
    return this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs).length;
  }

  /** Who finds no permit goes to another server, which is not played. */
  async #arrive(daemon: Daemon): Promise<void> {
    const { limits, fleet, calls } = daemon;
    limits.noteArrival(LIMITED.service);
    await limits.prepare(fleet.atLimit(LIMITED.service, this.timers.nowMs()));
    if (fleet.candidates(LIMITED.service, this.timers.nowMs()).length === 0) return;
    void calls.call({
      server: LIMITED,
      purpose: 'run',
      request: 'a',
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      mayKeepConnection: false,
      connectTimeoutMs: 220,
      signal: new AbortController().signal,
    });
  }
}

function nameOf(place: number): string {
  return `front-${place}`;
}
