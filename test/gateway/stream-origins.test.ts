/** Where streams may have begun, who keeps their records, and what a stream without a record does. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack } from 'msgpackr';
import {
  decideUnrecorded,
  type OriginView,
  PossibleOrigins,
  type Route,
  recordHolders,
  routeKeyOf,
  type ServerRecord,
  StreamOriginTable,
  serversForStream,
  soleOrigin,
} from '../../src/core/gateway/index.js';
import { decodePeerMessage, encodePeerMessage } from '../../src/shell/gateway/peer-messages.js';
import { PeerRequests } from '../../src/shell/gateway/peer-requests.js';
import { ManualTimers } from './support/manual-timers.js';

const V1 = { service: 's', softwareVersion: 'v1' };
const V2 = { service: 's', softwareVersion: 'v2' };
const LIFE_MS = 1_000;
const ROUTE = {
  name: 'r',
  host: 'Labels.example',
  pathPrefix: '/check/',
  kind: 'streaming',
  isPublic: false,
  resumable: true,
  timeoutMs: 400,
  targetLatencyMs: 100,
  priority: 0,
  attempts: 2,
  traffic: [{ service: 's', weight: 1 }],
} satisfies Route;
const KEY = routeKeyOf(ROUTE);

function server(id: string, softwareVersion: string, service = 's'): ServerRecord {
  const place = { address: `${id}:1`, zone: 'a', slots: 1, state: 'ready' } as const;
  return { id, service, ...place, isSpot: false, stage: 'decode', softwareVersion };
}

function known(...versions: readonly string[]): PossibleOrigins {
  const possible = new PossibleOrigins();
  possible.observeRoutes([ROUTE], 0);
  possible.observeServers(
    versions.map((version) => server(version, version)),
    0,
  );
  return possible;
}

test('a version is the only one once it has been known alone for as long as any stream lives', () => {
  const possible = known('v1');
  assert.equal(soleOrigin(possible.viewOf(KEY, LIFE_MS, LIFE_MS - 1)), undefined);
  assert.deepEqual(soleOrigin(possible.viewOf(KEY, LIFE_MS, LIFE_MS)), V1);
});

test('a version that has left is possible for as long as its streams live', () => {
  const possible = known('v1', 'v2');
  possible.observeServers([server('v1', 'v1')], 5_000);
  assert.equal(possible.viewOf(KEY, LIFE_MS, 6_000).origins.length, 2);
  assert.deepEqual(soleOrigin(possible.viewOf(KEY, LIFE_MS, 6_001)), V1);
});

test('a version that joins is reported once, and one more service of a route as well', () => {
  const possible = known('v1');
  const both = [server('a', 'v1'), server('b', 'v2')];
  assert.equal(possible.observeServers(both, 10), true);
  assert.equal(possible.observeServers(both, 20), false);
  const split = {
    ...ROUTE,
    traffic: [...ROUTE.traffic, { service: 't', weight: 1 }],
  };
  assert.equal(possible.observeRoutes([split], 30), true);
});

test('a route that was moved may have streams of its former service, in which a version means something else', () => {
  const possible = known('v1');
  const moved = { ...ROUTE, traffic: [{ service: 't', weight: 1 }] };
  possible.observeServers([server('v1', 'v1'), server('w', 'v1', 't')], 0);
  possible.observeRoutes([moved], 5_000);
  const origins = [{ service: 't', softwareVersion: 'v1' }, V1];
  assert.deepEqual(possible.viewOf(KEY, LIFE_MS, 5_500).origins, origins);
  assert.equal(soleOrigin(possible.viewOf(KEY, LIFE_MS, 5_500)), undefined);
});

test('records are kept in three zones, alike at all daemons, and the loss of another daemon moves none', () => {
  const daemons = Array.from({ length: 12 }, (_, index) => ({
    name: `d${index}`,
    zone: `z${index % 4}`,
  }));
  for (let stream = 0; stream < 200; stream += 1) {
    const holders = recordHolders(`stream-${stream}`, daemons);
    assert.equal(new Set(holders.map(({ zone }) => zone)).size, 3);
    assert.deepEqual(recordHolders(`stream-${stream}`, [...daemons].reverse()), holders);
    const other = daemons.find((daemon) => !holders.includes(daemon));
    const left = daemons.filter((daemon) => daemon !== other);
    assert.deepEqual(recordHolders(`stream-${stream}`, left), holders);
  }
  assert.equal(recordHolders('s', daemons.slice(0, 2)).length, 2);
});

const LONG: OriginView = { origins: [V1], isComplete: true };
const YOUNG: OriginView = { origins: [V1], isComplete: false };
const THREE_ZONES = new Set(['a', 'b', 'c']);

for (const [what, ownView, answers, kind] of [
  ['known alone for long, as another zone confirms', LONG, [{ zone: 'b', view: LONG }], 'continue'],
  [
    'known for a short time, but for long elsewhere',
    YOUNG,
    [{ zone: 'b', view: LONG }],
    'continue',
  ],
  ['known for a short time everywhere', YOUNG, [{ zone: 'b', view: YOUNG }], 'reject'],
  ['not confirmed by any daemon', LONG, [], 'reject'],
  ['confirmed by the own zone only, of three', LONG, [{ zone: 'a', view: LONG }], 'reject'],
  [
    'not the only one at a daemon that answers',
    LONG,
    [
      { zone: 'b', view: LONG },
      { zone: 'c', view: { origins: [V1, V2], isComplete: true } },
    ],
    'reject',
  ],
  [
    'one of two here',
    { origins: [V1, V2], isComplete: true },
    [{ zone: 'b', view: LONG }],
    'reject',
  ],
  ['that of no server', { origins: [], isComplete: true }, [{ zone: 'b', view: LONG }], 'reject'],
] as const) {
  test(`a stream without a record: ${kind} where its version is ${what}`, () => {
    const stream = { ownView, ownZone: 'a', answers, zones: THREE_ZONES };
    const decision = decideUnrecorded({ ...stream, daemons: 3, isConfirmed: false });
    assert.equal(decision.kind, kind);
  });
}

for (const [what, daemons, zones, isConfirmed, kind] of [
  ['more than half of the daemons', 3, ['a'], false, 'continue'],
  ['half of the daemons', 4, ['a'], false, 'reject'],
  ['half of the daemons, and the store', 4, ['a'], true, 'continue'],
  ['half of the zones', 3, ['a', 'b'], false, 'reject'],
  ['half of the zones, and the store', 3, ['a', 'b'], true, 'continue'],
  ['daemons of an unknown number', undefined, ['a'], true, 'reject'],
] as const) {
  test(`a stream without a record: ${kind} where its version is confirmed by ${what}`, () => {
    const answers = [{ zone: 'a', view: LONG }];
    const stream = { ownView: LONG, ownZone: 'a', answers, zones: new Set<string>(zones) };
    assert.equal(decideUnrecorded({ ...stream, daemons, isConfirmed }).kind, kind);
  });
}

test('a daemon that knows no server yet confirms no version, nor does the store without any daemon', () => {
  const stream = { ownView: LONG, ownZone: 'a', zones: new Set(['a']), daemons: 2 };
  const empty = { zone: 'a', view: { origins: [], isComplete: false } };
  for (const answers of [[], [empty]]) {
    for (const isConfirmed of [false, true]) {
      assert.equal(decideUnrecorded({ ...stream, answers, isConfirmed }).kind, 'reject');
    }
  }
});

test('a daemon without peers goes by what it knows itself', () => {
  const alone = {
    ownZone: 'a',
    answers: [],
    zones: new Set(['a']),
    daemons: 1,
    isConfirmed: false,
  };
  assert.equal(decideUnrecorded({ ...alone, ownView: LONG }).kind, 'continue');
  assert.equal(decideUnrecorded({ ...alone, ownView: YOUNG }).kind, 'reject');
});

test('a record ends with the life of its stream, and the newest one of an id counts', () => {
  const table = new StreamOriginTable();
  table.add({ streamId: 's', origin: V1, beganAtMs: 10, endsAtMs: 100 }, 10);
  table.add({ streamId: 's', origin: V2, beganAtMs: 5, endsAtMs: 200 }, 11);
  assert.deepEqual(table.get('s', 50)?.origin, V1);
  assert.equal(table.get('s', 100), undefined);
});

test('messages on where streams began are read as they were sent', () => {
  const records = [{ streamId: 'a', origin: V1, ageMs: 3, leftMs: 900 }];
  const messages = [
    { kind: 'stream-records', number: 1, records },
    { kind: 'stream-records-stored', number: 1 },
    { kind: 'stream-asked', number: 2, streamId: 'a', routeKey: KEY, lifeMs: LIFE_MS },
    {
      kind: 'stream-answered',
      number: 2,
      zone: 'a',
      record: { origin: V1, ageMs: 4 },
      view: { origins: [V1, V2], isComplete: true },
    },
    { kind: 'stream-answered', number: 3, zone: 'a', record: undefined, view: LONG },
  ] as const;
  for (const message of messages) {
    assert.deepEqual(decodePeerMessage(encodePeerMessage(message)), message);
  }
});

test('rows that a daemon of an earlier release forwards are known to lack software versions', () => {
  const row = ['i-1', 's', '10.0.0.1:80', 'z', 4, 'ready', 'decode', false];
  const message = decodePeerMessage(pack([6, 'z', 1, 2, [row], []]));
  assert.equal(message?.kind === 'servers' && message.lacksSoftwareVersions, true);
});

test('a request to another daemon is repeated until it is answered, and given up after its time-out', async () => {
  const timers = new ManualTimers();
  const sent: number[] = [];
  const requests = new PeerRequests<number, string>({
    send: (_, number) => sent.push(number),
    timers,
    timing: { resendAfterMs: 10, timeoutMs: 30 },
  });
  const peer = { name: 'p', host: 'h', port: 1, zone: 'a' };
  const answered = requests.request(peer, (number) => number);
  timers.advance(10);
  requests.handleAnswer(1, 'yes');
  assert.equal(await answered, 'yes');
  const lost = requests.request(peer, (number) => number);
  timers.advance(30);
  assert.equal(await lost, undefined);
  assert.deepEqual(sent, [1, 1, 2, 2, 2]);
});

test('a server whose row states no software version does not go on with streams of one that states it, nor the other way', () => {
  const { softwareVersion: _, ...unnamed } = server('a', 'v1');
  const servers = [unnamed, server('b', 'v1')];
  const idsFor = (softwareVersion: string) =>
    serversForStream(servers, { service: 's', softwareVersion }).map(({ id }) => id);
  assert.deepEqual(idsFor('v1'), ['b']);
  assert.deepEqual(idsFor(''), ['a']);
});
