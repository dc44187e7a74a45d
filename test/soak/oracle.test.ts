/** The soak's oracle reports each promise that is broken in a record, and no other. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judge, type PromiseName, repeatsOf } from '../../soak/oracle.js';
import type {
  Arrival,
  CallEnd,
  CallRecord,
  ConfigurationVersion,
  RouteProbe,
  RunRecord,
} from '../../soak/record.js';
import { CRASHING_MARK, completeBody, eventText } from '../../soak/response-bodies.js';
import { answered, classOf, madeCall, STAMP } from './support/made-calls.js';

const BOUNDS = {
  contactMs: 3_000,
  graceMs: 8_000,
  configApplyMs: 2_000,
  drainMs: 2_000,
  lossSlackMs: 200,
  budgetRatio: 0.2,
  budgetSlack: 4,
  budgetWindowMs: 10_000,
};
const FIRST: ConfigurationVersion = {
  version: 1,
  ackMs: 0,
  serviceOf: new Map([['c', 'one']]),
  tenantOfKey: new Map([['key', 'tenant']]),
  addedRoutes: new Set(),
};
const MOVED: ConfigurationVersion = {
  ...FIRST,
  version: 2,
  ackMs: 20_000,
  serviceOf: new Map([['c', 'two']]),
};
const REVOKED: ConfigurationVersion = {
  ...MOVED,
  serviceOf: FIRST.serviceOf,
  tenantOfKey: new Map(),
};

function arrival(fields: Partial<Arrival> = {}): Arrival {
  return {
    atMs: 30_010,
    acceptWaitMs: 0,
    serverId: 's1',
    service: 'one',
    step: 'run',
    isStarted: true,
    problem: '',
    endedMs: 30_020,
    isServerFault: false,
    hasCrashedServer: false,
    reportedLeaving: false,
    requestedBackOffMs: undefined,
    reportedLimit: false,
    isMisdirected: false,
    stamp: STAMP,
    ...fields,
  };
}

function call(fields: Partial<CallRecord> = {}): CallRecord {
  return madeCall({ arrivals: [arrival()], ...fields });
}

function run(calls: readonly CallRecord[], fields: Partial<RunRecord> = {}): RunRecord {
  return {
    calls: new Map(calls.map((made, index) => [`${index}`, made])),
    unasked: [],
    disturbances: [],
    serving: [],
    configurations: [FIRST],
    probes: [],
    drains: [],
    limits: [],
    cuts: [],
    skews: [],
    lives: [],
    portChecks: [],
    falseReadiness: [],
    orders: [],
    duties: [],
    bounds: BOUNDS,
    hasStrictStops: false,
    machineBytes: undefined,
    beginMs: 0,
    endMs: 60_000,
    ...fields,
  };
}

function broken(record: RunRecord): readonly PromiseName[] {
  return [...new Set(judge(record).map(({ promise }) => promise))];
}

function assertBroken(promise: PromiseName, record: RunRecord): void {
  assert.deepEqual(broken(record), [promise]);
}

function assertKept(record: RunRecord): void {
  assert.deepEqual(broken(record), []);
}

test('a request that ran once and got the response of that run breaks no promise', () => {
  assert.deepEqual(broken(run([call()])), []);
});

test('TWICE: a non-idempotent request ran at two servers; a server that refused it does not count', () => {
  assertBroken('TWICE', run([call({ arrivals: [arrival(), arrival({ serverId: 's2' })] })]));
  const turnedAway = arrival({ serverId: 's2', isStarted: false });
  assert.deepEqual(broken(run([call({ arrivals: [turnedAway, arrival()] })])), []);
});

test('REFUSED: a request has run, and its caller got a status that states that it has not', () => {
  const refusal = answered({ status: 503, stamp: undefined, body: '' });
  assertBroken('REFUSED', run([call({ end: refusal })]));
  assert.deepEqual(broken(run([call({ end: refusal, arrivals: [] })])), []);
});

test('MIXED: a success has no stamp, the stamp of another run, or an incomplete body', () => {
  assertBroken('MIXED', run([call({ end: answered({ stamp: undefined }) })]));
  assertBroken('MIXED', run([call({ end: answered({ stamp: 's1.2' }) })]));
  assertBroken('MIXED', run([call({ end: answered({ body: 'r1' }) })]));
  assertBroken(
    'MIXED',
    run([call({ arrivals: [arrival({ problem: "another request's memory" })] })]),
  );
});

test('ORDER: a stream that ended as complete lacks an event', () => {
  const pieces = [1, 2, 3].map((event) => eventText('r1', event, 3));
  const streaming = { requestClass: classOf('streaming') };
  const whole = call({ ...streaming, end: answered({ body: pieces.join('') }) });
  assert.deepEqual(broken(run([whole])), []);
  const lacking = answered({ body: pieces.slice(0, 2).join('') });
  assertBroken('ORDER', run([call({ ...streaming, end: lacking })]));
});

test('UNASKED: a server received a request that no caller sent', () => {
  assertBroken('UNASKED', run([call({ arrivals: [arrival({ problem: 'another body' })] })]));
  assertBroken('UNASKED', run([], { unasked: ['s1 got r9'] }));
});

test('ROUTE: a request ran at a service that no configuration version allows', () => {
  assert.ok(broken(run([call({ arrivals: [arrival({ service: 'three' })] })])).includes('ROUTE'));
});

test('CONFIG: a request ran under a replaced version after the time to apply the new one; a daemon out of contact is excused', () => {
  const configurations = [FIRST, MOVED];
  assertBroken('CONFIG', run([call()], { configurations }));
  assertBroken('CONFIG', run([call()], { configurations: [FIRST, REVOKED] }));
  const soonAfter = call({ sentMs: 20_100 });
  assert.deepEqual(broken(run([soonAfter], { configurations })), []);
  const cut = {
    scope: 'daemon',
    name: 'd1',
    fromMs: 19_000,
    toMs: 29_000,
    isPlanned: false,
  } as const;
  assert.deepEqual(broken(run([call()], { configurations, disturbances: [cut] })), []);
});

test('DRAIN: a request was sent to a server after the time to learn that it leaves', () => {
  assertBroken('DRAIN', run([call()], { drains: [{ serverId: 's1', ackMs: 25_000 }] }));
  assert.deepEqual(broken(run([call()], { drains: [{ serverId: 's1', ackMs: 29_000 }] })), []);
});

test('DRAIN: a request that was sent in time and waited until the soak accepted its connection', () => {
  const drains = [{ serverId: 's1', ackMs: 25_000 }];
  const waiting = (acceptWaitMs: number) => call({ arrivals: [arrival({ acceptWaitMs })] });
  assert.deepEqual(broken(run([waiting(4_000)], { drains })), []);
  assertBroken('DRAIN', run([waiting(2_000)], { drains }));
});

test('DRAIN: a request that a failed link to its server held, until contactMs after the link was well again', () => {
  const drains = [{ serverId: 's1', ackMs: 25_000 }];
  const link = { scope: 'link', name: 's1', fromMs: 24_000, isPlanned: false } as const;
  const heldUntil = (toMs: number) => ({ drains, disturbances: [{ ...link, toMs }] });
  assert.deepEqual(broken(run([call()], heldUntil(30_000))), []);
  assertBroken('DRAIN', run([call()], heldUntil(30_010 - BOUNDS.contactMs - 1)));
  const ofOther = [{ ...link, name: 's2', toMs: 30_000 }];
  assertBroken('DRAIN', run([call()], { drains, disturbances: ofOther }));
});

test('DRAIN: a daemon forwarded a response that reports that its server leaves, and goes on sending there', () => {
  const leaving = call({ arrivals: [arrival({ reportedLeaving: true })] });
  const later = (sentMs: number, fields: Partial<CallRecord> = {}) => {
    const late = arrival({ atMs: sentMs + 10, stamp: 's1.2' });
    return call({ id: 'r2', sentMs, end: undefined, arrivals: [late], ...fields });
  };
  assertBroken('DRAIN', run([leaving, later(32_100)]));
  assert.deepEqual(broken(run([leaving, later(31_900)])), []);
  assert.deepEqual(broken(run([leaving, later(32_100, { daemon: 'd2' })])), []);
  assert.deepEqual(broken(run([leaving, later(32_100, { incarnation: 2 })])), []);
  const own = { name: 'd1', fromMs: 31_000, toMs: 31_500, isPlanned: false };
  const frozen = run([leaving, later(32_100)], { disturbances: [{ ...own, scope: 'frozen' }] });
  assert.deepEqual(broken(frozen), []);
  const cut = run([leaving, later(32_100)], { disturbances: [{ ...own, scope: 'daemon' }] });
  assertBroken('DRAIN', cut);
  const notPassedOn = call({ arrivals: [arrival({ reportedLeaving: true })], end: undefined });
  assert.deepEqual(broken(run([notPassedOn, later(32_100)])), []);
});

test('BUDGET: a server gets more than two requests from a daemon within the back-off period that it requested from it', () => {
  const refusedArrival = arrival({ isStarted: false, requestedBackOffMs: 3_000, stamp: undefined });
  const refused = call({
    end: answered({ status: 503, stamp: undefined }),
    arrivals: [refusedArrival],
  });
  const during = (count: number, fields: Partial<CallRecord> = {}) =>
    Array.from({ length: count }, (_, index) => {
      const id = `r${index + 2}`;
      const stamp = `s1.${index + 2}`;
      const end = answered({ stamp, body: completeBody(id, stamp) });
      const arrivals = [arrival({ atMs: 31_000 + 100 * index, stamp })];
      return call({ id, sentMs: 30_990, end, arrivals, ...fields });
    });
  assertBroken('BUDGET', run([refused, ...during(3)]));
  assert.deepEqual(broken(run([refused, ...during(2)])), []);
  assert.deepEqual(broken(run([refused, ...during(3, { daemon: 'd2' })])), []);
  const soon = during(3).map((made) => ({ ...made, arrivals: [arrival({ atMs: 30_400 })] }));
  assert.ok(!broken(run([refused, ...soon])).includes('BUDGET'));
  for (const [scope, name] of [
    ['daemon', 'd1'],
    ['server', 's1'],
  ] as const) {
    const span = { fromMs: 30_500, toMs: 30_600, isPlanned: false };
    const disturbances = [{ scope, name, ...span }];
    assert.deepEqual(broken(run([refused, ...during(3)], { disturbances })), []);
  }
});

test('BUDGET: what waited to be accepted was sent before: a back-off that reached nobody does not count, nor do requests sent before it', () => {
  const asking = (endedMs: number, acceptWaitMs: number) =>
    call({
      endedMs,
      end: { kind: 'left', isEarly: true },
      arrivals: [arrival({ isStarted: false, requestedBackOffMs: 3_000, acceptWaitMs })],
    });
  const later = (acceptWaitMs: number) =>
    Array.from({ length: 3 }, (_, index) => {
      const id = `r${index + 2}`;
      const stamp = `s1.${index + 2}`;
      const end = answered({ stamp, body: completeBody(id, stamp) });
      return call({ id, end, arrivals: [arrival({ atMs: 31_000, acceptWaitMs, stamp })] });
    });
  // The call ended 501 ms before its request was accepted: without the wait 500 ms before.
  assert.deepEqual(broken(run([asking(29_509, 1), ...later(0)])), []);
  assertBroken('BUDGET', run([asking(29_510, 1), ...later(0)]));
  assertBroken('BUDGET', run([asking(29_000, 509), ...later(0)]));
  assert.deepEqual(broken(run([asking(30_030, 0), ...later(490)])), []);
  assertBroken('BUDGET', run([asking(30_030, 0), ...later(489)]));
});

test('LOST: requests were closed without a response, with no disturbance other than planned stops', () => {
  const end: CallEnd = { kind: 'closed', reason: 'reset' };
  const lost = Array.from({ length: 5 }, (_, index) => call({ id: `r${index}`, end }));
  assertBroken('LOST', run(lost));
  const stop = { scope: 'daemon', name: 'd1', fromMs: 29_000, toMs: 38_000 } as const;
  assertBroken('LOST', run(lost, { disturbances: [{ ...stop, isPlanned: true }] }));
  assert.deepEqual(broken(run(lost, { disturbances: [{ ...stop, isPlanned: false }] })), []);
  const outOfTime = lost.map((made) => ({ ...made, endedMs: made.sentMs + 990 }));
  assert.deepEqual(broken(run(outOfTime)), []);
  const faulty = lost.map((made) => ({ ...made, arrivals: [arrival({ isServerFault: true })] }));
  assert.deepEqual(broken(run(faulty)), []);
});

test('BUDGET: the repeats within a window exceed the ratio and the slack', () => {
  const turnedAway = (count: number) => {
    const arrivals = Array.from({ length: count }, () => arrival({ isStarted: false }));
    return run([call({ arrivals: [...arrivals, arrival()] })]);
  };
  assert.deepEqual(broken(turnedAway(4)), [], '4 repeats of 4.2');
  assertBroken('BUDGET', turnedAway(5));
  const runs = Array.from({ length: 3 }, () => arrival());
  assertBroken('BUDGET', run([call({ requestClass: classOf('idempotent'), arrivals: runs })]));
});

test('the first prefill that an engine starts is no repeat, every other arrival beyond the first is', () => {
  const reading = arrival({ step: 'prefill', atMs: 1 });
  const second = arrival({ step: 'prefill', atMs: 2 });
  const refused = arrival({ step: 'prefill', isStarted: false, atMs: 0 });
  const runs = arrival({ atMs: 3 });
  assert.equal(repeatsOf({ arrivals: [reading, runs] }).length, 0);
  assert.equal(repeatsOf({ arrivals: [reading, second, runs] }).length, 1);
  assert.equal(repeatsOf({ arrivals: [refused, reading, runs] }).length, 1);
});

test('GONE: servers go on working on requests whose callers have left', () => {
  const requestClass = classOf('streaming');
  const left = (endedMs: number) =>
    Array.from({ length: 8 }, (_, index) =>
      call({
        id: `r${index}`,
        requestClass,
        outputTokens: 300,
        end: { kind: 'left', isEarly: true },
        arrivals: [arrival({ endedMs })],
      }),
    );
  assertBroken('GONE', run(left(32_000)));
  assert.deepEqual(broken(run(left(30_100))), []);
  const late = {
    scope: 'stand-ins',
    name: '',
    fromMs: 30_000,
    toMs: 30_200,
    isPlanned: false,
  } as const;
  assert.deepEqual(broken(run(left(32_000), { disturbances: [late] })), []);
});

test('GONE: requests arrive at servers long after their callers have left; the time until their connections were accepted does not count', () => {
  const arriving = (atMs: number, acceptWaitMs: number) =>
    Array.from({ length: 4 }, (_, index) =>
      call({
        id: `r${index}`,
        end: { kind: 'left', isEarly: true },
        arrivals: [arrival({ atMs, acceptWaitMs, endedMs: atMs })],
      }),
    );
  assertBroken('GONE', run(arriving(30_531, 0)));
  assert.deepEqual(broken(run(arriving(30_530, 0))), []);
  assert.deepEqual(broken(run(arriving(31_530, 1_000))), []);
  assertBroken('GONE', run(arriving(31_531, 1_000)));
});

test('ONE: two holders used the same fence', () => {
  const order = { serverId: 's1', holder: 'd1', fence: 4, atMs: 1 };
  assertBroken('ONE', run([], { orders: [order, { ...order, holder: 'd2' }] }));
  assert.deepEqual(broken(run([], { orders: [order, { ...order, fence: 5, holder: 'd2' }] })), []);
});

test('DUTY: two holders used the same fence, or a window was reported again with different counts', () => {
  const report = { path: '/usage', holder: 'd1', fence: 4, isAccepted: true, atMs: 1 };
  const first = { ...report, body: '{"window":7,"counts":{"a":1}}' };
  const again = { ...first, holder: 'd2', fence: 5 };
  assert.deepEqual(
    broken(run([], { duties: [first, again] })),
    [],
    'the next holder may send the same report again',
  );
  assertBroken('DUTY', run([], { duties: [first, { ...first, holder: 'd2' }] }));
  const other = { ...again, body: '{"window":7,"counts":{"a":2}}' };
  assertBroken('DUTY', run([], { duties: [first, other] }));
  assert.deepEqual(broken(run([], { duties: [first, { ...other, isAccepted: false }] })), []);
});

test('RECOVER: few requests are served in the calm end of a run', () => {
  const atEnd = { sentMs: 56_500, deadlineMs: 59_000, endedMs: 56_600 };
  const refusal = answered({ status: 503, stamp: undefined, body: '' });
  assertBroken('RECOVER', run([call({ ...atEnd, end: refusal, arrivals: [] })]));
  assert.deepEqual(broken(run([call({ ...atEnd })])), []);
});

/** Tries of one request, a second apart, the first `ending` of which crash their servers. */
function triesThatEndServers(tries: number, ending: number): readonly CallRecord[] {
  return Array.from({ length: tries }, (_, index) => {
    const atMs = 10_000 + index * 1_000;
    const own = { atMs, endedMs: atMs + 60, stamp: undefined, serverId: `s${index}` };
    return call({
      id: `r${index}`,
      body: CRASHING_MARK,
      sentMs: atMs - 5,
      endedMs: atMs + 70,
      end: { kind: 'closed', reason: 'closed' },
      arrivals: [arrival({ ...own, isServerFault: true, hasCrashedServer: index < ending })],
    });
  });
}

