/** Servers that restart under their id, and malformed rows: from the store's adapter to the state kept for a server. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeServer } from '../../platform/configuration-codec.js';
import { REQUEST_CODEC } from '../../platform/request-codec.js';
import type { StoreClient, StoreRow } from '../../platform/store-client.js';
import { storeTable } from '../../platform/store-tables.js';
import {
  RestoredServers,
  ServerDirectory,
  type ServerRecord,
} from '../../src/core/gateway/index.js';
import { FleetFollower } from '../../src/shell/gateway/fleet-follower.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { PathComparison } from '../../src/shell/gateway/path-comparison.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import type { PlatformAdapter, WatchAnswer, WatchedRow } from '../../src/shell/gateway/ports.js';
import { RelayDigest } from '../../src/shell/gateway/relay-digest.js';
import { ServerExitCheck } from '../../src/shell/gateway/server-exit-check.js';
import type { TableChanges } from '../../src/shell/gateway/table-watcher.js';
import { UnresolvedBreaks } from '../../src/shell/gateway/unresolved-breaks.js';
import { ManualTimers } from './support/manual-timers.js';

const BORN_MS = 1_800_000_000_000;
const NOW_UNIX_MS = BORN_MS + 3_600_000;
const OTHER = { service: 's', address: '10.0.0.9:80', zone: 'z', slots: 4, state: 'ready' };
const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 4,
  state: 'ready',
  stage: 'decode',
  sequence: 7,
  born: BORN_MS,
};

function rowOf(key: string, value: unknown): StoreRow {
  const bytes = typeof value === 'string' ? Buffer.from(value) : Buffer.from(JSON.stringify(value));
  return { table: 'servers', privateKey: key, value: bytes.toString('base64') };
}

const TIMING = { callTimeoutMs: 1_000, firstReadTimeoutMs: 3_000, maxRetryDelayMs: 500 };

/** A follower of a list of servers whose rows the test sets. */
class FollowedList {
  readonly timers = new ManualTimers();
  readonly fleet = new FleetView({ ratio: 1, slack: 1 }, undefined, undefined, undefined, () =>
    this.timers.nowMs(),
  );
  readonly lines: Record<string, unknown>[] = [];
  readonly restartedWatches: string[] = [];
  readonly started: string[] = [];
  readonly forwarded: number[] = [];
  readonly #follower: FleetFollower;
  readonly #digest = new RelayDigest(this.timers, 1_000);
  #rows: readonly StoreRow[] = [];
  #revision = 1;
  #answerChanges: (() => void) | undefined;
  #isHistoryLost = false;

