/** Feeds spoiled messages to every decoder of bytes of others: none may throw, and what one accepts can be sent on. */

import { validateHeaderValue } from 'node:http';
import { createPlatformAdapter } from '../platform/index.js';
import { ANSWER_READING } from '../src/shell/bytes/index.js';
import { EventSplitter } from '../src/shell/gateway/event-splitter.js';
import { decodeAvailability } from '../src/shell/gateway/forwarded-availability.js';
import { decodeForwarding } from '../src/shell/gateway/forwarding-headers.js';
import type { WatchedTable } from '../src/shell/gateway/index.js';
import { decodePeerMessage, encodePeerMessage } from '../src/shell/gateway/peer-messages.js';
import { usableRow } from '../src/shell/gateway/usable-row.js';
import { configuration, READ_ROUTE, route } from '../test/gateway/support/fixture.js';
import { pick, type Random, spoil } from './spoil.js';

const { requests, servers, configurations } = createPlatformAdapter(ANSWER_READING, {
  host: '127.0.0.1',
  port: 9,
});

const SERVER_ROW = {
  service: 'reader',
  address: '127.0.0.1:9',
  zone: 'a',
  slots: 6,
  state: 'ready',
  stage: 'decode',
  version: '1.2',
  sequence: 1,
};

/** A decoder with a sound message for it; `decode` throws where something it accepted could not be sent on. */
interface Target {
  readonly name: string;
  readonly message: Buffer;
  readonly decode: (message: Buffer) => void;
}

function json(document: unknown): Buffer {
  return Buffer.from(JSON.stringify(document));
}

function decodeRow<Value>(table: WatchedTable<Value>, message: Buffer): Value | undefined {
  const row = table.decode('i-1', message);
  return row.kind === 'value' ? row.value : undefined;
}

/** Reads all that the codec reads of an answer's headers, of which any value may be any text that node:http parses. */
function readHeaders(message: Buffer): void {
  const text = message.toString('latin1');
  const names = ['x-attempt-id', 'x-server-load', 'server-leaving', 'server-limit', 'retry-after'];
  const headers = Object.fromEntries(names.map((name) => [name, text]));
  for (const status of [200, 421, 503]) {
    requests.readAnswerMetadata(status, headers);
    requests.readAvailability(status, headers);
    requests.readLimit(status, headers);
    requests.readHealth(status, headers, 'i-1');
  }
  requests.describe({ ...headers, 'x-token-count': text, 'x-prompt-prefix': text });
  decodeAvailability({ 'threadfork-forward-availability': text });
  decodeForwarding({ 'threadfork-forward-token': text }, 'token');
}

const TARGETS: readonly Target[] = [
  {
    name: 'answer to a prefill',
    message: json({ kvHandle: '3fa09c41b7d5', tokens: 1_460, version: 1 }),
    decode: (message) => requests.readPrefillAnswer(message),
  },
  {
    name: 'cache events',
    message: json({ epoch: 'e1', nextToken: 4, lost: 0, events: [[3, '+', '', 'aa', 800, 'm']] }),
    decode: (message) => requests.readCacheEvents(message),
  },
  {
    name: 'report',
    message: json({ stage: 'decode', models: [], busy: false, sequence: 2, born: 5 }),
    decode: (message) => requests.readReport(message),
  },
  { name: 'headers of an answer', message: Buffer.from('3, 1, 48, 100'), decode: readHeaders },
  {
    name: 'row of a server',
    message: json(SERVER_ROW),
    decode: (message) => {
      const row = usableRow(servers.decode('i-1', message));
      if (row.kind === 'value') validateHeaderValue('Host', row.value.address);
    },
  },
  {
    name: 'configuration',
    message: json(configuration(1, [route({}), READ_ROUTE], [{ name: 'a', apiKeys: ['k'] }])),
    decode: (message) => decodeRow(configurations, message),
  },
  {
    name: 'message of another daemon',
    message: encodePeerMessage({
      kind: 'servers',
      zone: 'a',
      changes: { era: 0, after: 1, revision: 2, rows: [servers.decode('i-1', json(SERVER_ROW))] },
    }),
    decode: (message) => {
      const decoded = decodePeerMessage(message);
      if (decoded?.kind !== 'servers') return;
      for (const row of decoded.changes.rows.map(usableRow)) {
        if (row.kind !== 'value') continue;
        validateHeaderValue('Host', row.value.address);
        validateHeaderValue('X-Expect-Instance', row.value.id);
      }
    },
  },
  {
    name: 'events of a stream',
    message: Buffer.from('id: 12\ndata: piece 12\n\nid: 13\ndata: piece 13\n\n'),
    decode: (message) => {
      const splitter = new EventSplitter();
      splitter.push(message);
      const { lastEventId } = splitter;
      if (lastEventId !== undefined) validateHeaderValue('Last-Event-Id', lastEventId);
    },
  },
];

/** A message that a decoder did not bear. */
export interface DecoderFailure {
  readonly target: string;
  /** In base64. */
  readonly message: string;
  readonly problem: string;
}

/** Decodes a number of spoiled messages. @returns the first failure */
export function runDecoderCampaign(random: Random, messages: number): DecoderFailure | undefined {
  for (let sent = 0; sent < messages; sent += 1) {
    const target = pick(random, TARGETS);
    const message = spoil(random, target.message);
    try {
      target.decode(message);
    } catch (error) {
      return { target: target.name, message: message.toString('base64'), problem: String(error) };
    }
  }
  return undefined;
}
