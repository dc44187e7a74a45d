/**
 * The way of datagrams to one daemon: a proxy at the address that other daemons know, which delivers them in order, some time
 * after they were sent. What the daemon replies goes back to each sender at once.
 */
import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { once } from 'node:events';

interface QueuedDatagram {
  readonly bytes: Buffer;
  readonly from: Socket;
  readonly dueMs: number;
}

/** A fault of the way: the delay grows to `delayMs` and stays there. */
export interface DatagramDelay {
  readonly delayMs: number;
  readonly growsForMs: number;
}

/** The link to one daemon. */
export class DatagramLink {
  readonly #host: string;
  readonly #port: number;
  readonly #socket = createSocket('udp4');
  /** For each sender a socket of its own, so that replies can be told apart. */
  readonly #senders = new Map<string, Socket>();
  #queue: QueuedDatagram[] = [];
  #timer: NodeJS.Timeout | undefined;
  #fault: (DatagramDelay & { readonly sinceMs: number }) | undefined;
  #isClosed = false;

  /** @param port where the daemon receives datagrams */
  constructor(host: string, port: number) {
    this.#host = host;
    this.#port = port;
    this.#socket.on('message', (bytes, sender) => this.#receive(bytes, sender));
    this.#socket.on('error', () => undefined);
  }

  /** @param port the one that other daemons know */
  async open(port: number): Promise<void> {
    this.#socket.bind({ address: this.#host, port });
    await once(this.#socket, 'listening');
  }

  begin(delay: DatagramDelay): void {
    this.#fault = { ...delay, sinceMs: performance.now() };
  }

  /** Delivers what is on its way, and from now on everything at once. */
  end(): void {
    this.#fault = undefined;
    for (const datagram of this.#queue) this.#deliver(datagram);
    this.#queue = [];
    clearTimeout(this.#timer);
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#socket.close();
    for (const socket of this.#senders.values()) socket.close();
  }

  #receive(bytes: Buffer, sender: RemoteInfo): void {
    const last = this.#queue.at(-1)?.dueMs ?? 0;
    const dueMs = Math.max(last, performance.now() + this.#delayMs());
    this.#queue.push({ bytes, from: this.#socketOf(sender), dueMs });
    if (this.#queue.length === 1) this.#schedule();
  }

  #delayMs(): number {
    if (this.#fault === undefined) return 0;
    const { delayMs, growsForMs, sinceMs } = this.#fault;
    return delayMs * Math.min(1, (performance.now() - sinceMs) / growsForMs);
  }

  #socketOf(sender: RemoteInfo): Socket {
    const key = `${sender.address}:${sender.port}`;
    const known = this.#senders.get(key);
    if (known !== undefined) return known;
    const socket = createSocket('udp4');
    socket.on('error', () => undefined);
    socket.on('message', (reply) => {
      if (!this.#isClosed) this.#socket.send(reply, sender.port, sender.address);
    });
    this.#senders.set(key, socket);
    return socket;
  }

  #schedule(): void {
    const [first] = this.#queue;
    if (first === undefined) return;
    const waitMs = first.dueMs - performance.now();
    if (waitMs > 0) this.#timer = setTimeout(() => this.#deliverDue(), waitMs);
    else this.#deliverDue();
  }

  #deliverDue(): void {
    const nowMs = performance.now();
    for (let [first] = this.#queue; first !== undefined && first.dueMs <= nowMs; ) {
      this.#deliver(first);
      this.#queue.shift();
      [first] = this.#queue;
    }
    this.#schedule();
  }

  #deliver({ bytes, from }: QueuedDatagram): void {
    if (!this.#isClosed) from.send(bytes, this.#port, this.#host);
  }
}