  constructor() {
    const client = { get: (path: string) => this.#get(path) } as unknown as StoreClient;
    const table = {
      client,
      table: 'servers',
      onlyKey: undefined,
      maxRowBytes: 16_384,
      isForwarded: false,
    };
    const never = new Promise<WatchAnswer<never>>(() => undefined);
    const configurations = {
      name: 'op',
      readAll: () => never,
      changesAfter: () => never,
      decode: (key: string) => ({ kind: 'gone', key }) as const,
    };
    const servers = storeTable({ ...table, decode: decodeServer });
    const cacheEventWatchers = {
      add: () => undefined,
      remove: () => undefined,
      restart: ({ id }: ServerRecord) => this.restartedWatches.push(id),
    };
    this.#follower = new FleetFollower({
      adapter: { servers, configurations } as unknown as PlatformAdapter,
      fleet: this.fleet,
      cacheEventWatchers: cacheEventWatchers as never,
      timing: () => ({ ...TIMING, holdMs: 1_000 }),
      recheckSpans: { cutMs: 0, historyLostMs: 0 },
      maxAnswerGapMs: 0,
      restored: new RestoredServers(3_000),
      random: Math.random,
      handleStoreRestored: () => undefined,
      forwardServers: ({ rows }) => this.forwarded.push(rows.length),
      forwardConfiguration: () => undefined,
      recordDeparture: () => undefined,
      awaitConfirmation: () => undefined,
      declinesWork: () => Promise.resolve(false),
      advertiseDepartures: () => undefined,
      recordServerStart: ({ id }) => this.started.push(id),
      digest: this.#digest,
      timers: this.timers,
      wallClock: () => NOW_UNIX_MS,
      log: {
        write: (event: { message: string }, fields: object) =>
          this.lines.push({ event: event.message, ...fields }),
      } as never,
      applyLimits: () => undefined,
      onConfigurationChanged: () => undefined,
      onServersChanged: () => undefined,
    });
  }

  /** Starts with a full read of these rows. */
  async begin(rows: readonly StoreRow[]): Promise<void> {
    this.#rows = rows;
    this.#follower.start();
    await settled();
  }

  /** Delivers these rows as a change. */
  async change(rows: readonly StoreRow[]): Promise<void> {
    this.#rows = rows;
    this.#revision += 1;
    this.timers.advance(2_000);
    await settled();
    this.#answerChanges?.();
    await settled();
  }

  /** Loses the history, so that the list is fully read as these rows. */
  async readWhole(rows: readonly StoreRow[]): Promise<void> {
    this.#isHistoryLost = true;
    await this.change(rows);
  }

  /** Receives a digest of the relay that shows no change since the first read. */
  relyOnRelay(): void {
    const progress = { era: 0, changed: 1, seen: 1, reread: 0 };
    this.#digest.apply({
      configurations: progress,
      servers: progress,
      ageMs: 0,
      configurationVersion: 0,
      peersChecksum: 0,
    });
  }

  /** Offers changes that a relay forwards; they are applied while no call to the store is under way. */
  offer(changes: TableChanges<ServerRecord>): void {
    this.#follower.applyServerChanges(changes, this.timers.nowMs());
  }

  get unreadable(): number {
    return this.#follower.unreadableServers;
  }

  ids(): string[] {
    return [...this.fleet.directory.all()].map(({ id }) => id).sort();
  }

  stop(): void {
    this.#follower.stop();
  }

  #get(path: string): Promise<unknown> {
    const answer = (status: number) => ({
      kind: 'answered',
      status,
      rows: this.#rows,
      more: false,
      revision: this.#revision,
    });
    if (path.includes('get')) return Promise.resolve(answer(200));
    return new Promise((resolve) => {
      this.#answerChanges = () => {
        this.#answerChanges = undefined;
        resolve(answer(this.#isHistoryLost ? 410 : 200));
        this.#isHistoryLost = false;
      };
    });
  }
}

function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Malformed rows. */
const NO_SERVERS: readonly (readonly [string, unknown])[] = [
  ['bytes that are no text', '\u0000\u0001\ufffd'],
  ['nothing at all', ''],
  ['half a document', '{"service":"s","addr'],
  ['a list', []],
  ['null', 'null'],
  ['a text', '"server"'],
  ['no service', { ...ENTRY, service: undefined }],
  ['an empty service', { ...ENTRY, service: '' }],
  ['no address', { ...ENTRY, address: undefined }],
  ['an address without a port', { ...ENTRY, address: '10.0.0.1' }],
  ['an address of two words', { ...ENTRY, address: '10.0.0.1 :80' }],
  ['a number for an address', { ...ENTRY, address: 17 }],
  ['no zone', { ...ENTRY, zone: undefined }],
  ['no slots', { ...ENTRY, slots: undefined }],
  ['a text of slots', { ...ENTRY, slots: '4' }],
  ['less than one slot', { ...ENTRY, slots: -1 }],
  ['a part of a slot', { ...ENTRY, slots: 0.5 }],
  ['no state', { ...ENTRY, state: undefined }],
  ['an unknown state', { ...ENTRY, state: 'sleeping' }],
  ['an unknown stage', { ...ENTRY, stage: 'rest' }],
  ['a text for a start', { ...ENTRY, born: String(BORN_MS) }],
  ['a start that is not an integer', { ...ENTRY, born: BORN_MS + 0.5 }],
  ['a negative start', { ...ENTRY, born: -1 }],
  ['null for a start', { ...ENTRY, born: null }],
  ['a text for a sequence', { ...ENTRY, sequence: 'seven' }],
  ['no start although earlier rows had one', { ...ENTRY, born: undefined }],
];

