/** A stand-in of the platform's store: rows, conditional transactions and held feeds, as the pages describe them. */
import http from 'node:http';

const PAGE_ROWS = 500;

/** The store of one run, sound unless a case asks for one of the disruptions that the pages name. */
export class Store {
  #rows = new Map();
  #version = 1;
  #feeds = new Set();
  #server = http.createServer((request, response) => this.#serve(request, response));
  /** The time that each answer takes. */
  answerMs = 4;
  /** Called with each transaction before it is carried out; may return 'late' or 'lost'. */
  onTransaction = () => undefined;

  async open() {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return this.#server.address().port;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row on behalf of the operator or a server. */
  put(table, key, document) {
    this.#write({ table, part: '', privateKey: key }, encode(document));
    this.#answerFeeds();
  }

  remove(table, key) {
    this.#write({ table, part: '', privateKey: key }, undefined);
    this.#answerFeeds();
  }

  #write({ table, part = '', privateKey }, value) {
    this.#version += 1;
    this.#set({ table, part, privateKey, value, ver: this.#version });
  }

  #set(row) {
    this.#rows.set(keyOf(row), row);
  }

  #serve(request, response) {
    const chunks = [];
    response.on('error', () => response.destroy());
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () =>
      setTimeout(() => this.#answerCall(request, Buffer.concat(chunks), response), this.answerMs),
    );
  }

  #answerCall(request, body, response) {
    const url = new URL(request.url, 'http://store');
    switch (url.pathname) {
      case '/rows-get':
        return this.#get(url.searchParams, response);
      case '/rows-feed':
        return this.#feed(url.searchParams, response);
      case '/rows-tx':
        return this.#transact(JSON.parse(body.toString('utf8')), response);
      default:
        response.writeHead(404).end();
    }
  }

  #get(query, response) {
    const source = query.get('source') ?? '';
    const end = query.get('targetVersion');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .filter((row) => row.value !== undefined && row.privateKey >= source)
      .filter((row) => end === null || row.privateKey < end)
      .sort((left, right) => (left.privateKey < right.privateKey ? -1 : 1));
    this.#answer(response, 200, rows.slice(0, limit), rows.length > limit);
  }

  #feed(query, response) {
    const feed = { table: query.get('table'), after: Number(query.get('after')), response };
    const timer = setTimeout(
      () => {
        if (this.#feeds.delete(feed)) this.#answer(response, 200, [], false);
      },
      Number(query.get('waitMs')),
    );
    this.#feeds.add(feed);
    response.once('close', () => {
      clearTimeout(timer);
      this.#feeds.delete(feed);
    });
    this.#answerFeeds();
  }

  #answerFeeds() {
    for (const feed of [...this.#feeds]) {
      const rows = [...this.#rows.values()]
        .filter(({ table, ver }) => table === feed.table && ver > feed.after)
        .sort((left, right) => left.ver - right.ver);
      if (rows.length === 0) continue;
      this.#feeds.delete(feed);
      this.#answer(feed.response, 200, rows, false);
    }
  }

  #transact(transaction, response) {
    const fate = this.onTransaction(transaction);
    const conflicting = this.#apply(transaction);
    if (fate === 'lost') response.destroy();
    else if (conflicting !== undefined) this.#answer(response, 412, conflicting, false);
    else this.#answer(response, 200, [], false);
  }

  #apply({ expectedRevision = [], put = [], remove = [] }) {
    const holds = expectedRevision.every((entry) => {
      const row = this.#rows.get(keyOf(entry));
      return (row?.value === undefined ? 0 : row.ver) === entry.ver;
    });
    if (!holds) return expectedRevision.flatMap((entry) => this.#rows.get(keyOf(entry)) ?? []);
    this.#version += 1;
    const ver = this.#version;
    for (const entry of put) this.#set({ ...entry, part: entry.part ?? '', ver });
    for (const entry of remove)
      this.#set({ ...entry, part: entry.part ?? '', ver, value: undefined });
    this.#answerFeeds();
    return undefined;
  }

  #answer(response, status, rows, more) {
    const shown = rows.map((row) => (row.value === undefined ? { ...row, gone: true } : row));
    const now_ms = Math.round(performance.now());
    const body = JSON.stringify({ rows: shown, more, ver: this.#version, now_ms });
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(body);
  }
}

function keyOf({ table, part = '', privateKey }) {
  return `${table}/${part}/${privateKey}`;
}

function encode(document) {
  return Buffer.from(JSON.stringify(document)).toString('base64');
}
