/** Guards against notices of departures that take out a server that is there. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import {
  type Departure,
  type DepartureNotice,
  Departures,
  type RowsOrigin,
  ServerDirectory,
  type ServerRecord,
} from '../../src/core/gateway/index.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { SERVER } from './support/server-record.js';

const DRAIN_MS = 2_000;
const NOW_MS = 10_000;
let directory: ServerDirectory;
let departures: Departures;
let nowMs: number;

beforeEach(() => {
  directory = new ServerDirectory();
  nowMs = NOW_MS;
  departures = new Departures(directory, DRAIN_MS, () => nowMs);
  directory.apply([SERVER], []);
});

const at = (revision: number) => ({ era: 0, revision });

function noticeOf(state: 'draining' | 'gone', revision: number): DepartureNotice {
  return { server: SERVER, state, ...at(revision), changedAfterMs: NOW_MS - 100 };
}

function originAt(revision: number): RowsOrigin {
  return { source: 'store', ...at(revision), changedAfterMs: NOW_MS };
}

function readRows(records: readonly ServerRecord[], revision: number): readonly Departure[] {
  return departures.recordChange(directory.apply(records, []), originAt(revision));
}

test('a notice that is ahead of the list takes a server out for new work, and not for streams that have begun', () => {
  assert.ok(departures.applyNotice(noticeOf('draining', 7), at(6)));
  assert.equal(departures.refusalOf(SERVER, false)?.kind, 'draining');
  assert.equal(departures.refusalOf(SERVER, true), undefined);
  assert.deepEqual(departures.resumable(), [SERVER]);
});

test('a notice that says a server is gone takes it out for all requests', () => {
  departures.applyNotice(noticeOf('draining', 7), at(6));
  departures.applyNotice(noticeOf('gone', 8), at(6));
  assert.equal(departures.refusalOf(SERVER, true)?.kind, 'gone');
});

test('a notice that the list has overtaken changes nothing', () => {
  assert.equal(departures.applyNotice(noticeOf('gone', 7), at(7)), undefined);
  assert.equal(departures.refusalOf(SERVER, false), undefined);
});

test('a notice of another boot changes nothing', () => {
  const notice = { ...noticeOf('gone', 7), server: { ...SERVER, bornMs: 0 } };
  assert.equal(departures.applyNotice(notice, at(6)), undefined);
  assert.equal(departures.refusalOf(SERVER, false), undefined);
});

test('a notice no longer counts for a server that came back, once the list has been read that far and the server has confirmed', () => {
  departures.applyNotice(noticeOf('gone', 7), at(6));
  readRows([{ ...SERVER, id: 'other' }], 6);
  assert.equal(departures.refusalOf(SERVER, false)?.kind, 'gone');
  const [unconfirmed] = readRows([SERVER], 8);
  assert.equal(unconfirmed?.state, 'unconfirmed');
  assert.equal(departures.refusalOf(SERVER, false)?.kind, 'unconfirmed');
  assert.equal(departures.confirm(SERVER), true);
  assert.equal(departures.refusalOf(SERVER, false), undefined);
});

const GONE_BEFORE = {
  gone: () => departures.recordChange(directory.apply([], [SERVER.id]), originAt(7)),
  draining: () => readRows([{ ...SERVER, state: 'draining' }], 7),
};

for (const [state, depart] of Object.entries(GONE_BEFORE)) {
  test(`a server that is listed as ready after it was ${state} takes no requests until it confirms, and is known once`, () => {
    depart();
    assert.deepEqual(
      readRows([SERVER], 8).map((departure) => departure.state),
      ['unconfirmed'],
    );
    assert.equal(departures.refusalOf(SERVER, false)?.kind, 'unconfirmed');
    assert.equal(departures.refusalOf(SERVER, true)?.kind, 'unconfirmed');
    assert.deepEqual(readRows([{ ...SERVER, stage: 'prefill' }], 9), []);
    assert.equal(departures.confirm({ ...SERVER, bornMs: 2 }), false);
    assert.equal(departures.confirm(SERVER), true);
    assert.equal(departures.refusalOf(SERVER, false), undefined);
  });

  test(`another boot under the id of a server that was ${state} takes requests at once`, () => {
    depart();
    const restarted = { ...SERVER, bornMs: 2 };
    assert.deepEqual(readRows([restarted], 8), []);
    assert.equal(departures.refusalOf(restarted, false), undefined);
  });
}

test('a server that is listed again and departs again is known to depart, and its drain time runs from the first departure', () => {
  GONE_BEFORE.gone();
  readRows([SERVER], 8);
  const [departure] = readRows([{ ...SERVER, state: 'draining' }], 9);
  assert.equal(departure?.state, 'draining');
  nowMs = NOW_MS + DRAIN_MS;
  assert.deepEqual(departures.resumable(), []);
});

test('a notice still counts where the list shows an earlier change of its server', () => {
  departures.applyNotice(noticeOf('draining', 9), at(6));
  readRows([{ ...SERVER, stage: 'prefill' }], 8);
  assert.equal(departures.refusalOf(SERVER, false)?.kind, 'draining');
});

test('a notice no longer counts for another boot of its server', () => {
  departures.applyNotice(noticeOf('gone', 9), at(6));
  const restarted = { ...SERVER, bornMs: 2 };
  readRows([restarted], 8);
  assert.equal(departures.refusalOf(restarted, false), undefined);
});

test('a notice that the list never catches up with is ignored after a while', () => {
  departures.applyNotice(noticeOf('gone', 7), at(6));
  nowMs = NOW_MS + 60_000;
  assert.equal(departures.refusalOf(SERVER, false), undefined);
});

test('a notice of an era before changes nothing', () => {
  const followed = { era: 1, revision: 3 };
  assert.equal(departures.applyNotice(noticeOf('gone', 7), followed), undefined);
});

test('the time to resume streams runs from the first row that showed the departure', () => {
  departures.applyNotice(noticeOf('draining', 7), at(6));
  departures.recordChange(directory.apply([{ ...SERVER, state: 'draining' }], []), originAt(7));
  nowMs = NOW_MS + DRAIN_MS / 2 - 101;
  assert.equal(departures.resumable().length, 1);
  nowMs = NOW_MS + DRAIN_MS / 2 - 99;
  assert.equal(departures.resumable().length, 0);
});

test('a server that was used without a row and has written it again does not depart', () => {
  departures.recordKept([SERVER], originAt(7));
  assert.equal(departures.of(SERVER.id)?.state, 'kept');
  departures.recordRewritten(SERVER.id);
  assert.equal(departures.of(SERVER.id), undefined);
});

test('a message on departures is read as it was sent', () => {
  const { id, service, address, bornMs, softwareVersion } = SERVER;
  const named = { id, service, address, bornMs, softwareVersion };
  const plain = { ...named, bornMs: undefined, softwareVersion: undefined };
  const message = {
    kind: 'departures',
    ...at(7),
    departures: [
      { server: named, state: 'gone', changedWithinMs: 120 },
      { server: plain, state: 'draining', changedWithinMs: undefined },
    ],
  } as const;
  assert.deepEqual(decodePeerMessage(encodePeerMessage(message)), message);
});
