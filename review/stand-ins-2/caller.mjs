/** A caller that sends several requests on one connection. */
import { connect } from 'node:net';
import { bodyOf } from './web-server.mjs';

/** A caller that keeps its connection, and reads its answers in the order of its requests. */
export class Caller {
  wasClosed = false;
  #bytes = '';
  #isLeaving = false;
  #wake = () => undefined;

  constructor(port, deadlineMs) {
    this.deadlineMs = deadlineMs;
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (chunk) => {
      this.#bytes += chunk.toString('latin1');
      this.#wake();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.wasClosed = !this.#isLeaving;
      this.#wake();
    });
  }

  /** Sends requests at once; resolves to the statuses of their answers, undefined for those that did not come. */
  async ask(ids, requests) {
    this.socket.write(requests.join(''));
    const endMs = performance.now() + this.deadlineMs;
    const statuses = [];
    for (const id of ids) {
      let status = this.#take(id);
      while (status === undefined && !this.wasClosed && performance.now() < endMs) {
        await new Promise((wake) => {
          this.#wake = wake;
          setTimeout(wake, 50);
        });
        status = this.#take(id);
      }
      statuses.push(status);
    }
    return statuses;
  }

  /** The status of the next answer, once it is whole. */
  #take(id) {
    const end = this.#bytes.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const head = this.#bytes.slice(0, end);
    const status = Number(head.split(' ')[1]);
    const length = /^content-length: (\d+)$/im.exec(head)?.[1];
    const rest = this.#bytes.slice(end + 4);
    if (length === undefined && !this.wasClosed) return undefined;
    if (length !== undefined && rest.length < Number(length)) return undefined;
    const body = length === undefined ? rest : rest.slice(0, Number(length));
    this.#bytes = length === undefined ? '' : rest.slice(Number(length));
    return body === bodyOf(id) || status !== 200 ? status : undefined;
  }

  close() {
    this.#isLeaving = true;
    this.socket.destroy();
  }
}
