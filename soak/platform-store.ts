/**
 * Simulates the platform's store: rows, conditional transactions and long-polling feeds over HTTP. Each daemon has its own
 * endpoint, so that some daemons can be refused while others are served.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { PATHS, STORE_HEADERS, TABLES } from '../platform/names.js';
import { closeListener, openListener } from '../src/lab/common/listener.js';
import type { StoreRefusal } from './plan.js';
import { readBody } from './request-body.js';

/** Response time without faults. */
const ANSWER_MS = 3;
const LATE_WRITE_MS = 2_500;
const PAGE_ROWS = 500;
/** The keys of the daemons' own rows. */
const PEER_PREFIX = 'peer/';

interface Row {
  readonly table: string;
  readonly privateKey: string;
  /** Undefined if the row was removed. */
  readonly value: string | undefined;
  readonly ver: number;
}

interface TransactionEntry {
  readonly table: string;
  readonly privateKey: string;
  readonly value?: string;
  readonly ver?: number;
}

interface Transaction {
  readonly expectedRevision: readonly TransactionEntry[];
  readonly put: readonly TransactionEntry[];
  readonly remove: readonly TransactionEntry[];
}

interface HeldFeed {
  readonly endpoint: StoreEndpoint;
  readonly table: string;
  readonly after: number;
  readonly response: ServerResponse;
}

/** Faults of the whole store, for all daemons. Whoever sets a fault also resets it. */
export interface StoreFaults {
  delayMs: number;
  lostAnswers: number;
  lateWrites: number;
  /** Whether open feed calls receive no changes. */
  withholdsChanges: boolean;
  /** How table reads are stale; undefined if they show the current rows. */
  stale: StaleReads | undefined;
  /** Answers each call in place of the store; undefined if the store answers. */
  spoil: ((response: ServerResponse) => void) | undefined;
}

/** How table reads are stale. */
export interface StaleReads {
  readonly behindMs: number;
  /** Whether a stale read reports the newest revision instead of the revision of the rows that it shows. */
  readonly isUnderNewest: boolean;
}

/** The endpoint at which one daemon reaches the store. */
export class StoreEndpoint {
  refusal: StoreRefusal | undefined;
  /** Where this daemon reaches a server; by default at the address of its entry. */
  addressOf: (address: string) => string = (address) => address;
  readonly #server: http.Server;

  constructor(
    serve: (endpoint: StoreEndpoint, request: IncomingMessage, response: ServerResponse) => void,
  ) {
    this.#server = http.createServer((request, response) => serve(this, request, response));
    this.#server.keepAliveTimeout = 60_000;
  }

