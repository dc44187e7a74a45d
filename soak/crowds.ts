/** Opens the connections of crowds, and counts how the daemons treat them. */
import { connect, type Socket } from 'node:net';
import type { CrowdFault } from './crowd-fault.js';
import { crowdRequests } from './crowd-requests.js';
import { pause } from './pause.js';

const CONNECTIONS_PER_BURST = 25;
const BURST_INTERVAL_MS = 10;
/** A connection that is closed at once must not be followed by the next one at once. */
const RETURN_DELAY_MS = 500;
const MAX_BRIEF_MS = 2_000;

/** A daemon that a crowd calls. */
export interface CrowdTarget {
  readonly host: string;
  readonly port: number;
}

/** How the connections of all crowds were treated. */
export interface CrowdCounts {
  opened: number;
  /** Closed by the daemon, or not accepted. */
  closed: number;
  /** The first answers on connections, by their status. */
  readonly statuses: Map<string, number>;
}

export interface CrowdsOptions {
  readonly random: () => number;
}

export class Crowds {
  readonly counts: CrowdCounts = { opened: 0, closed: 0, statuses: new Map() };
  readonly #options: CrowdsOptions;
  readonly #sockets = new Set<Socket>();
  #isEnded = false;

  constructor(options: CrowdsOptions) {
    this.#options = options;
  }

  /** Sends a crowd to some daemons; resolves once its callers have left. */
  async send(fault: CrowdFault, targets: readonly CrowdTarget[]): Promise<void> {
    await Promise.all(targets.map((target) => new Crowd(this, fault, target).play()));
  }

  /** From this call on no connection is opened, and all are closed. */
  close(): void {
    this.#isEnded = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  random(): number {
    return this.#options.random();
  }

  /** Opens a connection and counts what becomes of it. */
  open({ host, port }: CrowdTarget, isRead: boolean): Socket {
    const socket = connect(port, host);
    this.counts.opened += 1;
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    socket.once('data', (answer: Buffer) => this.#countStatus(answer));
    if (!isRead) socket.pause();
    return socket;
  }

  #countStatus(answer: Buffer): void {
    const status = answer.subarray(0, 'HTTP/1.1 200'.length).toString('latin1').split(' ')[1];
    const { statuses } = this.counts;
    statuses.set(status ?? '', (statuses.get(status ?? '') ?? 0) + 1);
  }
}

/** One crowd at one daemon. */
class Crowd {
  readonly #crowds: Crowds;
  readonly #fault: CrowdFault;
  readonly #target: CrowdTarget;
  readonly #request: () => readonly Buffer[];
  readonly #open = new Set<Socket>();
  #hasLeft = false;

  constructor(crowds: Crowds, fault: CrowdFault, target: CrowdTarget) {
    this.#crowds = crowds;
    this.#fault = fault;
    this.#target = target;
    this.#request = crowdRequests(fault.crowd);
  }

  async play(): Promise<void> {
    const leaveMs = performance.now() + this.#fault.forMs;
    for (let opened = 0; opened < this.#fault.callers && !this.#isOver; ) {
      const end = Math.min(this.#fault.callers, opened + CONNECTIONS_PER_BURST);
      for (; opened < end; opened += 1) this.#connect();
      await pause(BURST_INTERVAL_MS);
    }
    await pause(Math.max(0, leaveMs - performance.now()));
    this.#leave();
  }

  get #isOver(): boolean {
    return this.#hasLeft || this.#crowds.isEnded;
  }

  #connect(): void {
    if (this.#isOver) return;
    const { crowd, comeBack } = this.#fault;
    const socket = this.#crowds.open(this.#target, crowd !== 'unread-streams');
    this.#open.add(socket);
    // The daemon may be down, or reset the connection; `close` follows.
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      const isClosedByDaemon = this.#open.delete(socket) && !this.#isOver;
      if (!isClosedByDaemon) return;
      this.#crowds.counts.closed += 1;
      if (comeBack) setTimeout(() => this.#connect(), RETURN_DELAY_MS);
    });
    for (const bytes of this.#request()) socket.write(bytes);
    if (crowd === 'brief-connections') this.#resetSoon(socket);
  }

  #resetSoon(socket: Socket): void {
    const afterMs = this.#crowds.random() * MAX_BRIEF_MS;
    setTimeout(() => {
      if (this.#open.delete(socket)) socket.resetAndDestroy();
    }, afterMs).unref();
  }

  /** Half of the callers reset their connections, the others end them. */
  #leave(): void {
    this.#hasLeft = true;
    for (const socket of this.#open) {
      if (this.#crowds.random() < 1 / 2) socket.resetAndDestroy();
      else socket.destroy();
    }
    this.#open.clear();
  }
}
