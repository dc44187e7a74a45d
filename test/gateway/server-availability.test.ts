/** What servers say of whether they take work: how it is read, for how long it holds, and what ends it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { REQUEST_CODEC } from '../../platform/request-codec.js';
import { ServerAvailability, type ServerRecord } from '../../src/core/gateway/index.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';

const REST = { isLeaving: false, backOffMs: 3_000 };
const LEAVING = { isLeaving: true, backOffMs: undefined };

function serverOf(fields: Partial<ServerRecord> = {}): ServerRecord {
  return {
    id: 'i-1',
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    slots: 4,
    state: 'ready',
    isSpot: false,
    stage: undefined,
    bornMs: 1,
    ...fields,
  };
}

const SERVER = serverOf();

/** Told at a time, with nothing added to a rest. */
function at(nowMs: number, entropy = 0) {
  return { nowMs, entropy };
}

function kindAt(told: ServerAvailability, nowMs: number, server = SERVER): string {
  return told.of(server, nowMs).kind;
}

const READ: readonly (readonly [string, number, Record<string, string>, unknown])[] = [
  ['a leave on a success', 200, { 'server-leaving': '1' }, LEAVING],
  ['a leave on a failure', 500, { 'server-leaving': '1' }, LEAVING],
  ['a leave said twice', 200, { 'server-leaving': '1, 1' }, LEAVING],
  ['a rest', 503, { 'retry-after': '3' }, REST],
  ['a rest in parts of a second', 503, { 'retry-after': '0.25' }, { ...REST, backOffMs: 250 }],
  ['no rest at all', 503, { 'retry-after': '0' }, { ...REST, backOffMs: 0 }],
  [
    'both',
    503,
    { 'server-leaving': '1', 'retry-after': '3' },
    { isLeaving: true, backOffMs: 3_000 },
  ],
];

for (const [name, status, headers, expected] of READ) {
  test(`read: ${name}`, () => {
    const said = REQUEST_CODEC.readAvailability(status, headers);
    assert.deepEqual(said, { ...(expected as object), unreadable: '' });
  });
}

const UNREADABLE: readonly (readonly [string, number, Record<string, string>])[] = [
  ['a leave of 0', 200, { 'server-leaving': '0' }],
  ['an empty leave', 200, { 'server-leaving': '' }],
  ['a leave in letters', 200, { 'server-leaving': 'true' }],
  ['a rest in letters', 503, { 'retry-after': 'soon' }],
  ['a rest below nothing', 503, { 'retry-after': '-3' }],
  ['a date', 503, { 'retry-after': 'Thu, 03 Dec 2026 03:00:00 GMT' }],
  ['an empty rest', 503, { 'retry-after': '' }],
  ['a rest on a success', 200, { 'retry-after': '3' }],
];

for (const [name, status, headers] of UNREADABLE) {
  test(`ignored, and said: ${name}`, () => {
    const said = REQUEST_CODEC.readAvailability(status, headers);
    assert.deepEqual([said?.isLeaving, said?.backOffMs], [false, undefined]);
    assert.notEqual(said?.unreadable, '');
    const told = new ServerAvailability();
    if (said !== undefined) told.recordReport(SERVER, said, at(0));
    assert.equal(kindAt(told, 1), 'open');
  });
}

test('an answer without either, or of a server that is not the one called, says nothing', () => {
  assert.equal(REQUEST_CODEC.readAvailability(200, {}), undefined);
  const headers = { 'server-leaving': '1', 'retry-after': '3' };
  assert.equal(REQUEST_CODEC.readAvailability(421, headers), undefined);
});

test('a rest holds whole, and a shorter one that is asked for meanwhile takes nothing off it', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, REST, at(0));
  told.recordReport(SERVER, { ...REST, backOffMs: 1_000 }, at(100));
  assert.equal(kindAt(told, 2_999), 'resting');
  assert.equal(kindAt(told, 3_000), 'open');
});

test('a rest holds at its address, for the server before and for one that has started again there', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, REST, at(0));
  assert.equal(kindAt(told, 1, serverOf({ id: 'i-0', bornMs: 0 })), 'resting');
  assert.equal(kindAt(told, 1, serverOf({ bornMs: 2 })), 'resting');
  assert.equal(kindAt(told, 1, serverOf({ address: '10.0.0.2:80' })), 'open');
});

test('daemons that were turned away together do not come back together', () => {
  const ends = [0, 0.5, 0.999].map((entropy) => {
    const told = new ServerAvailability();
    told.recordReport(SERVER, REST, at(0, entropy));
    const rest = told.of(SERVER, 0);
    return rest.kind === 'resting' ? rest.forMs : 0;
  });
  assert.equal(new Set(ends).size, 3);
  assert.ok(ends.every((forMs) => forMs >= 3_000 && forMs <= 3_300));
});

