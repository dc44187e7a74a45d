/** A stand-in of a plain web server: answers each request after some work, with its signature. */
import http from 'node:http';

export class WebServer {
  #server = http.createServer((request, response) => this.#serve(request, response));
  #runs = 0;
  port = 0;

  /**
   * @param isUnframed whether the answer to a request carries no length and finishes with its connection
   * @param onRun called with what became of each request
   */
  constructor({ id, workMs, isUnframed, onRun }) {
    this.id = id;
    this.options = { workMs, isUnframed, onRun };
  }

  async open() {
    await new Promise((done) => this.#server.listen(0, '127.0.0.1', done));
    this.port = this.#server.address().port;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #serve(request, response) {
    response.on('error', () => response.destroy());
    request.resume();
    request.on('end', () => this.#answer(request, response));
  }

  #answer(request, response) {
    const { headers } = request;
    const id = headers['x-attempt-id'];
    if (id === undefined) return response.writeHead(200, { 'X-Instance-Id': this.id }).end();
    if (headers['x-expect-instance'] !== this.id) {
      return response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Executed': '1' }).end();
    }
    const { workMs, isUnframed, onRun } = this.options;
    const unframed = isUnframed(request);
    this.#runs += 1;
    const head = { 'X-Attempt-Id': id, 'X-Response-Stamp': `${this.id}.${this.#runs}` };
    onRun({ server: this.id, id, method: request.method, unframed });
    setTimeout(() => {
      onRun({ server: this.id, id, ends: response.destroyed ? 'cut' : 'whole' });
      const body = bodyOf(id);
      if (unframed) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
        response.writeHead(200, head);
      } else response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(body) });
      response.end(body);
    }, workMs);
  }
}

/** The body of the answer to a request, which the client knows as well as the server. */
export function bodyOf(id) {
  return `${id} `.repeat(100);
}