for (const [name, value] of NO_SERVERS) {
  test(`a row with ${name} names no server, as a change and in a full read; other rows still do`, async () => {
    for (const way of ['change', 'readWhole'] as const) {
      const list = new FollowedList();
      const other = rowOf('i-other', OTHER);
      await list.begin([rowOf('i-1', ENTRY), other]);
      assert.deepEqual(list.ids(), ['i-1', 'i-other'], way);
      for (let reading = 0; reading < 2; reading += 1) {
        await list[way]([rowOf('i-1', value), other]);
        assert.deepEqual(list.ids(), ['i-other'], way);
      }
      await list[way]([rowOf('i-1', ENTRY), other]);
      assert.deepEqual(list.ids(), ['i-1', 'i-other'], way);
      assert.equal(list.unreadable, 0, way);
      list.stop();
    }
  });
}

test('a row under a key that is not a valid id names no server', async () => {
  const list = new FollowedList();
  await list.begin([rowOf('i 1\r\nX: y', ENTRY), rowOf('', ENTRY), rowOf('i-other', OTHER)]);
  assert.deepEqual(list.ids(), ['i-other']);
  assert.equal(list.unreadable, 2);
  list.stop();
});

test('a row that stays malformed is logged once, and is counted as long as it is in the table', async () => {
  const list = new FollowedList();
  const bad = rowOf('i-1', { ...ENTRY, state: 'sleeping' });
  await list.begin([bad]);
  for (let reading = 0; reading < 3; reading += 1) await list.readWhole([bad]);
  assert.equal(list.lines.filter(({ unreadable }) => unreadable === 1).length, 1);
  assert.equal(list.unreadable, 1);
  await list.readWhole([]);
  assert.equal(list.unreadable, 0);
  list.stop();
});

test('a server of another service is no candidate for a service', () => {
  const directory = new ServerDirectory();
  directory.replaceAll([decodeServer('i-1', { ...ENTRY, service: 'nobody' })]);
  assert.deepEqual(directory.readyOf('s'), []);
});

function record(fields: Partial<ServerRecord> = {}): ServerRecord {
  return { ...decodeServer('i-1', ENTRY), ...fields };
}

/** How a second row under the same id is classified. */
const SECOND_ROWS = [
  ['the same start', {}, 'same'],
  ['a later start', { bornMs: BORN_MS + 1 }, 'renewed'],
  ['an earlier start', { bornMs: BORN_MS - 1 }, 'older-life'],
  ['another address', { address: '10.0.0.2:80' }, 'renewed'],
  ['another service', { service: 't' }, 'renewed'],
  ['no start', { bornMs: undefined }, 'no-start'],
] as const;

for (const [name, fields, expected] of SECOND_ROWS) {
  test(`a second row with ${name} is classified as ${expected}`, () => {
    for (const way of ['apply', 'replaceAll'] as const) {
      const directory = new ServerDirectory();
      directory.replaceAll([record()], NOW_UNIX_MS);
      const second = record(fields);
      const change =
        way === 'apply'
          ? directory.apply([second], [], NOW_UNIX_MS)
          : directory.replaceAll([second], NOW_UNIX_MS);
      const reason = change.skipped[0]?.reason;
      const seen = reason ?? (change.restarted.length > 0 ? 'renewed' : 'same');
      assert.equal(seen, expected, way);
      const listed = directory.get('i-1');
      if (expected === 'older-life') assert.equal(listed?.bornMs, BORN_MS, way);
      else if (expected === 'no-start') assert.equal(listed, undefined, way);
      else assert.deepEqual(listed, second, way);
    }
  });
}

test('a start given for the first time is a new boot; after a start in the future, no start counts as older', () => {
  const directory = new ServerDirectory();
  directory.apply([record({ bornMs: undefined })], [], NOW_UNIX_MS);
  assert.equal(directory.apply([record()], [], NOW_UNIX_MS).restarted.length, 1);
  const ahead = record({ bornMs: NOW_UNIX_MS + 86_400_000 });
  assert.equal(directory.apply([ahead], [], NOW_UNIX_MS).restarted.length, 1);
  assert.equal(directory.apply([record()], [], NOW_UNIX_MS).restarted.length, 1);
  assert.equal(directory.get('i-1')?.bornMs, BORN_MS);
});

