/**
 * The crash guards of a fleet, in virtual time: datagrams may be lost, the store may be unavailable to some daemons, and
 * daemons are killed and restarted.
 */
import { PeerRoster, type ServerRecord } from '../../../src/core/gateway/index.js';
import type { TableCall, TableResult } from '../../../src/core/platform/table.js';
import { CrashGuard } from '../../../src/shell/gateway/crash-guard.js';
import type { GuardedExchange } from '../../../src/shell/gateway/request-fingerprint.js';
import { ManualTimers } from './manual-timers.js';
import { MemoryTable } from './memory-table.js';

const STEP_MS = 10;
const STORE_ANSWER_MS = 4;
/** Time from the send of a request to the end of its server. */
const RAN_MS = 5;
export const CONTACT_MS = 3_000;

/** Options of a fleet. */
export interface FleetOptions {
  readonly daemons: number;
  /** Share of the datagrams that are lost, 0 to 1. */
  readonly lossRate?: number;
  /** Returns numbers from 0 to 1. */
  readonly random: () => number;
}

/** A fleet of guards. */
export class CrashGuardFleet {
  readonly timers = new ManualTimers();
  readonly store = new MemoryTable();
  /** Whether the store is unavailable to a daemon now. */
  isStoreUnavailable: (daemon: number) => boolean = () => false;
  /** Whether all datagrams to and from a daemon are lost now. */
  isPartitioned: (daemon: number) => boolean = () => false;
  /** Whether ended servers accept connections again before they are checked. */
  endedServersAccept = false;
  /** Number of datagrams sent. */
  datagrams = 0;
  readonly #options: FleetOptions;
  readonly #guards: CrashGuard[] = [];
  readonly #names: readonly string[];

  constructor(options: FleetOptions) {
    this.#options = options;
    // A fixed key: fingerprints, and with them the order in which daemons write a row, are the same in each run.
    this.store.put('crash/!key', { key: Buffer.alloc(32, 34).toString('base64') });
    this.#names = Array.from({ length: options.daemons }, (_, index) => `front-${index}`);
    for (let daemon = 0; daemon < options.daemons; daemon += 1) this.start(daemon);
  }

  /** Starts a daemon, or restarts it without its state. */
  start(daemon: number): void {
    this.#guards[daemon]?.stop();
    const roster = new PeerRoster({ name: this.#nameOf(daemon), zone: 'a' });
    const others = this.#names.filter((_, index) => index !== daemon);
    const peers = others.map((name) => ({ name, host: name, port: 1, zone: 'a' }));
    roster.replace(peers, this.timers.nowMs());
    const guard = new CrashGuard({
      table: { call: (call) => this.#callStore(daemon, call) },
      exitCheck: { hasEnded: async () => !this.endedServersAccept },
      isReady: () => true,
      roster,
      peers: () => ({
        sendMessage: (recipients, message) => {
          if (message.kind !== 'crashes' && message.kind !== 'part-crashes') return;
          for (const { name } of recipients) {
            this.datagrams += 1;
            const to = this.#names.indexOf(name);
            const isLost = this.#options.random() < (this.#options.lossRate ?? 0);
            if (isLost || this.isPartitioned(daemon) || this.isPartitioned(to)) continue;
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

  /** A boot of a server. */
  serverOf(id: string, bornMs?: number): ServerRecord {
    const address = '10.0.0.1:1';
    const listed = { id, service: 'reader', address, zone: 'a', slots: 8, state: 'ready' } as const;
    return { ...listed, isSpot: false, stage: 'decode', bornMs };
  }

  /** A server ends while it runs a request of a daemon. */
  async crash(
    daemon: number,
    body: string,
    serverId: string,
    bornMs?: number,
    partIds: readonly string[] = [],
  ): Promise<void> {
    const exchange = requestOf(body, partIds);
    const server = this.serverOf(serverId, bornMs);
    this.guard(daemon).recordBrokenRun(exchange, server, RAN_MS);
    await this.guard(daemon).whenChecked(exchange);
    await settleAll();
  }

  /** Daemons that would send a request now. */
  daemonsThatSend(body: string, partIds: readonly string[] = []): readonly number[] {
    const request = requestOf(body, partIds);
    return this.#names.flatMap((_, daemon) =>
      this.guard(daemon).isReadyToServe && !this.guard(daemon).isQuarantined(request)
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
    if (this.isStoreUnavailable(daemon)) {
      return Promise.resolve({ kind: 'unavailable', reason: 'status 503', retryAfterMs: 0 });
    }
    return new Promise((resolve) =>
      this.timers.after(STORE_ANSWER_MS, () => resolve(this.store.answer(call))),
    );
  }
}

/** An attempt of a request with this body and these parts of its prompt. */
export function requestOf(body: string, partIds: readonly string[] = []): GuardedExchange {
  return {
    options: {
      request: { method: 'POST', url: '/check/1', headers: { host: 'labels.example' } },
      tenant: undefined,
      body: Buffer.from(body),
      description: {
        attemptId: 'attempt-1',
        deadlineMs: undefined,
        promptParts: partIds.map((id) => ({ id, tokens: 20 })),
        promptTokens: 0,
        maxOutputTokens: 0,
      },
    },
    refuse: () => undefined,
    withdraw: () => undefined,
  };
}

/** Lets all promises that are due settle. */
function settleAll(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