test('CRASHES: a request that crashed three servers is sent more than three times after contactMs', () => {
  assertBroken('CRASHES', run(triesThatEndServers(10, 3)));
  assert.deepEqual(broken(run(triesThatEndServers(9, 3))), []);
  assert.deepEqual(broken(run(triesThatEndServers(30, 2))), []);
});

test('CRASHES: sends by daemons that are out of contact do not count', () => {
  const disturbance = { name: 'd1', fromMs: 9_000, toMs: 30_000, isPlanned: false };
  const disturbed = { disturbances: [{ ...disturbance, scope: 'daemon' as const }] };
  assert.deepEqual(broken(run(triesThatEndServers(10, 3), disturbed)), []);
});

/** A server reports a limit of 1 request per second from 30 s on. */
const LIMITS = [
  {
    serverId: 's1',
    service: 'one',
    fromMs: 30_000,
    toMs: 60_000,
    changes: [{ atMs: 30_000, perSecond: 1 }],
  },
];

/** Requests of one daemon, evenly spread over a span; every response reports the limit. */
function callsBetween(fromMs: number, toMs: number, count: number): readonly CallRecord[] {
  return Array.from({ length: count }, (_, place) => {
    const atMs = fromMs + (place * (toMs - fromMs)) / count;
    const arrivals = [arrival({ atMs, endedMs: atMs + 10, reportedLimit: true })];
    return call({ sentMs: atMs - 5, endedMs: atMs + 15, deadlineMs: atMs + 900, arrivals });
  });
}