test('a new boot of a server keeps no state of the previous boot', async () => {
  const list = new FollowedList();
  const { fleet, timers } = list;
  await list.begin([rowOf('i-1', ENTRY), rowOf('i-2', { ...ENTRY, address: '10.0.0.2:80' })]);
  const nowMs = timers.nowMs();
  const parts = [{ id: 'p', tokens: 500 }];
  const work = (engineId: string) => ({ engineId, pendingMs: 900, lateMs: 0, running: 3 });
  for (const id of ['i-1', 'i-2']) {
    fleet.prefixIndex.confirm(id, 'p', 500);
    fleet.healthOf(id).recordBroken(nowMs);
    fleet.healthOf(id).open(nowMs);
    fleet.loadOf(id).running += 2;
    fleet.stageNotices.apply({ engineId: id, stage: 'prefill', phase: 'changed' }, nowMs);
  }
  fleet.peerLoads.applyReport(
    {
      daemon: 'b',
      incarnation: 1,
      sequence: 1,
      work: [work('i-1'), work('i-2')],
      reads: [],
      demand: [],
      reach: [],
    },
    nowMs,
  );
  await list.change([rowOf('i-1', { ...ENTRY, born: BORN_MS + 5_000 })]);
  const laterMs = timers.nowMs();
  assert.equal(fleet.prefixIndex.cachedTokens('i-1', parts, laterMs), 0);
  assert.equal(fleet.healthOf('i-1').openCalls, 0);
  assert.equal(fleet.healthOf('i-1').failureRate, 0);
  assert.equal(fleet.loadOf('i-1').running, 0);
  assert.equal(fleet.peerLoads.running('i-1', laterMs), 0);
  assert.deepEqual(
    fleet.expectedServers('s', laterMs).map(({ id, stage }) => `${id} ${stage}`),
    ['i-1 decode', 'i-2 prefill'],
  );
  assert.deepEqual(list.restartedWatches, ['i-1']);
  assert.equal(
    fleet.prefixIndex.cachedTokens('i-2', parts, laterMs),
    500,
    'the state of other servers stays',
  );
  assert.equal(fleet.peerLoads.running('i-2', laterMs), 3, 'the state of other servers stays');
  list.stop();
});

test('a call to the previous boot does not count for the new one', async () => {
  const list = new FollowedList();
  await list.begin([rowOf('i-1', ENTRY)]);
  const server = list.fleet.directory.get('i-1');
  assert.ok(server);
  const before = list.fleet.healthOf('i-1');
  assert.equal(list.fleet.directory.isSuperseded(server), false);
  await list.change([rowOf('i-1', { ...ENTRY, born: BORN_MS + 5_000 })]);
  assert.equal(list.fleet.directory.isSuperseded(server), true);
  assert.equal(list.fleet.directory.wasReady(server), true, 'it accepted new work until its end');
  assert.notEqual(list.fleet.healthOf('i-1'), before);
  list.stop();
});

test('a row of an older boot never replaces a newer one, and is not forwarded', async () => {
  const list = new FollowedList();
  await list.begin([rowOf('i-1', { ...ENTRY, born: BORN_MS + 5_000 })]);
  const { directory } = list.fleet;
  for (const way of ['change', 'readWhole'] as const) {
    await list[way]([rowOf('i-1', { ...ENTRY, state: 'draining' })]);
    assert.equal(directory.get('i-1')?.state, 'ready', way);
    assert.equal(directory.get('i-1')?.bornMs, BORN_MS + 5_000, way);
  }
  assert.deepEqual(list.forwarded, [], 'each daemon reads such rows itself');
  list.stop();
});

test('known start times stay when a relay of an earlier release forwards rows without them', async () => {
  const list = new FollowedList();
  list.relyOnRelay();
  await list.begin([rowOf('i-1', ENTRY)]);
  const { directory } = list.fleet;
  const forwardRow = (fields: Partial<ServerRecord>, revision: number) => {
    const value = record({ bornMs: undefined, ...fields });
    list.offer({
      era: 0,
      after: revision - 1,
      revision,
      rows: [{ kind: 'value', key: value.id, value }],
    });
  };
  forwardRow({ state: 'draining' }, 2);
  assert.equal(directory.get('i-1')?.state, 'draining');
  assert.equal(directory.get('i-1')?.bornMs, BORN_MS);
  forwardRow({ bornMs: BORN_MS - 1, state: 'ready' }, 3);
  assert.equal(directory.get('i-1')?.state, 'draining', 'the row is of an older boot');
  forwardRow({ bornMs: BORN_MS + 1, state: 'ready' }, 4);
  assert.equal(directory.get('i-1')?.bornMs, BORN_MS + 1);
  list.stop();
});

