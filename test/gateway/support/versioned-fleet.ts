/** Daemons before engines of several software versions, whose events name the version that wrote them. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { TABLES } from '../../../platform/names.js';
import { GATEWAY_EVENTS } from '../../../src/core/logging/catalogue/gateway.js';
import type { LogEvent } from '../../../src/core/logging/log-event.js';
import {
  type CallerAnswer,
  type CallerRequest,
  configuration,
  type DaemonPaths,
  GatewayFixture,
  READ_ROUTE,
  RESUMABLE_ROUTE,
  SHORT_REQUEST,
} from './fixture.js';
import { ManualTimers } from './manual-timers.js';
import {
  engine,
  rejectingAsNotExecuted,
  type Script,
  type ServerStandIn,
  stamped,
} from './server-stand-in.js';

/** The events of a whole stream. */
export const WHOLE_STREAM = 4;
/** The events that a server sends before it breaks off. */
const EVENTS_BEFORE_BREAK = 2;

/** Within this time all daemons have read a change of the list. */
const LIST_CHANGE_MS = 2_000;

/** How an engine serves a stream that begins; one that is taken up is always served to its end. */
export type Beginning = 'whole' | 'breaks off' | 'stays open' | 'rejects resumptions';

/** A stream whose first events have arrived. */
export interface OpenStream {
  readonly id: string;
  readonly sent: ClientRequest;
  readonly body: string;
}

/** A fleet on loopback in virtual time. */
export class VersionedFleet {
  readonly fixture = new GatewayFixture();
  readonly timers = new ManualTimers();
  readonly ports: number[] = [];
  readonly servers = new Map<string, ServerStandIn>();
  #daemons = 0;
  #configurationVersion = 0;
  #streams = 0;

  /**
   * @param versions the software version of each engine, by its id
   * @param pathsOfFirst what the first daemon reaches in ways of its own
   */
  async start(
    daemons: number,
    versions: Readonly<Record<string, string>>,
    pathsOfFirst: DaemonPaths = {},
  ): Promise<void> {
    for (let index = 0; index < daemons; index += 1) {
      await this.addDaemon(index === 0 ? pathsOfFirst : {});
    }
    this.configure([RESUMABLE_ROUTE, READ_ROUTE]);
    await this.addEngines(versions, 'whole');
    await this.untilDaemonsKnow(daemons, daemons);
  }

  /** Until this many daemons list this many, themselves included. */
  async untilDaemonsKnow(knowing: number, listed: number): Promise<void> {
    const lines = () => this.linesOf(GATEWAY_EVENTS.fleetSizeChanged);
    const informed = () => lines().filter(({ fields }) => fields.daemons === listed);
    await this.timers.advanceUntil(
      () => new Set(informed().map(({ daemon }) => daemon)).size >= knowing,
    );
  }

  async addDaemon(paths: DaemonPaths = {}): Promise<number> {
    this.#daemons += 1;
    const name = `front-${this.#daemons}`;
    let port: number | undefined;
    void this.fixture.addDaemon(name, this.timers, paths).then((opened) => {
      port = opened;
    });
    await this.timers.advanceUntil(() => port !== undefined);
    this.ports.push(port ?? 0);
    return port ?? 0;
  }

