/** Tests how availability that servers report is read, for how long it holds, and what ends it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { REQUEST_CODEC } from '../../platform/request-codec.js';
import { ServerAvailability, type ServerRecord } from '../../src/core/gateway/index.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';

const BACK_OFF = { isLeaving: false, backOffMs: 3_000 };
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

/** A report at a time, by default without jitter on the back-off. */
function at(nowMs: number, entropy = 0) {
  return { nowMs, entropy };
}

function kindAt(serverAvailability: ServerAvailability, nowMs: number, server = SERVER): string {
  return serverAvailability.of(server, nowMs).kind;
}

const READ: readonly (readonly [string, number, Record<string, string>, unknown])[] = [
  ['a leave with a success', 200, { 'server-leaving': '1' }, LEAVING],
  ['a leave with a failure', 500, { 'server-leaving': '1' }, LEAVING],
  ['a leave given twice', 200, { 'server-leaving': '1, 1' }, LEAVING],
  ['a back-off', 503, { 'retry-after': '3' }, BACK_OFF],
  [
    'a back-off with a fraction of a second',
    503,
    { 'retry-after': '0.25' },
    { ...BACK_OFF, backOffMs: 250 },
  ],
  ['a back-off of 0', 503, { 'retry-after': '0' }, { ...BACK_OFF, backOffMs: 0 }],
  [
    'a leave and a back-off',
    503,
    { 'server-leaving': '1', 'retry-after': '3' },
    { isLeaving: true, backOffMs: 3_000 },
  ],
];

for (const [name, status, headers, expected] of READ) {
  test(`availability is read: ${name}`, () => {
    const reported = REQUEST_CODEC.readAvailability(status, headers);
    assert.deepEqual(reported, { ...(expected as object), unreadable: '' });
  });
}

const UNREADABLE: readonly (readonly [string, number, Record<string, string>])[] = [
  ['a leave of 0', 200, { 'server-leaving': '0' }],
  ['an empty leave', 200, { 'server-leaving': '' }],
  ['a leave in letters', 200, { 'server-leaving': 'true' }],
  ['a back-off in letters', 503, { 'retry-after': 'soon' }],
  ['a negative back-off', 503, { 'retry-after': '-3' }],
  ['a date as back-off', 503, { 'retry-after': 'Thu, 03 Dec 2026 03:00:00 GMT' }],
  ['an empty back-off', 503, { 'retry-after': '' }],
  ['a back-off with a success', 200, { 'retry-after': '3' }],
];

for (const [name, status, headers] of UNREADABLE) {
  test(`malformed availability is ignored and returned as unreadable: ${name}`, () => {
    const reported = REQUEST_CODEC.readAvailability(status, headers);
    assert.deepEqual([reported?.isLeaving, reported?.backOffMs], [false, undefined]);
    assert.notEqual(reported?.unreadable, '');
    const serverAvailability = new ServerAvailability();
    if (reported !== undefined) serverAvailability.recordReport(SERVER, reported, at(0));
    assert.equal(kindAt(serverAvailability, 1), 'open');
  });
}

test('an answer without the headers, or with 421, gives no availability', () => {
  assert.equal(REQUEST_CODEC.readAvailability(200, {}), undefined);
  const headers = { 'server-leaving': '1', 'retry-after': '3' };
  assert.equal(REQUEST_CODEC.readAvailability(421, headers), undefined);
});

test('a back-off is not shortened by a shorter one that is requested meanwhile', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, BACK_OFF, at(0));
  serverAvailability.recordReport(SERVER, { ...BACK_OFF, backOffMs: 1_000 }, at(100));
  assert.equal(kindAt(serverAvailability, 2_999), 'resting');
  assert.equal(kindAt(serverAvailability, 3_000), 'open');
});

test('a back-off holds for every boot and server id at its address', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, BACK_OFF, at(0));
  assert.equal(kindAt(serverAvailability, 1, serverOf({ id: 'i-0', bornMs: 0 })), 'resting');
  assert.equal(kindAt(serverAvailability, 1, serverOf({ bornMs: 2 })), 'resting');
  assert.equal(kindAt(serverAvailability, 1, serverOf({ address: '10.0.0.2:80' })), 'open');
});

