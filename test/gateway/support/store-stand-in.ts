/** A stand-in for the platform's store: rows, transactions, held change feeds, and injected faults. */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { PATHS, TABLES } from '../../../platform/names.js';
import type { CancelTimer, TimerService } from '../../../src/shell/gateway/timer-service.js';

/** The most that one page of a read holds. */
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;

interface Row {
  readonly table: string;
  readonly privateKey: string;
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
  readonly table: string;
  readonly after: number;
  readonly response: ServerResponse;
  readonly cancelTimeout: CancelTimer;
}

/** A fault that is injected into the store. */
export type StoreFault = 'none' | 'refuse' | 'lose-answers';

/** The contents of the store at some moment. */
export interface StoreCopy {
  readonly ver: number;
  readonly rows: ReadonlyMap<string, Row>;
}

/** An address of the store, with a fault of its own. */
export interface StoreEntrance {
  readonly host: string;
  readonly port: number;
  fault: StoreFault;
}

/** A store on loopback. */
export class StoreStandIn {
  /** Applied to every call until it is reset to `none`. */
  fault: StoreFault = 'none';
  /** Feeds from before this version are answered with status 410. */
  historyFrom = 0;
  readonly calls: string[] = [];
  /** Ends held feeds after the time that their callers name; without it they are held until a row changes. */
  timers: TimerService | undefined;
  /** Rises with each restore from a copy. */
  #era = 0;
  #ver = 1;
  #rows = new Map<string, Row>();
  readonly #feeds = new Set<HeldFeed>();
  readonly #servers: http.Server[] = [];

  start(): Promise<StoreEntrance> {
    return this.addEntrance();
  }

  /** Opens one more address, so that the calls of some daemons can be struck alone. */
  async addEntrance(): Promise<StoreEntrance> {
    const entrance = { host: '127.0.0.1', port: 0, fault: 'none' as StoreFault };
    const server = http.createServer(
      (request, response) => void this.#serve(request, response, entrance),
    );
    this.#servers.push(server);
    server.listen(0, entrance.host);
    await once(server, 'listening');
    entrance.port = (server.address() as AddressInfo).port;
    return entrance;
  }

