/** A gateway in virtual time that a test stops as a signal does, while callers use connections from before the signal. */
import { once } from 'node:events';
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { GATEWAY_EVENTS } from '../../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../../src/core/logging/log-event.js';
import { deferred } from './deferred.js';
import {
  type CallerRequest,
  configuration,
  GatewayFixture,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  route,
} from './fixture.js';
import { ManualTimers } from './manual-timers.js';
import {
  engine,
  type Script,
  type SeenRequest,
  type ServedRequest,
  type ServerStandIn,
  stamped,
} from './server-stand-in.js';

/** Longer than any stop, so that the time-out of a route is no bound for a request. */
const LONG_TIMEOUT_MS = 60_000;
/** Long enough for any wait before a request is sent. */
const PATIENT_TARGET_MS = 40_000;
const HEAD_END = '\r\n\r\n';
/** The first event of a stream that `beginStream` begins. */
export const FIRST_EVENT = 'id: 1\ndata: piece 1\n\n';
/** The path of the streams that keep a daemon from ending early. */
const HELD_PATH = '/check/held/';

const ROUTES = [
  route({ timeoutMs: LONG_TIMEOUT_MS }),
  route({
    name: 'patient',
    pathPrefix: '/patient/',
    timeoutMs: LONG_TIMEOUT_MS,
    targetLatencyMs: PATIENT_TARGET_MS,
  }),
  { ...READ_ROUTE, timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: PATIENT_TARGET_MS },
  { ...RESUMABLE_ROUTE, timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: PATIENT_TARGET_MS },
];

/** What became of a request at its caller. */
export interface Outcome {
  /** 0 where the connection ended without the head of an answer. */
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

const NO_ANSWER: Outcome = { status: 0, headers: {}, body: '' };

/** Routes whose requests outlast a stop and are never held for it. */
export const OUTLASTING_ROUTES = [
  route({ timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: LONG_TIMEOUT_MS }),
  { ...READ_ROUTE, timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: LONG_TIMEOUT_MS },
];

/** A gateway that a test stops. */
export class StoppingDaemon {
  readonly fixture = new GatewayFixture();
  readonly timers = new ManualTimers();
  #signalledAtMs = 0;
  #requests = 0;

  async start(routes: readonly unknown[] = ROUTES): Promise<void> {
    await this.fixture.start(this.timers);
    this.fixture.store.putConfiguration(configuration(1, routes));
    await this.#until(() => this.linesOf(GATEWAY_EVENTS.configurationInForce).length > 0);
    await this.#until(() => this.linesOf(GATEWAY_EVENTS.crashTableRead).length > 0);
  }

  /** To be called by every test. */
  end(): void {
    this.fixture.stop();
  }

  async addServer(id: string, script: Script, fields: object = {}): Promise<ServerStandIn> {
    const server = await this.fixture.addServer(id, script, fields);
    await this.#until(() =>
      this.linesOf(GATEWAY_EVENTS.serverAdded).some((logged) => logged.server === id),
    );
    return server;
  }

  /** Adds an engine whose streams below `HELD_PATH` never end; all other requests go to the script. */
  addEngine(
    id: string,
    script: Script = engine(3),
    stage: 'prefill' | 'decode' = 'decode',
  ): Promise<ServerStandIn> {
    const holding: Script = (served) => {
      if (served.seen.url.startsWith(HELD_PATH)) beginStream(served);
      else script(served);
    };
    return this.addServer(id, holding, { service: 'reader', stage });
  }