test('LIMIT: a server gets more requests within 4 s than its limit allows, from a daemon that forwarded the limit', () => {
  const first = callsBetween(30_100, 30_200, 1);
  const many = callsBetween(40_000, 43_900, 12);
  assertBroken('LIMIT', run([...first, ...many], { limits: LIMITS }));
  const few = callsBetween(40_000, 43_900, 11);
  assert.deepEqual(broken(run([...first, ...few], { limits: LIMITS })), []);
});

test('LIMIT: the limit is judged from 3 s after it was first reported; then earlier requests in the window count', () => {
  const before = callsBetween(29_500, 30_400, 12);
  assert.deepEqual(broken(run(before, { limits: LIMITS })), []);
  assertBroken('LIMIT', run([...before, ...callsBetween(33_200, 33_300, 1)], { limits: LIMITS }));
});

test('LIMIT: requests do not count if the daemon forwarded no limit, was frozen, or addressed another server', () => {
  const first = callsBetween(30_100, 30_200, 1);
  const many = callsBetween(40_000, 43_900, 12);
  const silent = many.map((made) => ({
    ...made,
    arrivals: made.arrivals.map((at) => ({ ...at, reportedLimit: false })),
  }));
  assert.deepEqual(broken(run(silent, { limits: LIMITS })), []);
  const frozen = {
    scope: 'daemon',
    name: 'd1',
    fromMs: 41_000,
    toMs: 42_000,
    isPlanned: false,
  } as const;
  assert.deepEqual(
    broken(run([...first, ...many], { limits: LIMITS, disturbances: [frozen] })),
    [],
  );
  const misdirected = many.map((made) => ({
    ...made,
    arrivals: made.arrivals.map((at) => ({ ...at, isMisdirected: true, isStarted: false })),
  }));
  const misdirectedRun = run([...first, ...misdirected], { limits: LIMITS });
  assert.ok(!broken(misdirectedRun).includes('LIMIT'));
});

