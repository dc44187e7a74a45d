/** The wire form of messages on limits. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack, unpack } from 'msgpackr';
import type {
  LimitMessage,
  PermitRequestMessage,
} from '../../src/shell/gateway/limit-message-fields.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';

const LIMIT = { perSecond: 1.2, reportedAgoMs: 30 };
const REQUEST: PermitRequestMessage = {
  kind: 'limit-ask',
  daemon: 'front-1',
  number: 7,
  serverId: 'i-1',
  limit: LIMIT,
  knownForMs: 400,
  wanted: 2,
  returned: 1,
  unmetered: [
    { ageMs: 250, count: 3 },
    { ageMs: 4_250, count: 12 },
  ],
};
const MESSAGES: readonly LimitMessage[] = [
  REQUEST,
  { ...REQUEST, limit: undefined, unmetered: [] },
  { ...REQUEST, limit: { ...LIMIT, perSecond: undefined } },
  {
    kind: 'limit-grant',
    daemon: 'front-2',
    number: 7,
    serverId: 'i-1',
    limit: LIMIT,
    granted: 1,
    roomInMs: 800,
    requesters: 9,
  },
  { kind: 'limit-told', daemon: 'front-2', serverId: 'i-1', limit: LIMIT },
];

test('messages on limits are decoded as they were encoded', () => {
  for (const message of MESSAGES) {
    assert.deepEqual(decodePeerMessage(encodePeerMessage(message)), message);
  }
});

test('a permit request with a full window of sends fits in one packet', () => {
  const unmetered = Array.from({ length: 19 }, (_, place) => ({ ageMs: 250 * place, count: 999 }));
  assert.ok(encodePeerMessage({ ...REQUEST, unmetered }).length <= 300);
});

test('a message with an invalid number is rejected', () => {
  const fields = unpack(encodePeerMessage(REQUEST)) as unknown[];
  for (const place of [2, 5, 6, 7]) {
    for (const wrong of [-1, Number.NaN, Number.POSITIVE_INFINITY, '2', null]) {
      const invalid = fields.map((field, at) => (at === place ? wrong : field));
      assert.equal(decodePeerMessage(pack(invalid)), undefined, `${place}: ${wrong}`);
    }
  }
  for (const limit of [[-1, 0], ['2', 0], [2], [2, -5], 3]) {
    const invalid = fields.map((field, at) => (at === 4 ? limit : field));
    assert.equal(decodePeerMessage(pack(invalid)), undefined, JSON.stringify(limit));
  }
});
