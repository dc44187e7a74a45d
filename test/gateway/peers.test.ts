/** The messages between daemons about their work at engines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FleetPaces,
  type LoadReport,
  type LoadSums,
  PeerLoads,
  PeerRoster,
  type ReachabilityNotice,
  type ReadNotice,
  ReadSpeed,
  type ServerRecord,
} from '../../src/core/gateway/index.js';
import type { TableCall, TableResult, TableRow } from '../../src/core/platform/table.js';
import { PeerExchange } from '../../src/shell/gateway/peer-exchange.js';
import {
  decodePeerMessage,
  type EngineCacheEvents,
  encodePeerMessage,
} from '../../src/shell/gateway/peer-messages.js';
import { deferred } from './support/deferred.js';
import { ManualTimers } from './support/manual-timers.js';

function report(fields: Partial<LoadReport> = {}): LoadReport {
  const work = [{ engineId: 'e', pendingMs: 300, lateMs: 0, running: 2 }];
  return {
    daemon: 'a',
    incarnation: 1,
    sequence: 1,
    work,
    reads: [],
    reach: [],
    demand: [],
    ...fields,
  };
}

const SERVER: ServerRecord = {
  id: 'i-1',
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 4,
  state: 'draining',
  isSpot: false,
  stage: 'decode',
};

test('the work of all daemons adds up and fades as time passes', () => {
  const loads = new PeerLoads();
  loads.applyReport(report(), 0);
  loads.applyReport(report({ daemon: 'b' }), 100);
  assert.equal(loads.waitMs('e', 'in-time', 100), 500);
  assert.equal(loads.running('e', 100), 4);
  assert.equal(loads.waitMs('e', 'in-time', 1_000), 0);
  assert.equal(loads.running('e', 5_000), 0);
});

test('an older report of the same incarnation is ignored, one of a new incarnation is applied', () => {
  const loads = new PeerLoads();
  loads.applyReport(report({ sequence: 5, work: [] }), 0);
  loads.applyReport(report({ sequence: 4 }), 0);
  assert.equal(loads.waitMs('e', 'in-time', 0), 0);
  loads.applyReport(report({ incarnation: 2, sequence: 1 }), 0);
  assert.equal(loads.waitMs('e', 'in-time', 0), 300);
});

function sums(fields: Partial<LoadSums> = {}): LoadSums {
  const work = [{ engineId: 'e', pendingMs: 500, lateMs: 0, running: 5 }];
  return {
    relay: 'r',
    incarnation: 1,
    sequence: 1,
    isComplete: true,
    work,
    reads: [],
    reach: [],
    demand: [],
    ...fields,
  };
}

test("a relay's sums less the own work replace the reports of single daemons", () => {
  const loads = new PeerLoads();
  loads.applyReport(report(), 0);
  loads.applySums(sums(), [{ engineId: 'e', pendingMs: 200, lateMs: 0, running: 1 }], 0);
  assert.equal(loads.waitMs('e', 'in-time', 0), 300);
  assert.equal(loads.waitMs('e', 'in-time', 100), 200);
  assert.equal(loads.running('e', 0), 4);
});

test('incomplete sums leave other engines as they were; complete sums drop engines that they lack', () => {
  const loads = new PeerLoads();
  loads.applySums(sums(), [], 0);
  const work = [{ engineId: 'f', pendingMs: 100, lateMs: 0, running: 1 }];
  loads.applySums(sums({ sequence: 2, isComplete: false, work }), [], 0);
  assert.equal(loads.waitMs('e', 'in-time', 0), 500);
  assert.equal(loads.waitMs('f', 'in-time', 0), 100);
  loads.applySums(sums({ sequence: 1, isComplete: true, work: [] }), [], 0);
  assert.equal(loads.waitMs('e', 'in-time', 0), 500);
  loads.applySums(sums({ sequence: 3, work }), [], 0);
  assert.equal(loads.waitMs('e', 'in-time', 0), 0);
});

test('when the relay falls silent, the reports of single daemons count again', () => {
  const loads = new PeerLoads();
  loads.applySums(sums({ work: [] }), [], 0);
  loads.applyReport(report(), 2_000);
  assert.equal(loads.running('e', 2_000), 0);
  assert.equal(loads.running('e', 3_000), 2);
});

test('a relay adds the sums of other zones for its own zone, and sends only the sum of its zone to other relays', () => {
  const loads = new PeerLoads();
  const work = (running: number) => [{ engineId: 'e', pendingMs: 100, lateMs: 0, running }];
  loads.applyReport({ ...report(), daemon: 'a', work: work(2) }, 0);
  const sums = {
    relay: 'r',
    incarnation: 1,
    sequence: 1,
    isComplete: true,
    work: work(5),
    reads: [],
    reach: [],
    demand: [],
  };
  loads.applyZoneSums('south', sums, 0);
  loads.applyZoneSums('west', { ...sums, relay: 's', work: work(7) }, 0);
  assert.equal(loads.zoneTotals(work(1), 0)[0]?.running, 3);
  assert.equal(loads.totals(work(1), 0)[0]?.running, 15);
  assert.equal(loads.running('e', 0), 14);
  // A relay that takes over from another replaces its sums.
  loads.applyZoneSums('west', { ...sums, relay: 't', work: work(8) }, 10);
  assert.equal(loads.running('e', 10), 15);
  // The sums of a silent relay no longer count.
  assert.equal(loads.running('e', 3_000), 2);
});

test('messages are decoded as they were encoded, and other bytes are ignored', () => {
  const news = [{ engineId: 'e', isReset: true, events: [{ partId: 'p', tokens: 3 }] }];
  const messages = [
    { kind: 'report', report: report({ reads: [READ] }), configurationVersion: 7 },
    { kind: 'sums', zone: 'z', sums: sums({ reads: [READ] }) },
    { kind: 'news', daemon: 'a', news },
    {
      kind: 'servers',
      zone: 'z',
      changes: {
        era: 0,
        after: 3,
        revision: 5,
        rows: [
          { kind: 'value', key: 'i-1', value: SERVER },
          { kind: 'value', key: 'i-2', value: { ...SERVER, id: 'i-2', stage: undefined } },
          { kind: 'gone', key: 'i-3' },
        ],
      },
    },
    {
      kind: 'tables',
      relay: 'a',
      zone: 'z',
      digest: {
        configurations: { era: 0, changed: 1, seen: 7, reread: 0 },
        servers: { era: 0, changed: 2, seen: 8, reread: 6 },
        ageMs: 3,
        configurationVersion: 7,
        peersChecksum: 9,
      },
    },
    {
      kind: 'configuration',
      zone: 'z',
      change: {
        era: 0,
        after: 1,
        revision: 2,
        key: 'config',
        encoded: Buffer.from('{"version":2}'),
      },
    },
    { kind: 'stage', notice: { engineId: 'e1', stage: 'decode', phase: 'changing' } },
  ] as const;
  for (const message of messages) {
    assert.deepEqual(decodePeerMessage(encodePeerMessage(message)), message);
  }
  assert.equal(decodePeerMessage(Buffer.from('no message')), undefined);
  assert.equal(decodePeerMessage(Buffer.from([0x91, 9])), undefined);
});

/** Messages as encoded by the release before the store's eras were introduced. */
const MESSAGES_WITHOUT_ERA = [
  '9805a161a17a9301070093020806030907',
  '9606a17a03059198a3692d31a173aa31302e302e302e313a31a17a08a57265616479a66465636f6465c291a3692d33',
  '9607a17a0102a6636f6e666967c40d7b2276657273696f6e223a327d',
];