test('LIMIT: a server gets far fewer requests than its limit allows while requests are refused', () => {
  const refused = Array.from({ length: 80 }, (_, place) => {
    const sentMs = 42_000 + place * 200;
    const end = answered({ status: 503, stamp: undefined, body: '' });
    return call({ sentMs, endedMs: sentMs + 5, deadlineMs: sentMs + 900, arrivals: [], end });
  });
  const isUnused = judge(run(refused, { limits: LIMITS })).some(
    ({ promise, detail }) => promise === 'LIMIT' && detail.includes('refused'),
  );
  assert.ok(isUnused);
  const used = callsBetween(41_500, 59_500, 12);
  assert.ok(!broken(run([...refused, ...used], { limits: LIMITS })).includes('LIMIT'));
});

const WITH_ROUTE: ConfigurationVersion = {
  ...FIRST,
  version: 2,
  ackMs: 20_000,
  addedRoutes: new Set(['/added-1/']),
};
const WITHOUT_AGAIN: ConfigurationVersion = { ...FIRST, version: 3, ackMs: 40_000 };

function probe(sentMs: number, hasRoute: boolean, incarnation = 1): RouteProbe {
  return { daemon: 'd1', incarnation, path: '/added-1/', sentMs, endedMs: sentMs + 5, hasRoute };
}