  /** Begins a stream that runs until the daemon cuts it off, so that the daemon does not end sooner. */
  async holdOpen(): Promise<void> {
    const sent = this.fixture.open({ ...this.#withId(), path: HELD_PATH });
    sent.on('error', () => undefined);
    const [response] = (await once(sent, 'response')) as [IncomingMessage];
    response.on('error', () => undefined).resume();
  }

  /** Lets the daemon learn how long a token takes, from a stream at a server. */
  async learnPace(server: ServerStandIn, tokens: number, msForToken: number): Promise<void> {
    const begun = beginNextStream(server);
    const outcome = this.send({ path: '/check/pace', headers: tokenCount(tokens) });
    const { response } = await begun;
    await this.timers.advanceBy(tokens * msForToken);
    response.end();
    await this.outcomeOf(outcome);
  }

  /** A connection whose caller reads a stream of a server that began before the signal. */
  async keepConnection(server: ServerStandIn): Promise<KeptConnection> {
    const begun = beginNextStream(server);
    const socket = connect(this.fixture.callersPort, '127.0.0.1');
    const kept = new KeptConnection(socket, () => this.#nextId());
    // Of so many tokens that the learnt time of a token stays short.
    kept.write({ path: '/check/kept', headers: tokenCount(400_000) });
    const { response } = await begun;
    await kept.receive(FIRST_EVENT);
    kept.endStream = () => response.end();
    return kept;
  }

  /** The signal. */
  signal(): void {
    this.#signalledAtMs = this.timers.nowMs();
    void this.fixture.stopDaemon('front-1');
  }

  /** Lets time pass until so long after the signal. */
  async untilAfterSignal(afterMs: number): Promise<void> {
    await this.timers.advanceBy(this.#signalledAtMs + afterMs - this.timers.nowMs());
  }

  /** Sends a request on a connection of its own; resolves as the connection ends. */
  send(request: CallerRequest): Promise<Outcome> {
    const sent = this.fixture.open({ ...request, ...this.#withId(request.headers) });
    return new Promise((resolve) => {
      sent.once('error', () => resolve(NO_ANSWER));
      sent.once('response', (response: IncomingMessage) => {
        const chunks: Buffer[] = [];
        response.on('error', () => undefined);
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.once('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
          }),
        );
      });
    });
  }

  /** Lets time pass until a request has ended. */
  async outcomeOf(pending: Promise<Outcome>): Promise<Outcome> {
    let isOver = false;
    void pending.then(() => {
      isOver = true;
    });
    await this.timers.advanceUntil(() => isOver);
    return pending;
  }

  linesOf(event: LogEvent): readonly LogFields[] {
    return this.fixture.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }

  /** Lets time pass until something holds. */
  async #until(isDone: () => boolean): Promise<void> {
    await this.timers.advanceUntil(isDone);
  }

  #withId(headers: Record<string, string> = tokenCount(4)) {
    return { headers: { 'X-Attempt-Id': this.#nextId(), ...headers } };
  }

  #nextId(): string {
    this.#requests += 1;
    return `a-${this.#requests}`;
  }
}

/** A caller's connection that stays open while its daemon stops. */
export class KeptConnection {
  /** Ends the stream from before the signal. */
  endStream: () => void = () => undefined;
  readonly #socket: Socket;
  readonly #nextId: () => string;
  #received = '';

  constructor(socket: Socket, nextId: () => string) {
    this.#socket = socket;
    this.#nextId = nextId;
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.#received += chunk.toString('latin1');
    });
  }

  /** Ends the stream and sends the next request; resolves as the connection ends. */
  async sendNext(request: CallerRequest): Promise<Outcome> {
    this.endStream();
    await this.receive('0\r\n\r\n');
    this.#received = '';
    this.write(request);
    await once(this.#socket, 'close');
    return readOutcome(this.#received);
  }

  write({ path, headers = {} }: CallerRequest): void {
    const head = Object.entries({ 'X-Attempt-Id': this.#nextId(), ...headers });
    const lines = head.map(([name, value]) => `${name}: ${value}`);
    const framing = ['Host: labels.example', 'Content-Length: 0'];
    this.#socket.write([`POST ${path} HTTP/1.1`, ...framing, ...lines, '', ''].join('\r\n'));
  }

  async receive(text: string): Promise<void> {
    while (!this.#received.includes(text)) await once(this.#socket, 'data');
  }
}

/** The headers of a request with a short prompt that asks for so many tokens. */
export function tokenCount(tokens: number): Record<string, string> {
  return { 'X-Model': 'm', 'X-Token-Count': `30,${tokens}` };
}

/** The callers' requests that a server received, without the gateway's own calls. */
export function requestsAt(server: ServerStandIn): readonly SeenRequest[] {
  return server.seen.filter(
    ({ method, url }) => method === 'POST' && !url.startsWith(HELD_PATH) && !/kept|pace/.test(url),
  );
}

/** Begins a stream that a test ends. */
export function beginStream({ seen, response }: ServedRequest): void {
  response.writeHead(200, { ...stamped(seen), 'Content-Type': 'text/event-stream' });
  response.write(FIRST_EVENT);
}

/** Begins the next stream at a server, which a test ends; later requests go to its script as before. */
function beginNextStream(server: ServerStandIn): Promise<ServedRequest> {
  const { script } = server;
  const begun = deferred<ServedRequest>();
  server.script = (served) => {
    if (served.seen.method !== 'POST') return script(served);
    server.script = script;
    beginStream(served);
    begun.resolve(served);
  };
  return begun.promise;
}

function readOutcome(text: string): Outcome {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return NO_ANSWER;
  const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const body = text.slice(headEnd + HEAD_END.length);
  return { status: Number(statusLine.split(' ')[1]), headers, body };
}