  stop(): void {
    for (const feed of this.#feeds) this.#release(feed);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  putConfiguration(document: unknown): void {
    this.put(TABLES.operator, TABLES.configurationKey, document);
  }

  putServer(id: string, document: unknown): void {
    this.put(TABLES.servers, id, document);
  }

  put(table: string, key: string, document: unknown): void {
    this.putBytes(table, key, Buffer.from(JSON.stringify(document)));
  }

  /** Writes rows whose values need not be JSON, all in one change. */
  putAll(table: string, rows: readonly (readonly [string, Buffer])[]): void {
    for (const [key, value] of rows) this.#write(table, key, value.toString('base64'));
    this.#answerFeeds();
  }

  /** Writes a value that need not be JSON, as another writer may. */
  putBytes(table: string, key: string, value: Buffer): void {
    this.#write(table, key, value.toString('base64'));
    this.#answerFeeds();
  }

  remove(table: string, key: string): void {
    this.#write(table, key, undefined);
    this.#answerFeeds();
  }

  copy(): StoreCopy {
    return { ver: this.#ver, rows: new Map(this.#rows) };
  }

  /** Restores the store from a copy: later writes are lost, and their versions are assigned again. */
  restore({ ver, rows }: StoreCopy): void {
    this.#era += 1;
    this.#ver = ver;
    this.#rows = new Map(rows);
    for (const server of this.#servers) server.closeAllConnections();
    for (const feed of this.#feeds) this.#release(feed);
  }

  /** Ends all held feeds, as a store does that has lost its history. */
  forgetHistory(): void {
    this.historyFrom = this.#ver + 1;
    for (const feed of this.#feeds) {
      this.#release(feed);
      feed.response.writeHead(410).end();
    }
  }

  /** The value of a row; undefined if there is no such row. */
  read(table: string, key: string): unknown {
    const value = this.#rows.get(`${table}/${key}`)?.value;
    return value === undefined
      ? undefined
      : JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
  }

  #write(table: string, key: string, value: string | undefined): void {
    this.#ver += 1;
    this.#rows.set(`${table}/${key}`, { table, privateKey: key, value, ver: this.#ver });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    entrance: StoreEntrance,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.push(url.pathname);
    response.setHeader('Store-Era', String(this.#era));
    if (this.fault === 'refuse' || entrance.fault === 'refuse') {
      response.writeHead(503).end();
      return;
    }
    switch (url.pathname) {
      case PATHS.rowsGet:
        return this.#get(url, response);
      case PATHS.rowsFeed:
        return this.#feed(url, response);
      case PATHS.rowsTx:
        return this.#transact(JSON.parse(Buffer.concat(chunks).toString('utf8')), response);
      default:
        response.writeHead(404).end();
    }
  }

  #get(url: URL, response: ServerResponse): void {
    const { searchParams: query } = url;
    const source = query.get('source') ?? '';
    const end = query.get('targetVersion');
    const rows = this.#rowsOf(query.get('table') ?? '', 0)
      .filter((row) => row.value !== undefined)
      .filter(({ privateKey }) => privateKey >= source && (end === null || privateKey < end))
      .sort((left, right) => (left.privateKey < right.privateKey ? -1 : 1));
    const page = firstPage(rows, Number(query.get('limit') ?? MAX_PAGE_ROWS));
    this.#answer(response, 200, page, page.length < rows.length);
  }

  #feed(url: URL, response: ServerResponse): void {
    const table = url.searchParams.get('table') ?? '';
    const after = Number(url.searchParams.get('after'));
    if (after < this.historyFrom || after > this.#ver) {
      response.writeHead(410).end();
      return;
    }
    const waitMs = Number(url.searchParams.get('waitMs'));
    const end = () => {
      this.#feeds.delete(feed);
      this.#answer(response, 200, []);
    };
    const cancelTimeout = this.timers?.after(waitMs, end) ?? (() => undefined);
    const feed: HeldFeed = { table, after, response, cancelTimeout };
    this.#feeds.add(feed);
    this.#answerFeeds();
  }

  #answerFeeds(): void {
    for (const feed of this.#feeds) {
      const rows = this.#rowsOf(feed.table, feed.after);
      if (rows.length === 0) continue;
      this.#release(feed);
      this.#answer(feed.response, 200, rows);
    }
  }

  #release(feed: HeldFeed): void {
    feed.cancelTimeout();
    this.#feeds.delete(feed);
  }

  #transact(transaction: Transaction, response: ServerResponse): void {
    const current = (entry: TransactionEntry) =>
      this.#rows.get(`${entry.table}/${entry.privateKey}`);
    const holds = transaction.expectedRevision.every(
      (entry) => (current(entry)?.ver ?? 0) === entry.ver,
    );
    if (!holds) {
      const rows = transaction.expectedRevision.flatMap((entry) => current(entry) ?? []);
      this.#answer(response, 412, rows);
      return;
    }
    this.#ver += 1;
    for (const { table, privateKey, value } of transaction.put) {
      this.#rows.set(`${table}/${privateKey}`, { table, privateKey, value, ver: this.#ver });
    }
    if (this.fault === 'lose-answers') {
      response.destroy();
      return;
    }
    this.#answer(response, 200, []);
  }

  #rowsOf(table: string, after: number): Row[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((left, right) => left.ver - right.ver);
  }

  #answer(response: ServerResponse, status: number, rows: readonly Row[], more = false): void {
    const shown = rows.map((row) => (row.value === undefined ? { ...row, gone: true } : row));
    const body = JSON.stringify({ rows: shown, more, ver: this.#ver, now_ms: 0 });
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(body);
  }
}

/** The rows that fit a page; at least one. */
function firstPage(rows: readonly Row[], limit: number): readonly Row[] {
  const page: Row[] = [];
  let bytes = 0;
  for (const row of rows.slice(0, Math.min(limit, MAX_PAGE_ROWS))) {
    bytes += row.privateKey.length + (row.value?.length ?? 0);
    if (page.length > 0 && bytes > MAX_PAGE_BYTES) break;
    page.push(row);
  }
  return page;
}