test('CONFIG: a daemon in contact with the store lacks an added route, or has a dropped one, after the time to apply the change', () => {
  const configurations = [FIRST, WITH_ROUTE, WITHOUT_AGAIN];
  const judged = (...probes: RouteProbe[]) => run([], { configurations, probes });
  assertKept(judged(probe(22_400, false), probe(22_600, true), probe(42_400, true)));
  assertBroken('CONFIG', judged(probe(22_600, false)));
  assertBroken('CONFIG', judged(probe(42_600, true)));
});

test('CONFIG: after a disturbance of the store, a daemon has contactMs to apply the current version', () => {
  const disturbance = {
    scope: 'store',
    name: '',
    fromMs: 10_000,
    toMs: 30_000,
    isPlanned: false,
  } as const;
  const configurations = [FIRST, WITH_ROUTE];
  const judged = (sentMs: number) =>
    run([], { configurations, probes: [probe(sentMs, false)], disturbances: [disturbance] });
  assertKept(judged(32_900));
  assertBroken('CONFIG', judged(33_100));
});

test('CONFIG: an incarnation goes back to an older version, out of contact with the store; a new incarnation may', () => {
  const disturbance = {
    scope: 'store',
    name: '',
    fromMs: 20_000,
    toMs: 60_000,
    isPlanned: false,
  } as const;
  const judged = (incarnation: number) =>
    run([], {
      configurations: [FIRST, WITH_ROUTE],
      probes: [probe(21_000, true), probe(22_000, false, incarnation)],
      disturbances: [disturbance],
    });
  assertBroken('CONFIG', judged(1));
  assertKept(judged(2));
});