test('messages without an era are decoded, and encoded the same while the store is in its first era', () => {
  for (const hex of MESSAGES_WITHOUT_ERA) {
    const message = decodePeerMessage(Buffer.from(hex, 'hex'));
    assert.ok(message !== undefined);
    assert.equal(encodePeerMessage(message).toString('hex'), hex);
  }
});

test('messages carry the era of the store', () => {
  const progress = { era: 2, changed: 1, seen: 7, reread: 1 };
  const rows = [{ kind: 'value', key: 'i-1', value: SERVER }] as const;
  const encoded = Buffer.from('{"version":2}');
  const span = { era: 2, after: 1, revision: 2 };
  const digest = { configurationVersion: 7, ageMs: 3, peersChecksum: 9 };
  const messages = [
    {
      kind: 'tables',
      relay: 'a',
      zone: 'z',
      digest: { ...digest, configurations: progress, servers: progress },
    },
    { kind: 'servers', zone: 'z', changes: { ...span, rows } },
    { kind: 'configuration', zone: 'z', change: { ...span, key: 'config', encoded } },
  ] as const;
  for (const message of messages) {
    assert.deepEqual(decodePeerMessage(encodePeerMessage(message)), message);
  }
});

/** Rows that all daemons of a test share. */
class SharedTable {
  readonly #rows = new Map<string, TableRow>();

