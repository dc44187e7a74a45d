/** Datagrams that no daemon sends: each is passed over, and the next one is read. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';

const DATAGRAM_BYTES = 65_000;
/** The head of a stage notice, whose next field is odd. */
const STAGE_HEAD = [0x94, 4];

const ODD_DATAGRAMS: Readonly<Record<string, Buffer>> = {
  'arrays within arrays': Buffer.alloc(DATAGRAM_BYTES, 0x91),
  'maps within maps': Buffer.from('\x81\xa1a'.repeat(DATAGRAM_BYTES / 3), 'latin1'),
  'deep arrays in a field': Buffer.from([...STAGE_HEAD, ...Buffer.alloc(DATAGRAM_BYTES, 0x91)]),
  'an array of 4 billion items': Buffer.from([0xdd, 0xff, 0xff, 0xff, 0xff, 1]),
  'a map of 4 billion items': Buffer.from([0xdf, 0xff, 0xff, 0xff, 0xff, 1]),
  'a text of 4 GB': Buffer.from([0xdb, 0xff, 0xff, 0xff, 0xff, 1]),
  'bytes of 4 GB': Buffer.from([0xc6, 0xff, 0xff, 0xff, 0xff, 1]),
  'an extension of 4 GB': Buffer.from([0xc9, 0xff, 0xff, 0xff, 0xff, 1]),
  'a record definition': Buffer.from([...STAGE_HEAD, 0xd4, 0x72, 0x40, 0x91, 0xa1, 0x61, 1]),
  'a whole number of 64 bits': Buffer.from([...STAGE_HEAD, 0xcf, ...Buffer.alloc(8, 0xff)]),
  'not a number': Buffer.from([...STAGE_HEAD, 0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0]),
  'an unused code': Buffer.from([0xc1]),
  nothing: Buffer.alloc(0),
};

for (const [shape, bytes] of Object.entries(ODD_DATAGRAMS)) {
  test(`a datagram of ${shape} is passed over`, () => {
    const notice = { engineId: 'e', stage: 'decode', phase: 'changed' } as const;
    assert.equal(decodePeerMessage(bytes), undefined);
    const next = decodePeerMessage(encodePeerMessage({ kind: 'stage', notice }));
    assert.deepEqual(next, { kind: 'stage', notice });
  });
}