test('however long a rest is asked for, the server is tried again within a minute or so', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, { ...REST, backOffMs: 9_999_999_999_000 }, at(0, 1));
  assert.equal(kindAt(told, 59_000), 'resting');
  assert.equal(kindAt(told, 66_000), 'open');
});

test('after a rest one request goes first; the others follow its answer, or when it was taken in', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, REST, at(0));
  told.recordSent(SERVER, 3_010);
  assert.equal(kindAt(told, 3_020), 'resting');
  assert.equal(kindAt(told, 3_260), 'open');
  told.recordAccepted(SERVER, 3_010);
  assert.equal(kindAt(told, 3_021), 'open');
  told.recordReport(SERVER, REST, at(4_000));
  assert.equal(kindAt(told, 6_999), 'resting');
});

test('the answer to what was sent before the rest ended says nothing of it', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, REST, at(0));
  told.recordAccepted(SERVER, -50);
  assert.equal(kindAt(told, 1_000), 'resting');
});

test('a daemon that was frozen through a rest sends one request first', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, REST, at(0));
  assert.equal(kindAt(told, 60_000), 'open');
  told.recordSent(SERVER, 60_000);
  assert.equal(kindAt(told, 60_001), 'resting');
});

test('a leave holds against the list, until another life begins; a false one does not hold for ever', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, LEAVING, at(0));
  assert.equal(kindAt(told, 60_000), 'leaving');
  assert.equal(kindAt(told, 1, serverOf({ bornMs: 2 })), 'open');
  assert.equal(kindAt(told, 1, serverOf({ address: '10.0.0.2:80' })), 'open');
  assert.equal(kindAt(told, 1, serverOf({ service: 'other' })), 'open');
  told.recordReport(SERVER, LEAVING, at(60_000));
  assert.equal(kindAt(told, 179_000), 'leaving');
  assert.equal(kindAt(told, 180_000), 'open');
});

test('a server that leaves and wants rest is left alone in both', () => {
  const told = new ServerAvailability();
  told.recordReport(SERVER, { ...REST, isLeaving: true }, at(0));
  assert.equal(kindAt(told, 1_000), 'leaving');
  assert.equal(told.backOffOf(SERVER, 1_000)?.forMs, 2_000);
  assert.equal(told.backOffOf(SERVER, 3_000), undefined);
});

test('only a leave that was not known is news; each rest is', () => {
  const told = new ServerAvailability();
  const kinds = (word: typeof LEAVING | typeof REST) =>
    told.recordReport(SERVER, word, at(0)).map(({ kind }) => kind);
  assert.deepEqual([kinds(LEAVING), kinds(LEAVING)], [['leaving'], []]);
  assert.deepEqual([kinds(REST), kinds(REST)], [['resting'], ['resting']]);
});

test('a row that comes late, an entry that lapses and comes back, or a whole reading undoes no leave', () => {
  const fleet = new FleetView({ ratio: 1, slack: 1 });
  const list = (servers: readonly ServerRecord[]) =>
    fleet.forgetEndedBoots(fleet.directory.replaceAll(servers));
  const candidates = () =>
    fleet
      .candidates('s', 1_000)
      .map(({ id }) => id)
      .sort();
  const other = serverOf({ id: 'i-2', address: '10.0.0.2:80' });
  list([SERVER, other]);
  fleet.availability.recordReport(SERVER, LEAVING, at(0));
  assert.deepEqual(candidates(), ['i-2']);
  fleet.directory.apply([SERVER], []);
  assert.deepEqual(candidates(), ['i-2']);
  list([other]);
  list([SERVER, other]);
  assert.deepEqual(candidates(), ['i-2']);
  assert.deepEqual(
    fleet.readyOf('s', 1_000).map(({ id }) => id),
    ['i-2'],
  );
  list([serverOf({ bornMs: 2 }), other]);
  assert.deepEqual(candidates(), ['i-1', 'i-2']);
});

test('who is turned away as all rest is told to come when the first one is over', () => {
  const fleet = new FleetView({ ratio: 1, slack: 1 });
  const other = serverOf({ id: 'i-2', address: '10.0.0.2:80' });
  fleet.directory.replaceAll([SERVER, other]);
  fleet.availability.recordReport(SERVER, REST, at(0));
  fleet.availability.recordReport(other, { ...REST, backOffMs: 800 }, at(0));
  assert.deepEqual(fleet.candidates('s', 100), []);
  assert.equal(fleet.capacityExpectedInMs('s', 100), 700);
  assert.deepEqual(fleet.unavailableOf('s', 100), { leaving: 0, resting: 2 });
});