  call(call: TableCall): Promise<TableResult> {
    if (call.kind === 'transact') {
      for (const write of call.writes) this.#rows.set(write.key, { ...write, version: 1 });
      return Promise.resolve({ kind: 'committed', rows: [] });
    }
    return Promise.resolve({ kind: 'rows', rows: [...this.#rows.values()] });
  }
}

const READ: ReadNotice = {
  engineId: 'e',
  part: { id: 'shared', tokens: 9_000 },
  readyInMs: 150,
};
/** Running streams of one daemon; a larger number is the sum over two daemons. */
const LARGEST_OWN = 2;
/** The configuration version that all daemons of a test have in force. */
const VERSION = 7;
const SILENT_LOG = { write: () => undefined };

/** A daemon's exchange with promises for its first scan and its first received messages. */
function exchangeOf(
  name: string,
  zone: string,
  timers: ManualTimers,
  table: SharedTable,
  work: LoadReport['work'],
) {
  const reported = deferred<LoadReport>();
  const summed = deferred<LoadSums>();
  const relayed = deferred<LoadSums>();
  const found = deferred<ReachabilityNotice>();
  const informed = deferred<EngineCacheEvents>();
  const changed = deferred<number>();
  const listed = deferred<number>();
  const versioned = deferred<number>();
  const configured = deferred<number>();
  const noticed = deferred<ReadNotice>();
  const loads = new PeerLoads();
  const speed = new ReadSpeed(true);
  const roster = new PeerRoster({ name, zone });
  const exchange = new PeerExchange({
    daemon: name,
    zone,
    incarnation: 1,
    listen: { host: '127.0.0.1', port: 0 },
    table,
    roster,
    timers,
    datingTimers: timers,
    delays: { record: () => undefined },
    log: SILENT_LOG,
    serverIdOf: () => undefined,
    onSums: () => undefined,
    recordDaemonCount: listed.resolve,
    ownWork: () => work,
    ownDemand: () => [],
    onRelayChange: () => undefined,
    paces: new FleetPaces({ use: 'always', speedOf: () => speed, serviceOf: () => 's' }),
    isReady: () => true,
    tableDigest: () => ({
      configurations: { era: 0, changed: 3, seen: 3, reread: 0 },
      servers: { era: 0, changed: 4, seen: 4, reread: 0 },
      configurationVersion: VERSION,
      ageMs: 5,
    }),
    relayPeersChecksum: () => undefined,
    handleTableDigest: () => undefined,
    applyServers: ({ rows }) => changed.resolve(rows.length),
    handleReachability: found.resolve,
    configurationVersion: () => VERSION,
    recordPeerVersion: (version) => versioned.resolve(version),
    applyConfiguration: ({ revision }) => {
      configured.resolve(revision);
      return true;
    },
    handleStageNotice: () => undefined,
    applyCacheEvents: informed.resolve,
    handleUsage: () => undefined,
    handleLimitMessage: () => undefined,
    handleStreamMessage: () => undefined,
    handleDepartures: () => undefined,
    handleCrashRecords: () => undefined,
    handleRead: noticed.resolve,
    loads: {
      applyReport: (report, nowMs) => {
        loads.applyReport(report, nowMs);
        reported.resolve(report);
      },
      applySums: (sums) => {
        if (sums.work.some(({ running }) => running > LARGEST_OWN)) summed.resolve(sums);
      },
      applyZoneSums: (zoneOfSums, sums, nowMs) => {
        loads.applyZoneSums(zoneOfSums, sums, nowMs);
        relayed.resolve(sums);
      },
      totals: (own, nowMs) => loads.totals(own, nowMs),
      zoneTotals: (own, nowMs) => loads.zoneTotals(own, nowMs),
      totalDemand: (own, nowMs) => loads.totalDemand(own, nowMs),
      zoneDemand: (own, nowMs) => loads.zoneDemand(own, nowMs),
    },
  });
  return {
    name,
    exchange,
    roster,
    reported,
    summed,
    relayed,
    found,
    informed,
    changed,
    listed,
    noticed,
    versioned,
    configured,
  };
}

test('daemons find each other by the store and report changes of their load', async () => {
  const timers = new ManualTimers();
  const table = new SharedTable();
  const listener = exchangeOf('a', 'z', timers, table, []);
  listener.exchange.start();
  await listener.listed.promise;
  const advertiser = exchangeOf('b', 'z', timers, table, report().work);
  advertiser.exchange.start();
  assert.equal(await advertiser.listed.promise, 2);
  advertiser.exchange.advertiseRead(READ);
  timers.advance(20);
  const received = await listener.reported.promise;
  listener.exchange.stop();
  advertiser.exchange.stop();
  const expected = { daemon: 'b', incarnation: 1, sequence: 1, work: report().work };
  assert.deepEqual(received, { ...expected, reads: [READ], reach: [], demand: [] });
  assert.deepEqual(await listener.noticed.promise, READ);
  assert.equal(await listener.versioned.promise, VERSION);
});

/** Adds rows of daemons that do not answer, so that the fleet counts as large. */
function fillWithOthers(table: SharedTable): void {
  const value = { host: '127.0.0.1', port: 9, zone: 'elsewhere' };
  const writes = Array.from({ length: 20 }, (_, index) => ({ key: `peer/other-${index}`, value }));
  table.call({ kind: 'transact', checks: [], writes });
}

/** Starts two daemons of one zone in a large fleet, and returns the relay and the other once both have the list. */
async function startedZone() {
  const timers = new ManualTimers();
  const table = new SharedTable();
  fillWithOthers(table);
  const { work } = report();
  const both = ['a', 'b'].map((name) => exchangeOf(name, 'z', timers, table, work));
  for (const { exchange } of both) exchange.start();
  await Promise.all(both.map(({ listed }) => listed.promise));
  timers.advance(1_000);
  await Promise.all(both.map(({ roster }) => untilListed(roster, 22, timers)));
  const relay = both.find(({ roster }) => roster.isRelay(timers.nowMs()));
  const other = both.find((daemon) => daemon !== relay);
  assert.ok(relay !== undefined && other !== undefined);
  return { timers, both, relay, other };
}

test('in a large fleet the relay of a zone receives load reports and sends the sums to its zone', async () => {
  const { timers, both, relay, other } = await startedZone();
  other.exchange.advertiseRead(READ);
  timers.advance(20);
  await relay.reported.promise;
  const sums = await settledBy(other.summed.promise, timers);
  const events = [{ partId: 'p', tokens: 900 }];
  relay.exchange.forward({ engineId: 'e', isReset: false, events }, relay.roster.zonePeers());
  timers.advance(1_000);
  const news = await other.informed.promise;
  for (const { exchange } of both) exchange.stop();
  assert.deepEqual(await relay.noticed.promise, READ);
  assert.deepEqual(
    sums.work.map(({ engineId, running }) => ({ engineId, running })),
    [{ engineId: 'e', running: 4 }],
  );
  assert.deepEqual(news, { engineId: 'e', isReset: false, events });
});

test('a relay forwards the replacement of a whole fleet of servers in one message', async () => {
  const { timers, both, relay, other } = await startedZone();
  const rows = Array.from({ length: 100 }, (_, index) => {
    const id = `i-${index.toString(16).padStart(10, '0')}`;
    return { kind: 'value', key: id, value: { ...SERVER, id } } as const;
  });
  timers.advance(500);
  relay.exchange.forwardServers({ era: 0, after: 1, revision: 2, rows });
  const count = await settledBy(other.changed.promise, timers);
  for (const { exchange } of both) exchange.stop();
  assert.equal(count, 100);
});

test('a configuration that a relay received from the store reaches another zone through its relay', async () => {
  const { timers, both, relay, other } = await startedZone();
  const table = new SharedTable();
  fillWithOthers(table);
  const elsewhere = exchangeOf('c', 'y', timers, table, []);
  elsewhere.exchange.start();
  await settledBy(elsewhere.listed.promise, timers);
  timers.advance(1_000);
  const addresses = both.flatMap(({ roster }) => roster.zonePeers());
  elsewhere.roster.replace([...elsewhere.roster.allPeers(), ...addresses], timers.nowMs());
  elsewhere.roster.recordRelayContact(relay.name, 'z', timers.nowMs());
  timers.advance(1_000);
  const encoded = Buffer.from('{}');
  const rows = [{ kind: 'value', key: 'config', value: { version: VERSION }, encoded }] as const;
  elsewhere.exchange.forwardConfiguration({ era: 0, after: 1, revision: 2, rows });
  assert.equal(await settledBy(other.configured.promise, timers), 2);
  for (const { exchange } of [...both, elsewhere]) exchange.stop();
});

/** Advances the time until a promise is settled. */
async function settledBy<Value>(promise: Promise<Value>, timers: ManualTimers): Promise<Value> {
  let isSettled = false;
  const settle = () => {
    isSettled = true;
  };
  promise.then(settle, settle);
  while (!isSettled) {
    timers.advance(60);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return promise;
}

async function untilListed(roster: PeerRoster, count: number, timers: ManualTimers) {
  while (roster.daemonCount < count) {
    timers.advance(1_000);
    await new Promise((resolve) => setImmediate(resolve));
  }
}
