/** Daemons that tell each other of paces over a network in memory, in virtual time. */
import {
  FleetPaces,
  type PeerDaemon,
  PeerRoster,
  ReadSpeed,
} from '../../../src/core/gateway/index.js';
import { GATEWAY_EVENTS } from '../../../src/core/logging/catalogue/gateway.js';
import { PaceGossip } from '../../../src/shell/gateway/pace-gossip.js';
import { decodePeerMessage, encodePeerMessage } from '../../../src/shell/gateway/peer-messages.js';
import { ManualTimers } from './manual-timers.js';

const SERVICE = 's';
const LINK_OVERHEAD_BYTES = 28;

export interface Teller {
  readonly daemon: PeerDaemon;
  readonly paces: FleetPaces;
  readonly speed: ReadSpeed;
  readonly roster: PeerRoster;
  readonly ignored: number[];
  /** Bytes that this daemon has sent, by receiver. */
  readonly sent: Map<string, number>;
  readonly teller: PaceGossip;
}

/** A fleet whose relays are known from the start; engines are listed everywhere. */
export class FleetOfTellers {
  readonly timers = new ManualTimers();
  readonly live = new Map<string, Teller>();
  readonly #daemons: readonly PeerDaemon[];

  constructor(daemons: number, zones: readonly string[]) {
    this.#daemons = Array.from({ length: daemons }, (_, place) => ({
      name: `d${place}`,
      host: '127.0.0.1',
      port: place,
      zone: zones[place % zones.length] ?? '',
    }));
  }

  startAll(): void {
    for (const { name } of this.#daemons) this.start(name);
  }

  start(name: string): Teller {
    const daemon = this.#daemons.find((one) => one.name === name);
    if (daemon === undefined) throw new Error(`no daemon ${name}`);
    const { timers } = this;
    const speed = new ReadSpeed(true);
    const paces = new FleetPaces({
      use: 'always',
      speedOf: () => speed,
      serviceOf: (id) => (id.startsWith('e') ? SERVICE : undefined),
    });
    const roster = new PeerRoster(daemon);
    roster.replace(this.#daemons, timers.nowMs());
    const ignored: number[] = [];
    const sent = new Map<string, number>();
    const teller = new PaceGossip({
      daemon: name,
      zone: daemon.zone,
      roster,
      paces,
      timers,
      log: {
        write: (event, fields) => {
          if (event === GATEWAY_EVENTS.pacesIgnored) ignored.push(Number(fields?.count));
        },
      },
      isReady: () => true,
      isRelay: () => roster.isRelay(timers.nowMs()),
      send: (peers, bytes) => {
        for (const peer of peers) this.#deliver(daemon, peer.name, bytes, sent);
      },
    });
    const started = { daemon, paces, speed, roster, ignored, sent, teller };
    this.live.set(name, started);
    teller.start();
    return started;
  }

  /** Ends a daemon without a word. */
  end(name: string): void {
    this.live.get(name)?.teller.stop();
    this.live.delete(name);
  }

  relayOf(zone: string): Teller {
    const nowMs = this.timers.nowMs();
    const relay = [...this.live.values()].find(
      ({ daemon, roster }) => daemon.zone === zone && roster.isRelay(nowMs),
    );
    if (relay === undefined) throw new Error(`no relay in ${zone}`);
    return relay;
  }

  /** Time goes on; relays are heard as long as they live. */
  advance(spanMs: number): void {
    for (let passedMs = 0; passedMs < spanMs; passedMs += 60) {
      const nowMs = this.timers.nowMs();
      for (const { daemon, roster } of [...this.live.values()]) {
        for (const other of this.live.values()) other.roster.recordContact(daemon.name, nowMs);
        if (!roster.isRelay(nowMs)) continue;
        for (const other of this.live.values()) {
          if (other.daemon.name === daemon.name) continue;
          other.roster.recordRelayContact(daemon.name, daemon.zone, nowMs);
        }
      }
      this.timers.advance(60);
    }
  }

  #deliver(
    from: PeerDaemon,
    name: string,
    bytes: Buffer,
    sent: Map<string, number> | undefined,
  ): void {
    sent?.set(name, (sent.get(name) ?? 0) + bytes.length + LINK_OVERHEAD_BYTES);
    const message = decodePeerMessage(bytes);
    if (message?.kind !== 'paces') throw new Error('a message of paces cannot be read');
    this.live.get(name)?.teller.handleMessage(message.message, (answer) => {
      const answered = encodePeerMessage({ kind: 'paces', message: answer });
      this.#deliver(this.#daemonNamed(name), from.name, answered, this.live.get(name)?.sent);
    });
  }

  #daemonNamed(name: string): PeerDaemon {
    const daemon = this.#daemons.find((one) => one.name === name);
    if (daemon === undefined) throw new Error(`no daemon ${name}`);
    return daemon;
  }
}

/** A daemon sees prompts read by engines of a pace each. */
export function seeReads(
  { paces }: Teller,
  paceOf: (engine: number) => number,
  engines: readonly number[],
  nowMs: number,
): void {
  for (const engine of engines) {
    const tokens = 2_000 + ((engine * 977 + Math.round(nowMs)) % 9_000);
    const elapsedMs = (4 + tokens / 50) / paceOf(engine);
    paces.learnPrefill(
      { id: `e${engine}`, service: SERVICE },
      tokens,
      { elapsedMs, waitMs: 0 },
      nowMs,
    );
  }
}
