/** Guards against requests without an answer whose bodies arrive slowly while a daemon stops. */
import assert from 'node:assert/strict';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { pause } from '../../soak/pause.js';
import { RealGateway } from './support/real-gateway.js';

const WAIT_MS = 30_000;
const BODY = 'x'.repeat(2_000);
const HALF_BYTES = BODY.length / 2;
const MODEL_HEADERS = 'X-Model: m\r\nX-Token-Count: 300,4\r\nX-Prompt-Prefix: cc:300\r\n';
const ROUTES = ['/web/', '/brief/', '/model/'];
const FRAMINGS = ['with a length', 'in chunks'] as const;
/** When a request begins, in milliseconds after the signal, and on which connection. */
const BEGINNINGS = [
  { name: 'before the signal', beginsAtMs: -500, isKept: false },
  { name: 'after the signal', beginsAtMs: 500, isKept: false },
  { name: 'after the signal on an older connection', beginsAtMs: 3_500, isKept: true },
] as const;
/** When a body is complete, in milliseconds after the signal; what still runs is cut at 7,300. */
const COMPLETE_AT_MS = [1_000, 2_600, 4_500, 6_000];
const RUN_MS = 600;
const SETTLE_MS = 1_500;

type Framing = (typeof FRAMINGS)[number];
interface Trial {
  readonly id: string;
  readonly path: string;
  readonly framing: Framing;
  readonly beginsAtMs: number;
  readonly isKept: boolean;
  readonly completeAtMs: number;
}

let gateway: RealGateway | undefined;
const runs = new Map<string, number>();

afterEach(() => gateway?.stop());

function serve(request: IncomingMessage, response: ServerResponse): void {
  const id = String(request.headers['x-attempt-id']);
  request.resume();
  request.once('end', async () => {
    runs.set(id, (runs.get(id) ?? 0) + 1);
    const isStream = request.url?.startsWith('/model/') === true;
    const type = isStream ? { 'Content-Type': 'text/event-stream' } : {};
    response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Stamp': 'stamp', ...type });
    if (isStream) response.write('id: 1\ndata: a\n\n');
    await pause(RUN_MS);
    response.end(isStream ? 'id: 2\ndata: b\n\n' : 'served');
  });
}

function trials(): readonly Trial[] {
  return ROUTES.flatMap((path) =>
    FRAMINGS.flatMap((framing) =>
      BEGINNINGS.flatMap(({ name, beginsAtMs, isKept }) =>
        COMPLETE_AT_MS.filter((atMs) => atMs > beginsAtMs).map((completeAtMs) => {
          const id = `${path} ${framing} ${name} whole at ${completeAtMs}`;
          return { id, path, framing, beginsAtMs, isKept, completeAtMs };
        }),
      ),
    ),
  );
}

/** What came on a connection. */
class Received {
  text = '';
  readonly closed: Promise<unknown>;

  constructor(socket: Socket) {
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString('latin1');
    });
    this.closed = new Promise((resolve) => socket.once('close', resolve));
  }

  get status(): number {
    return Number(/^HTTP\/1\.1 (\d{3})/.exec(this.text)?.[1] ?? 0);
  }

  get isWhole(): boolean {
    const end = this.text.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const length = /\r\nContent-Length: (\d+)\r\n/i.exec(this.text.slice(0, end + 2))?.[1];
    if (length !== undefined) return this.text.length - end - 4 >= Number(length);
    return this.text.endsWith('0\r\n\r\n');
  }
}

function head({ id, path, framing }: Trial): string {
  const model = path === '/model/' ? MODEL_HEADERS : '';
  const length =
    framing === 'in chunks' ? 'Transfer-Encoding: chunked' : `Content-Length: ${BODY.length}`;
  const attempt = encodeURIComponent(id);
  return `POST ${path}1 HTTP/1.1\r\nHost: sheets.example\r\nX-Attempt-Id: ${attempt}\r\n${model}${length}\r\n\r\n`;
}

/** The request that a connection carries before the signal. */
function emptyRequest(id: string): string {
  const lines = [
    'GET /web/0 HTTP/1.1',
    'Host: sheets.example',
    `X-Attempt-Id: first-${encodeURIComponent(id)}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function framed({ framing }: Trial, part: string): string {
  return framing === 'in chunks' ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
}

/** Sends the first half of a request and, once it is time, the rest. */
async function send(trial: Trial, socket: Socket, until: (afterMs: number) => Promise<void>) {
  await until(trial.beginsAtMs);
  const received = new Received(socket);
  socket.write(head(trial) + framed(trial, BODY.slice(0, HALF_BYTES)));
  await until(trial.completeAtMs);
  const end = trial.framing === 'in chunks' ? '0\r\n\r\n' : '';
  socket.write(framed(trial, BODY.slice(HALF_BYTES)) + end);
  return { trial, received };
}

function assertAnswered(trial: Trial, received: Received): void {
  const ran = runs.get(encodeURIComponent(trial.id)) ?? 0;
  const what = `${trial.id}: ran ${ran} times, ${received.text}`;
  assert.ok(received.isWhole, what);
  switch (received.status) {
    case 200:
    case 504:
      assert.equal(ran, 1, what);
      break;
    default:
      assert.equal(received.status, 503, what);
      assert.match(received.text, /\r\nRetry-After: [\d.]+\r\n/, what);
      assert.equal(ran, 0, what);
  }
}

test('each request whose body is complete before the end of a stop gets an answer', async () => {
  const to = new RealGateway({});
  gateway = to;
  await to.start();
  to.serve = serve;
  const all = trials();
  const sockets = new Map(
    all.filter(({ isKept }) => isKept).map(({ id }) => [id, to.connect(1)[0]] as const),
  );
  for (const [id, socket] of sockets) socket?.write(emptyRequest(id));
  await to.waitUntil(() => runs.size === sockets.size, WAIT_MS);
  const signalAtMs = performance.now() + SETTLE_MS;
  const until = (afterMs: number) => pause(Math.max(0, signalAtMs + afterMs - performance.now()));
  const sent = all.map(async (trial) => {
    await until(trial.beginsAtMs);
    const socket = sockets.get(trial.id) ?? to.connect(1)[0];
    assert.ok(socket !== undefined);
    return send(trial, socket, until);
  });
  await until(0);
  to.terminate();
  const results = await Promise.all(sent);
  await to.waitUntil(() => to.end !== undefined, WAIT_MS);
  await Promise.all(results.map(({ received }) => received.closed));
  for (const { trial, received } of results) assertAnswered(trial, received);
  assert.deepEqual(to.end, { exitCode: 0, signal: null }, to.output.slice(-2_000));
});