/** First tries of callers at two daemons, the first of which is cut off; some of those there fail. */
function triesInCut(served: number, failed: number, fields: Partial<CallRecord> = {}) {
  const failure: CallEnd = answered({ status: 503, stamp: undefined });
  const sentMs = 30_000;
  const at = (daemon: string, id: string, end: CallEnd) =>
    call({ id, daemon, sentMs, end, arrivals: [], ...fields });
  return [
    ...Array.from({ length: 100 }, (_, index) => at('d2', `other-${index}`, answered())),
    ...Array.from({ length: served }, (_, index) => at('d1', `served-${index}`, answered())),
    ...Array.from({ length: failed }, (_, index) => at('d1', `failed-${index}`, failure)),
  ];
}

function isCutJudged(calls: readonly CallRecord[], daemons: readonly string[] = ['d1']): boolean {
  const cuts = [{ how: 'reset' as const, daemons: new Set(daemons), fromMs: 20_000, toMs: 40_000 }];
  return judge(run(calls, { cuts })).some(({ detail }) => detail.startsWith('cut off'));
}

test('a daemon that is cut off and serves too few first tries breaks RECOVER', () => {
  assert.equal(isCutJudged(triesInCut(60, 40)), true);
  assert.equal(isCutJudged(triesInCut(70, 30)), false, 'over two thirds as often as the others');
  assert.equal(isCutJudged(triesInCut(3, 10)), false, 'few failures');
});

