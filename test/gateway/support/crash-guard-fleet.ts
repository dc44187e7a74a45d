/**
 * The guards of a whole fleet against requests that end servers, in virtual time: datagrams that may be lost, a store that
 * may be away for some daemons, daemons that are killed and start again.
 */
import { PeerRoster, type ServerRecord } from '../../../src/core/gateway/index.js';
import type { TableCall, TableResult } from '../../../src/core/platform/table.js';
import { CrashGuard } from '../../../src/shell/gateway/crash-guard.js';
import type { GuardedExchange } from '../../../src/shell/gateway/request-fingerprint.js';
import { ManualTimers } from './manual-timers.js';
import { MemoryTable } from './memory-table.js';

const STEP_MS = 10;
const STORE_ANSWER_MS = 4;
/** From the send to the end of the server. */
const RAN_MS = 5;
export const CONTACT_MS = 3_000;

/** How a fleet is made up. */
export interface FleetOptions {
  readonly daemons: number;
  /** Of all datagrams, 0 to 1. */
  readonly lossRate?: number;
  /** Gives numbers from 0 to 1. */
  readonly random: () => number;
}

/** A fleet of guards. */
export class FleetOfGuards {
  readonly timers = new ManualTimers();
  readonly store = new MemoryTable();
  /** Whether the store does not serve a daemon now. */
  isTurnedAway: (daemon: number) => boolean = () => false;
  /** Whether nothing comes through to a daemon now, or from it. */
  isCutOff: (daemon: number) => boolean = () => false;
  /** Whether servers that have ended take connections again before anyone looks. */
  takesConnections = false;
  /** Datagrams sent. */
  datagrams = 0;
  readonly #options: FleetOptions;
  readonly #guards: CrashGuard[] = [];
  readonly #names: readonly string[];

  constructor(options: FleetOptions) {
    this.#options = options;
    // Fingerprints, and with them who stands in for whom, are the same in each run.
    this.store.put('crash/!key', { key: Buffer.alloc(32, 34).toString('base64') });
    this.#names = Array.from({ length: options.daemons }, (_, index) => `front-${index}`);
    for (let daemon = 0; daemon < options.daemons; daemon += 1) this.start(daemon);
  }

  /** Starts a daemon, or starts it again with nothing of what it knew. */
  start(daemon: number): void {
    this.#guards[daemon]?.stop();
    const roster = new PeerRoster({ name: this.#nameOf(daemon), zone: 'a' });
    const others = this.#names.filter((_, index) => index !== daemon);
    const peers = others.map((name) => ({ name, host: name, port: 1, zone: 'a' }));
    roster.replace(peers, this.timers.nowMs());
    const guard = new CrashGuard({
      table: { call: (call) => this.#callStore(daemon, call) },
      exitCheck: { hasEnded: async () => !this.takesConnections },
      isReady: () => true,
      roster,
      peers: () => ({
        sendMessage: (told, message) => {
          if (message.kind !== 'crashes') return;
          for (const { name } of told) {
            this.datagrams += 1;
            const to = this.#names.indexOf(name);
            const isLost = this.#options.random() < (this.#options.lossRate ?? 0);
            if (isLost || this.isCutOff(daemon) || this.isCutOff(to)) continue;
            this.timers.after(1, () => this.guard(to).applyPeerRecords(message.records));
          }
        },
      }),
      initialPeerIndex: daemon,
      contactMs: CONTACT_MS,
      timers: this.timers,
      wallClock: () => this.timers.nowMs(),
      log: { write: () => undefined },
    });
    this.#guards[daemon] = guard;
    guard.start();
  }

  guard(daemon: number): CrashGuard {
    const guard = this.#guards[daemon];
    if (guard === undefined) throw new Error(`there is no daemon ${daemon}`);
    return guard;
  }

  /** A life of a server. */
  serverOf(id: string, bornMs?: number): ServerRecord {
    const address = '10.0.0.1:1';
    const listed = { id, service: 'reader', address, zone: 'a', slots: 8, state: 'ready' } as const;
    return { ...listed, isSpot: false, stage: 'decode', bornMs };
  }

  /** A server ends while a request runs there for a daemon. */
  async crash(daemon: number, body: string, serverId: string, bornMs?: number): Promise<void> {
    const exchange = requestOf(body);
    const server = this.serverOf(serverId, bornMs);
    this.guard(daemon).recordBrokenRun(exchange, server, RAN_MS);
    await this.guard(daemon).whenChecked(exchange);
    await settleAll();
  }

  /** Daemons that would send a request now. */
  sendersOf(body: string): readonly number[] {
    return this.#names.flatMap((_, daemon) =>
      this.guard(daemon).isReadyToServe && !this.guard(daemon).isQuarantined(requestOf(body))
        ? [daemon]
        : [],
    );
  }

  async advance(spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
      this.timers.advance(STEP_MS);
      await settleAll();
    }
  }

  stop(): void {
    for (const guard of this.#guards) guard.stop();
  }

  #nameOf(daemon: number): string {
    return this.#names[daemon] ?? '';
  }

  #callStore(daemon: number, call: TableCall): Promise<TableResult> {
    if (this.isTurnedAway(daemon)) {
      return Promise.resolve({ kind: 'unavailable', reason: 'status 503', retryAfterMs: 0 });
    }
    return new Promise((resolve) =>
      this.timers.after(STORE_ANSWER_MS, () => resolve(this.store.answer(call))),
    );
  }
}

/** One try of a piece of work. */
export function requestOf(body: string): GuardedExchange {
  return {
    options: {
      request: { method: 'POST', url: '/check/1', headers: { host: 'labels.example' } },
      tenant: undefined,
      body: Buffer.from(body),
      description: {
        attemptId: 'attempt-1',
        deadlineMs: undefined,
        promptParts: [],
        promptTokens: 0,
        maxOutputTokens: 0,
      },
    },
    refuse: () => undefined,
  };
}

/** Lets all promises that are due settle. */
function settleAll(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
