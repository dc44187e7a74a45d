/** An address on loopback where connections are neither accepted nor refused, as behind a silent cut. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import net, { type Socket } from 'node:net';

const HOST = '127.0.0.1';
/** The process ends by itself after this time, if the test run was killed before it. */
const MAX_LIFE_MS = 60_000;
/** Listens with the shortest queue of connections that wait to be accepted, prints its port, and then accepts none. */
const LISTEN = `
  const server = require('node:net').createServer();
  server.listen({ port: 0, host: '${HOST}', backlog: 1 }, () => {
    require('node:fs').writeSync(1, String(server.address().port));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ${MAX_LIFE_MS});
    process.exit();
  });
`;
/** The kernel accepts one connection more than the queue is long. */
const QUEUED = 2;

/** A process that listens and does not accept, with its queue full. */
export class SilentAddress {
  readonly #process: ChildProcess;
  readonly #queued: readonly Socket[];
  readonly address: string;

  private constructor(child: ChildProcess, port: number, queued: readonly Socket[]) {
    this.#process = child;
    this.#queued = queued;
    this.address = `${HOST}:${port}`;
  }

  static async open(): Promise<SilentAddress> {
    const child = spawn(process.execPath, ['-e', LISTEN], { stdio: ['ignore', 'pipe', 'inherit'] });
    if (child.stdout === null) throw new Error('the process has no output');
    const [line] = await once(child.stdout, 'data');
    const port = Number(String(line));
    const queued = Array.from({ length: QUEUED }, () => net.connect(port, HOST));
    await Promise.all(queued.map((socket) => once(socket, 'connect')));
    return new SilentAddress(child, port, queued);
  }

  stop(): void {
    for (const socket of this.#queued) socket.destroy();
    this.#process.kill('SIGKILL');
  }
}
