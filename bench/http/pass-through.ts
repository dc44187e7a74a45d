/**
 * The baseline process of the benchmark: a minimal round-robin proxy with `node:http` and `undici`.
 *
 *     node pass-through.js ADDRESS:PORT...
 */
import { createServer } from 'node:http';
import { Pool } from 'undici';

const ADDRESS = '127.0.0.1';
const BAD_GATEWAY = 502;
const KEEP_ALIVE_MS = 15_000;

const pools = process.argv
  .slice(2)
  .map((backend) => new Pool(`http://${backend}`, { connections: 1_024, pipelining: 1 }));
let turn = 0;

const server = createServer((request, response) => {
  const pool = pools[turn % pools.length];
  turn += 1;
  if (pool === undefined) {
    response.writeHead(BAD_GATEWAY).end();
    return;
  }
  const { host: _host, connection: _connection, ...headers } = request.headers;
  const method = request.method ?? 'GET';
  const forwarded = { path: request.url ?? '/', method, headers, body: request };
  pool
    .stream(forwarded, (answer) => {
      response.writeHead(answer.statusCode, answer.headers);
      return response;
    })
    .catch(() => response.destroy());
});
server.keepAliveTimeout = KEEP_ALIVE_MS;
server.listen(0, ADDRESS, () => {
  const listening = server.address();
  const port = typeof listening === 'object' ? listening?.port : undefined;
  console.log(JSON.stringify({ address: ADDRESS, port }));
});