test('daemons that were refused together end their back-offs at different times', () => {
  const ends = [0, 0.5, 0.999].map((entropy) => {
    const serverAvailability = new ServerAvailability();
    serverAvailability.recordReport(SERVER, BACK_OFF, at(0, entropy));
    const backOff = serverAvailability.of(SERVER, 0);
    return backOff.kind === 'resting' ? backOff.forMs : 0;
  });
  assert.equal(new Set(ends).size, 3);
  assert.ok(ends.every((forMs) => forMs >= 3_000 && forMs <= 3_300));
});

test('a server that requests a very long back-off is tried again after 66 s at most', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, { ...BACK_OFF, backOffMs: 9_999_999_999_000 }, at(0, 1));
  assert.equal(kindAt(serverAvailability, 59_000), 'resting');
  assert.equal(kindAt(serverAvailability, 66_000), 'open');
});

test('after a back-off others wait for the trial request, until it is answered or 250 ms have passed', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, BACK_OFF, at(0));
  serverAvailability.recordSent(SERVER, 3_010);
  assert.equal(kindAt(serverAvailability, 3_020), 'resting');
  assert.equal(kindAt(serverAvailability, 3_260), 'open');
  serverAvailability.recordAccepted(SERVER, 3_010);
  assert.equal(kindAt(serverAvailability, 3_021), 'open');
  serverAvailability.recordReport(SERVER, BACK_OFF, at(4_000));
  assert.equal(kindAt(serverAvailability, 6_999), 'resting');
});

test('the answer to a request sent before the back-off ended does not end it', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, BACK_OFF, at(0));
  serverAvailability.recordAccepted(SERVER, -50);
  assert.equal(kindAt(serverAvailability, 1_000), 'resting');
});

test('a daemon that was paused for longer than a back-off still sends a trial request first', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, BACK_OFF, at(0));
  assert.equal(kindAt(serverAvailability, 60_000), 'open');
  serverAvailability.recordSent(SERVER, 60_000);
  assert.equal(kindAt(serverAvailability, 60_001), 'resting');
});

test('a leave holds until another boot, and expires 120 s after its last report', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, LEAVING, at(0));
  assert.equal(kindAt(serverAvailability, 60_000), 'leaving');
  assert.equal(kindAt(serverAvailability, 1, serverOf({ bornMs: 2 })), 'open');
  assert.equal(kindAt(serverAvailability, 1, serverOf({ address: '10.0.0.2:80' })), 'open');
  assert.equal(kindAt(serverAvailability, 1, serverOf({ service: 'other' })), 'open');
  serverAvailability.recordReport(SERVER, LEAVING, at(60_000));
  assert.equal(kindAt(serverAvailability, 179_000), 'leaving');
  assert.equal(kindAt(serverAvailability, 180_000), 'open');
});

test('a leave and a back-off of one server hold independently', () => {
  const serverAvailability = new ServerAvailability();
  serverAvailability.recordReport(SERVER, { ...BACK_OFF, isLeaving: true }, at(0));
  assert.equal(kindAt(serverAvailability, 1_000), 'leaving');
  assert.equal(serverAvailability.backOffOf(SERVER, 1_000)?.forMs, 2_000);
  assert.equal(serverAvailability.backOffOf(SERVER, 3_000), undefined);
});

test('a repeated leave is not returned as new, but every back-off is', () => {
  const serverAvailability = new ServerAvailability();
  const kinds = (report: typeof LEAVING | typeof BACK_OFF) =>
    serverAvailability.recordReport(SERVER, report, at(0)).map(({ kind }) => kind);
  assert.deepEqual([kinds(LEAVING), kinds(LEAVING)], [['leaving'], []]);
  assert.deepEqual([kinds(BACK_OFF), kinds(BACK_OFF)], [['resting'], ['resting']]);
});

test('a leave holds through late rows, lapsed and restored rows and complete reads of the list', () => {
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

test('if all servers back off, capacity is expected at the end of the shortest back-off', () => {
  const fleet = new FleetView({ ratio: 1, slack: 1 });
  const other = serverOf({ id: 'i-2', address: '10.0.0.2:80' });
  fleet.directory.replaceAll([SERVER, other]);
  fleet.availability.recordReport(SERVER, BACK_OFF, at(0));
  fleet.availability.recordReport(other, { ...BACK_OFF, backOffMs: 800 }, at(0));
  assert.deepEqual(fleet.candidates('s', 100), []);
  assert.equal(fleet.capacityExpectedInMs('s', 100), 700);
  assert.deepEqual(fleet.unavailableOf('s', 100), { leaving: 0, resting: 2 });
});