test('what is not a first try in the cut, once it has lasted, does not break RECOVER', () => {
  assert.equal(isCutJudged(triesInCut(0, 100, { isRetry: true })), false);
  assert.equal(isCutJudged(triesInCut(0, 100, { sentMs: 20_100 })), false);
  assert.equal(isCutJudged(triesInCut(0, 100), ['d1', 'd2']), false, 'nobody has a path');
});

test('a stream that is under way when its daemon is cut off may break, one that begins later may not', () => {
  const streamsFrom = (sentMs: number) =>
    Array.from({ length: 9 }, (_, index) =>
      call({
        id: `r${index}`,
        daemon: 'd1',
        sentMs,
        endedMs: 30_200,
        end: { kind: 'closed', reason: 'reset' },
        arrivals: [arrival({ isStarted: false })],
      }),
    );
  const cuts = [{ how: 'reset' as const, daemons: new Set(['d1']), fromMs: 30_000, toMs: 38_000 }];
  const isLost = (calls: readonly CallRecord[]) => broken(run(calls, { cuts })).includes('LOST');
  assert.equal(isLost(streamsFrom(29_900)), false);
  assert.equal(isLost(streamsFrom(30_100)), true);
  assert.equal(isLost(streamsFrom(29_900).map((stream) => ({ ...stream, daemon: 'd2' }))), true);
});

test('a stream on a connection that a cut has silenced may be worked on after its caller has left, others may not', () => {
  const leftStreams = Array.from({ length: 8 }, (_, index) =>
    call({
      id: `r${index}`,
      requestClass: classOf('streaming'),
      daemon: 'd1',
      outputTokens: 1_000,
      endedMs: 30_500,
      end: { kind: 'left', isEarly: false },
      arrivals: [arrival({ endedMs: 40_000 })],
    }),
  );
  const isGone = (how: 'silent' | 'refuse', fromMs: number) => {
    const cuts = [{ how, daemons: new Set(['d1']), fromMs, toMs: 38_000 }];
    return broken(run(leftStreams, { cuts })).includes('GONE');
  };
  assert.equal(isGone('silent', 30_200), false);
  assert.equal(isGone('silent', 29_000), true, 'the cut began before');
  assert.equal(isGone('refuse', 30_200), true, 'open connections live on');
});

test('GONE: a request that a cut-off daemon forwarded to a frozen one arrives when that one runs again', () => {
  const ENDED_MS = 30_030;
  const THAWED_MS = 33_000;
  const late = (atMs: number) =>
    Array.from({ length: 6 }, (_, index) =>
      call({
        id: `r${index}`,
        end: { kind: 'left', isEarly: true },
        arrivals: [arrival({ atMs })],
      }),
    );
  const frozen = { scope: 'frozen', name: 'd2', fromMs: 29_000, toMs: THAWED_MS } as const;
  const disturbances = [{ ...frozen, isPlanned: false }];
  const cut = { how: 'refuse', daemons: new Set(['d1']), fromMs: 29_000, toMs: 34_000 } as const;
  const cuts = [cut];
  const isBroken = (atMs: number, fields: Partial<RunRecord>) =>
    broken(run(late(atMs), fields)).includes('GONE');
  assert.equal(isBroken(THAWED_MS + 100, { disturbances, cuts }), false);
  assert.equal(isBroken(THAWED_MS + 100, { disturbances }), true);
  assert.equal(isBroken(THAWED_MS + 100, { cuts }), true);
  assert.equal(isBroken(THAWED_MS + 600, { disturbances, cuts }), true);
  assert.equal(isBroken(ENDED_MS + 600, { disturbances, cuts }), true);
});