  configure(routes: readonly unknown[]): void {
    this.#configurationVersion += 1;
    this.fixture.store.putConfiguration(configuration(this.#configurationVersion, routes));
  }

  async addEngines(
    versions: Readonly<Record<string, string>>,
    beginning: Beginning,
    fields: object = {},
  ): Promise<void> {
    for (const [id, version] of Object.entries(versions)) {
      const script = versionedEngine(version, beginning);
      const row = { service: 'reader', stage: 'decode', version, ...fields };
      this.servers.set(id, await this.fixture.addServer(id, script, row));
    }
    for (const id of Object.keys(versions)) await this.untilKnown(id);
  }

  /** Rewrites a row again and again, as a release does with many rows. */
  keepListChanging(everyMs: number): void {
    let sequence = 0;
    const change = () => {
      sequence += 1;
      const address = `127.0.0.1:${1 + (sequence % 1_000)}`;
      const row = { service: 'other', address, zone: 'a', slots: 6, state: 'ready', sequence };
      this.fixture.store.putServer('other', row);
      this.timers.after(everyMs, change);
    };
    change();
  }

  /** Until a daemon has just read a change of the list, so that it waits for a whole batch before it reads the next. */
  async untilListIsRead(): Promise<void> {
    const reads = () => this.linesOf(GATEWAY_EVENTS.serverRenewed).length;
    const before = reads();
    await this.timers.advanceUntil(() => reads() > before);
  }

  /** Until all daemons that run list a server. */
  async untilKnown(id: string): Promise<void> {
    await this.#untilLogged(GATEWAY_EVENTS.serverAdded, id);
  }

  async #untilLogged(event: LogEvent, id: string): Promise<void> {
    const running = this.#daemons - this.#aborted.size;
    const logging = () =>
      new Set(
        this.linesOf(event)
          .filter(({ fields, daemon }) => fields.server === id && !this.#aborted.has(daemon))
          .map(({ daemon }) => daemon),
      ).size;
    await this.timers.advanceUntil(() => logging() >= running);
  }

  readonly #aborted = new Set<string>();

  abortDaemon(index: number): void {
    const name = `front-${index + 1}`;
    this.#aborted.add(name);
    this.fixture.abortDaemon(name);
  }

  /** Takes a server off the list, until all daemons have seen it. */
  async remove(id: string): Promise<void> {
    this.fixture.store.remove(TABLES.servers, id);
    await this.#untilLogged(GATEWAY_EVENTS.serverRemoved, id);
  }

  /** Servers say in their rows that they drain; until all daemons have seen it. */
  async drain(versions: Readonly<Record<string, string>>): Promise<void> {
    const before = this.linesOf(GATEWAY_EVENTS.serverChanged).length;
    const ids = Object.keys(versions);
    for (const [id, version] of Object.entries(versions)) {
      const server = this.servers.get(id);
      if (server === undefined) throw new Error(`there is no server ${id}`);
      const fields = { service: 'reader', stage: 'decode', version, state: 'draining' };
      this.fixture.listServer(id, server, fields);
    }
    const expected = before + ids.length * (this.#daemons - this.#aborted.size);
    await this.timers.advanceUntil(
      () => this.linesOf(GATEWAY_EVENTS.serverChanged).length >= expected,
    );
  }

  /** A server's row states another software version. */
  async relist(id: string, version: string): Promise<void> {
    const server = this.servers.get(id);
    if (server === undefined) throw new Error(`there is no server ${id}`);
    server.script = versionedEngine(version, 'whole');
    this.fixture.listServer(id, server, { service: 'reader', stage: 'decode', version });
    await this.timers.advanceBy(LIST_CHANGE_MS);
  }

  /** Another server of another version starts at the address of one that has ended. */
  takeOver(ended: string, id: string, version: string, beginning: Beginning): void {
    const server = this.servers.get(ended);
    if (server === undefined) throw new Error(`there is no server ${ended}`);
    const serve = versionedEngine(version, beginning);
    server.script = (served) => {
      const { seen, response } = served;
      if (seen.headers['x-expect-instance'] === id) return serve(served);
      response.writeHead(421, { 'X-Attempt-Id': seen.headers['x-attempt-id'] ?? '' }).end();
    };
    this.servers.set(id, server);
    this.fixture.store.remove(TABLES.servers, ended);
    this.fixture.listServer(id, server, { service: 'reader', stage: 'decode', version });
  }

  setBeginning(versions: Readonly<Record<string, string>>, beginning: Beginning): void {
    for (const [id, version] of Object.entries(versions)) {
      const server = this.servers.get(id);
      if (server !== undefined) server.script = versionedEngine(version, beginning);
    }
  }

  linesOf(event: LogEvent) {
    return this.fixture.lines.filter((line) => line.event === event);
  }

  async call(request: Partial<CallerRequest> & { readonly port?: number | undefined }) {
    let answer: CallerAnswer | undefined;
    const headers = {
      ...SHORT_REQUEST.headers,
      'X-Attempt-Id': this.nextId(),
      ...request.headers,
    };
    void this.fixture
      .call({ ...SHORT_REQUEST, port: this.ports[0], ...request, headers })
      .then((received) => {
        answer = received;
      });
    await this.timers.advanceUntil(() => answer !== undefined);
    return answer as unknown as CallerAnswer;
  }

  /** Takes a stream up after its last event, as its caller does. */
  resume(stream: Pick<OpenStream, 'id' | 'body'>, port: number | undefined): Promise<CallerAnswer> {
    const headers = { Resumes: stream.id, 'Last-Event-Id': lastEventIdIn(stream.body) };
    return this.call({ port, headers });
  }

  nextId(): string {
    this.#streams += 1;
    return `stream-${this.#streams}`;
  }

  /** Opens streams at a daemon, and waits until the first events of each have arrived. */
  async openStreams(count: number, port: number | undefined): Promise<readonly OpenStream[]> {
    const opened: OpenStream[] = [];
    for (let index = 0; index < count; index += 1) {
      const id = this.nextId();
      const headers = { ...SHORT_REQUEST.headers, 'X-Attempt-Id': id };
      const sent = this.fixture.open({ ...SHORT_REQUEST, port, headers });
      sent.on('error', () => undefined);
      sent.once('response', (response: IncomingMessage) => {
        let body = '';
        response.on('error', () => undefined);
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString();
          if (eventsIn(body) === EVENTS_BEFORE_BREAK) opened.push({ id, sent, body });
        });
      });
    }
    await this.timers.advanceUntil(() => opened.length === count);
    return opened;
  }

  /** The callers' requests that a server received. */
  requestsAt(id: string) {
    const seen = this.servers.get(id)?.seen ?? [];
    return seen.filter(({ url }) => /^\/(check|read|tiles)\//.test(url));
  }

  stop(): void {
    this.fixture.stop();
  }
}

/** An engine whose events name its software version. */
function versionedEngine(version: string, beginning: Beginning): Script {
  return (served) => {
    const { seen, response } = served;
    const isStream = seen.headers['x-stage'] !== 'prefill' && seen.method !== 'DELETE';
    if (!isStream) return engine(WHOLE_STREAM)(served);
    const lastEventId = seen.headers['last-event-id'];
    if (beginning === 'rejects resumptions' && lastEventId !== undefined)
      return rejectingAsNotExecuted(served);
    response.writeHead(200, { ...stamped(seen), 'Content-Type': 'text/event-stream' });
    const isWhole = lastEventId !== undefined || beginning === 'whole';
    const last = isWhole ? WHOLE_STREAM : EVENTS_BEFORE_BREAK;
    for (let id = Number(lastEventId ?? 0) + 1; id <= last; id += 1) {
      response.write(`id: ${id}\ndata: ${version}\n\n`);
    }
    if (isWhole) response.end();
    else if (beginning !== 'stays open') response.write('id: 99\nda', () => response.destroy());
  };
}

/** The software versions whose events a body holds. */
export function versionsIn(body: string): readonly string[] {
  return [...new Set([...body.matchAll(/^data: (.*)$/gm)].map(([, version = '']) => version))];
}

export function eventsIn(body: string): number {
  return [...body.matchAll(/^data: /gm)].length;
}

function lastEventIdIn(body: string): string {
  return [...body.matchAll(/^id: (.*)$/gm)].at(-1)?.[1] ?? '';
}