  async open(): Promise<number> {
    const { port } = await openListener(this.#server, { address: '127.0.0.1', port: 0 });
    return port;
  }

  close(): void {
    void closeListener(this.#server);
  }
}

export class PlatformStore {
  readonly faults: StoreFaults = {
    delayMs: 0,
    lostAnswers: 0,
    lateWrites: 0,
    withholdsChanges: false,
    stale: undefined,
    spoil: undefined,
  };
  /** The port at which daemons send datagrams to one another; undefined for the one that each names itself. */
  peerPort: number | undefined;
  /** How all daemons are refused; undefined if they are served. */
  refusal: StoreRefusal | undefined;
  callsTotal = 0;
  /** Increases each time that the store is restored from an older copy. */
  #era = 0;
  #version = 1;
  #historyFrom = 0;
  #rows = new Map<string, Row>();
  /** All writes, in order. */
  #written: { readonly atMs: number; readonly row: Row }[] = [];
  readonly #feeds = new Set<HeldFeed>();
  readonly #endpoints: StoreEndpoint[] = [];
  readonly #endpointOf = new WeakMap<ServerResponse, StoreEndpoint>();
  readonly #random: () => number;

  /** @param random returns a number from 0 to below 1; decides which calls a fault affects */
  constructor(random: () => number) {
    this.#random = random;
  }

  createEndpoint(): StoreEndpoint {
    const endpoint = new StoreEndpoint((from, request, response) => {
      response.on('error', () => response.destroy());
      this.#endpointOf.set(response, from);
      void this.#serve(from, request, response);
    });
    this.#endpoints.push(endpoint);
    return endpoint;
  }

  close(): void {
    for (const endpoint of this.#endpoints) endpoint.close();
  }

  /** Writes a row on behalf of the operator or a server; never refused. */
  put(table: string, key: string, document: unknown): void {
    this.#write(table, key, Buffer.from(JSON.stringify(document)).toString('base64'));
    this.#answerFeeds();
  }

  remove(table: string, key: string): void {
    this.#write(table, key, undefined);
    this.#answerFeeds();
  }

  /** Advances the version, as writes to other tables do. */
  skipVersions(count: number): void {
    this.#version += count;
  }

  /** Drops the history of changes, so that daemons have to read the tables again and open new feeds. */
  dropHistory(): void {
    this.#historyFrom = this.#version + 1;
    for (const { response } of this.#feeds) this.#answerHistoryLost(response);
    this.#feeds.clear();
  }

  /**
   * Restores the store from an older copy: later writes are lost, and their versions are assigned again.
   * @param keepsHeldCalls whether open feed calls stay open instead of being closed
   */
  restore(behindMs: number, keepsHeldCalls: boolean): void {
    const asOfMs = performance.now() - behindMs;
    this.#written = this.#written.filter(({ atMs }) => atMs <= asOfMs);
    this.#rows = rowsOf(this.#written.map(({ row }) => row));
    this.#version = this.#written.at(-1)?.row.ver ?? 1;
    this.#historyFrom = Math.min(this.#historyFrom, this.#version);
    this.#era += 1;
    if (keepsHeldCalls) return;
    for (const { response } of this.#feeds) response.destroy();
    this.#feeds.clear();
  }

  #write(table: string, key: string, value: string | undefined): void {
    this.#version += 1;
    this.#set({ table, privateKey: key, value, ver: this.#version });
  }

  #set(row: Row): void {
    this.#rows.set(`${row.table}/${row.privateKey}`, row);
    this.#written.push({ atMs: performance.now(), row });
  }

  async #serve(
    endpoint: StoreEndpoint,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (body === undefined) return;
    this.callsTotal += 1;
    const refusal = this.refusal ?? endpoint.refusal;
    response.setHeader(STORE_HEADERS.era, String(this.#era));
    if (refusal !== undefined) return refuse(refusal, response);
    if (this.faults.spoil !== undefined) return this.faults.spoil(response);
    const url = new URL(request.url ?? '/', 'http://store');
    setTimeout(
      () => this.#answerCall(endpoint, url, body, response),
      ANSWER_MS + this.faults.delayMs,
    );
  }

  #answerCall(endpoint: StoreEndpoint, url: URL, body: string, response: ServerResponse): void {
    switch (url.pathname) {
      case PATHS.rowsGet:
        this.#get(url, response);
        return;
      case PATHS.rowsFeed:
        this.#feed(endpoint, url, response);
        return;
      case PATHS.rowsTx:
        this.#transact(JSON.parse(body), response);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  #get(url: URL, response: ServerResponse): void {
    const source = url.searchParams.get('source') ?? '';
    const end = url.searchParams.get('targetVersion');
    const table = url.searchParams.get('table') ?? '';
    const { rows: shown, version } = this.#shownRows(table);
    const rows = shown
      .filter((row) => row.table === table && row.value !== undefined)
      .filter((row) => row.privateKey >= source && (end === null || row.privateKey < end))
      .sort((left, right) => (left.privateKey < right.privateKey ? -1 : 1));
    this.#answer(response, 200, rows.slice(0, PAGE_ROWS), rows.length > PAGE_ROWS, version);
  }

  /** The rows that a table read shows, and the revision that it reports. */
  #shownRows(table: string): { readonly rows: readonly Row[]; readonly version: number } {
    const { stale } = this.faults;
    if (stale === undefined || table === TABLES.product) {
      return { rows: [...this.#rows.values()], version: this.#version };
    }
    const asOfMs = performance.now() - stale.behindMs;
    const known = this.#written.filter(({ atMs }) => atMs <= asOfMs);
    const rows = rowsOf(known.map(({ row }) => row));
    const shownVersion = known.at(-1)?.row.ver ?? 0;
    return {
      rows: [...rows.values()],
      version: stale.isUnderNewest ? this.#version : shownVersion,
    };
  }

  #feed(endpoint: StoreEndpoint, url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after'));
    if (after < this.#historyFrom || after > this.#version) {
      this.#answerHistoryLost(response);
      return;
    }
    const feed = { endpoint, table: url.searchParams.get('table') ?? '', after, response };
    this.#feeds.add(feed);
    const timer = setTimeout(
      () => {
        if (this.#feeds.delete(feed) && !this.#isSilent(endpoint)) {
          this.#answer(response, 200, [], false);
        }
      },
      Number(url.searchParams.get('waitMs')),
    );
    response.once('close', () => {
      clearTimeout(timer);
      this.#feeds.delete(feed);
    });
    this.#answerFeeds();
  }

  #answerHistoryLost(response: ServerResponse): void {
    response.setHeader(STORE_HEADERS.era, String(this.#era));
    response.writeHead(410).end();
  }

  #answerFeeds(): void {
    if (this.faults.withholdsChanges) return;
    for (const feed of this.#feeds) {
      const rows = [...this.#rows.values()]
        .filter((row) => row.table === feed.table && row.ver > feed.after)
        .sort((left, right) => left.ver - right.ver);
      if (rows.length === 0) continue;
      this.#feeds.delete(feed);
      // While an endpoint is silent, open feed calls get no response, like new calls.
      if (this.#isSilent(feed.endpoint)) continue;
      this.#answer(feed.response, 200, rows, false);
    }
  }

  #isSilent(endpoint: StoreEndpoint): boolean {
    return (this.refusal ?? endpoint.refusal) === 'silent';
  }

  #transact(transaction: Transaction, response: ServerResponse): void {
    const isOwnTable = [...transaction.put, ...transaction.remove].every(
      ({ table }) => table === TABLES.product,
    );
    if (!isOwnTable) {
      response.writeHead(403).end();
      return;
    }
    if (this.#random() < this.faults.lateWrites) {
      setTimeout(() => this.#apply(transaction), LATE_WRITE_MS);
      response.destroy();
      return;
    }
    const conflicting = this.#apply(transaction);
    if (conflicting !== undefined) this.#answer(response, 412, conflicting, false);
    else if (this.#random() < this.faults.lostAnswers) response.destroy();
    else this.#answer(response, 200, [], false);
  }

  /** Applies a transaction. If a condition does not hold, changes nothing and returns the current rows. */
  #apply({ expectedRevision, put, remove }: Transaction): readonly Row[] | undefined {
    const rowOf = ({ table, privateKey }: TransactionEntry) =>
      this.#rows.get(`${table}/${privateKey}`);
    const versionOf = (entry: TransactionEntry) => {
      const row = rowOf(entry);
      return row?.value === undefined ? 0 : row.ver;
    };
    if (!expectedRevision.every((entry) => versionOf(entry) === entry.ver)) {
      return expectedRevision.flatMap((entry) => rowOf(entry) ?? []);
    }
    this.#version += 1;
    const ver = this.#version;
    for (const { table, privateKey, value } of put) {
      this.#set({ table, privateKey, value, ver });
    }
    for (const { table, privateKey } of remove) {
      this.#set({ table, privateKey, value: undefined, ver });
    }
    this.#answerFeeds();
    return undefined;
  }

  #answer(
    response: ServerResponse,
    status: number,
    rows: readonly Row[],
    more: boolean,
    ver = this.#version,
  ): void {
    const endpoint = this.#endpointOf.get(response);
    const shown = rows.map((row) =>
      row.value === undefined
        ? { ...row, gone: true }
        : shownAt(endpoint, withPeerPort(row, this.peerPort), row.value),
    );
    const now = Math.round(performance.now());
    const body = JSON.stringify({ rows: shown, more, ver, now_ms: now });
    response.setHeader(STORE_HEADERS.era, String(this.#era));
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(body);
  }
}

/** A row as the daemon of an endpoint sees it: a server has the address at which that daemon reaches it. */
function shownAt(endpoint: StoreEndpoint | undefined, row: Row, value: string): Row {
  if (endpoint === undefined || row.table !== TABLES.servers) return row;
  const document: unknown = JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
  const address = Reflect.get(Object(document), 'address');
  if (typeof address !== 'string') return row;
  const linked = JSON.stringify({ ...Object(document), address: endpoint.addressOf(address) });
  return { ...row, value: Buffer.from(linked).toString('base64') };
}

/** A row as daemons see it: one of a daemon names the port of the link to it. */
function withPeerPort(row: Row, peerPort: number | undefined): Row {
  const isPeer = row.table === TABLES.product && row.privateKey.startsWith(PEER_PREFIX);
  if (peerPort === undefined || !isPeer || row.value === undefined) return row;
  const document: unknown = JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
  const linked = JSON.stringify({ ...Object(document), port: peerPort });
  return { ...row, value: Buffer.from(linked).toString('base64') };
}

/** The newest row of each key. */
function rowsOf(written: readonly Row[]): Map<string, Row> {
  return new Map(written.map((row) => [`${row.table}/${row.privateKey}`, row]));
}

function refuse(refusal: StoreRefusal, response: ServerResponse): void {
  switch (refusal) {
    case 'unavailable':
      response.writeHead(503).end();
      return;
    case 'too-many':
      response.writeHead(429).end();
      return;
    case 'reset':
      response.destroy();
      return;
    case 'silent':
      return;
  }
}