test('relays forward the start time; a message without one can be decoded', () => {
  const changes = (server: ServerRecord) => ({
    era: 0,
    after: 1,
    revision: 2,
    rows: [{ kind: 'value', key: server.id, value: server }] as WatchedRow<ServerRecord>[],
  });
  const { bornMs: _, ...withoutStart } = record();
  for (const server of [record(), withoutStart]) {
    const message = { kind: 'servers', zone: 'z', changes: changes(server) } as const;
    assert.deepEqual(decodePeerMessage(encodePeerMessage(message)), message);
  }
});

for (const [where, others, otherAnswers, hasEnded] of [
  ['another server of its service accepts one', ['i-2'], 'accepted', true],
  ['no other server of its service accepts one', ['i-2', 'i-3', 'i-4'], 'refused', false],
  ['other servers of its service do not answer', ['i-2', 'i-3'], 'unanswered', false],
  ['its service has no other server', [], 'accepted', true],
] as const) {
  test(`a server that refuses a connection has ${hasEnded ? '' : 'not '}ended where ${where}`, async () => {
    const failing = record();
    const connections = {
      tryConnect: (address: string) =>
        Promise.resolve(address === failing.address ? 'refused' : otherAnswers),
    };
    const servers = others.map((id) => ({ ...failing, id, address: `${id}:1` }));
    const check = new ServerExitCheck({
      connections,
      comparison: new PathComparison({
        connections,
        readyOf: () => [failing, ...servers],
        random: () => 0.5,
      }),
      isSuperseded: () => false,
      timers: new ManualTimers(),
    });
    assert.equal(await check.hasEnded(failing), hasEnded);
  });
}

test('a boot that ended counts as ended though its server accepts connections again', async () => {
  const timers = new ManualTimers();
  let isSuperseded = false;
  let probes = 0;
  const check = new ServerExitCheck({
    connections: {
      tryConnect: () => {
        probes += 1;
        return Promise.resolve('accepted' as const);
      },
    },
    isSuperseded: () => isSuperseded,
    comparison: { reachesOthers: () => Promise.resolve(true) },
    timers,
  });
  assert.equal(await check.hasEnded(record()), false);
  isSuperseded = true;
  assert.equal(await check.hasEnded(record()), true);
  isSuperseded = false;
  assert.equal(await check.hasEnded(record({ bornMs: BORN_MS + 1 })), false);
  assert.equal(probes, 2, 'the result for one boot does not count for the next');
});

test('a broken run counts once the next boot of its server is listed, if that happens soon enough', () => {
  const timers = new ManualTimers();
  const breaks = new UnresolvedBreaks(timers);
  const broken = {
    server: record(),
    fingerprint: 'f',
    attemptId: 'attempt-1',
    partSubjects: ['part-sys'],
    ranMs: 5,
    atMs: timers.nowMs(),
  };
  breaks.add(broken);
  assert.deepEqual(breaks.takeFromEarlierBoots(record()), [], 'the same boot');
  assert.deepEqual(breaks.takeFromEarlierBoots(record({ id: 'i-2', bornMs: BORN_MS + 1 })), []);
  assert.deepEqual(breaks.takeFromEarlierBoots(record({ bornMs: BORN_MS + 1 })), [broken]);
  assert.deepEqual(breaks.takeFromEarlierBoots(record({ bornMs: BORN_MS + 1 })), [], 'once');
  breaks.add({ ...broken, atMs: timers.nowMs() });
  timers.advance(10_000);
  assert.deepEqual(breaks.takeFromEarlierBoots(record({ bornMs: BORN_MS + 1 })), [], 'too late');
});

test('a report names the boot that it is of', () => {
  const report = { stage: 'decode', busy: false, sequence: 0, born: BORN_MS };
  const read = (fields: object) =>
    REQUEST_CODEC.readReport(Buffer.from(JSON.stringify({ ...report, ...fields })));
  assert.equal(read({})?.bornMs, BORN_MS);
  assert.equal(read({ born: undefined })?.bornMs, undefined);
  assert.equal(read({ born: 'yesterday' }), undefined);
});
