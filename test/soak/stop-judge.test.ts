/** Guards against cuts around stops that the soak let pass: three a run, and any near the deadline of a request. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Arrival, CallRecord, DaemonLife, Disturbance } from '../../soak/record.js';
import {
  type JudgedStops,
  lossFaults,
  type ServerState,
  serviceFaults,
  stopCuts,
  stopServices,
} from '../../soak/stop-judge.js';
import { answered, classOf, madeCall } from './support/made-calls.js';

const STOP_MS = 20_000;
const CUT_MS = STOP_MS + 7_300;
const STREAM = { ...classOf('streaming'), timeoutMs: 15_000 };

function life(fields: Partial<DaemonLife> = {}): DaemonLife {
  return {
    daemon: 'd1',
    incarnation: 1,
    startedMs: 0,
    stopMs: STOP_MS,
    killedMs: undefined,
    endedMs: CUT_MS,
    end: undefined,
    readyMs: [],
    peakResidentBytes: 0,
    ...fields,
  };
}

function run(fields: Partial<JudgedStops> = {}): JudgedStops {
  return {
    lives: [life()],
    disturbances: [],
    bounds: { graceMs: 8_000, lossSlackMs: 200, contactMs: 3_000 },
    ...fields,
  };
}

function arrival(fields: Partial<Arrival> = {}): Arrival {
  return {
    atMs: STOP_MS + 3_510,
    acceptWaitMs: 0,
    serverId: 's1',
    service: 'model',
    step: 'run',
    isStarted: true,
    startedMs: STOP_MS + 3_510,
    problem: '',
    endedMs: CUT_MS,
    isServerFault: false,
    hasCrashedServer: false,
    reportedLeaving: false,
    requestedBackOffMs: undefined,
    reportedLimit: false,
    isMisdirected: false,
    stamp: 's1.1',
    ...fields,
  };
}

/** A stream that its daemon took 3.5 s after the signal and cut at the end of the stop. */
function cutCall(fields: Partial<CallRecord> = {}): CallRecord {
  return madeCall({
    requestClass: STREAM,
    sentMs: STOP_MS + 3_500,
    deadlineMs: STOP_MS + 15_000,
    endedMs: CUT_MS,
    end: answered({ isComplete: false }),
    arrivals: [arrival()],
    ...fields,
  });
}

function excuses(call: CallRecord, fields: Partial<JudgedStops> = {}) {
  return stopCuts([call], run(fields)).map(({ excuse }) => excuse ?? 'lost');
}

function stateOf(arrivals: readonly Arrival[]): ServerState | undefined {
  return stopCuts([cutCall({ arrivals: [...arrivals] })], run())[0]?.server;
}

test('one request that is cut by a stop after it was passed on is lost, and reported with its server', () => {
  const connection = { session: 4, earlierRequests: 2 };
  assert.deepEqual(lossFaults([cutCall({ connection })], run()), [
    {
      atMs: CUT_MS,
      detail:
        'r1 (c) at d1, sent 3500 ms after the signal, cut 7300 ms after it (3800 ms), request 3 of its connection; s1 was at work for 3790 ms',
    },
  ]);
});

test('a connection that ends without a head is a cut, and one that ends with a whole answer is none', () => {
  assert.deepEqual(excuses(cutCall({ end: { kind: 'closed', reason: 'reset' } })), ['lost']);
  assert.deepEqual(excuses(cutCall({ end: answered() })), []);
  assert.deepEqual(excuses(cutCall({ end: { kind: 'left', isEarly: false } })), []);
});

test('cuts count from the signal until a second after the grace period, by the process that was signalled', () => {
  assert.deepEqual(excuses(cutCall({ sentMs: STOP_MS - 900, endedMs: STOP_MS - 1 })), []);
  assert.deepEqual(excuses(cutCall({ endedMs: STOP_MS + 9_000 })), ['lost']);
  assert.deepEqual(excuses(cutCall({ endedMs: STOP_MS + 9_001 })), []);
  assert.deepEqual(excuses(cutCall({ incarnation: 2 })), []);
  assert.deepEqual(excuses(cutCall({ daemon: 'd2' })), []);
});

test('a request that was not passed on is lost only later than the slack after it was sent', () => {
  const closed = { end: { kind: 'closed', reason: 'reset' }, arrivals: [] } as const;
  assert.deepEqual(excuses(cutCall({ ...closed, arrivals: [], sentMs: CUT_MS - 200 })), []);
  assert.deepEqual(excuses(cutCall({ ...closed, arrivals: [], sentMs: CUT_MS - 201 })), ['lost']);
});

test('a server at work in the last sixth of the grace period excuses requests sent within 3 s of the signal', () => {
  const atWork = (sentAfterMs: number, fields: Partial<Arrival> = {}) =>
    excuses(cutCall({ sentMs: STOP_MS + sentAfterMs, arrivals: [arrival(fields)] }));
  assert.deepEqual(atWork(3_000), ['server at work']);
  assert.deepEqual(atWork(3_001), ['lost']);
  assert.deepEqual(atWork(-500), ['server at work']);
  assert.deepEqual(atWork(1_000, { endedMs: undefined }), ['server at work']);
  assert.deepEqual(atWork(1_000, { endedMs: STOP_MS + 6_667 }), ['server at work']);
  assert.deepEqual(atWork(1_000, { endedMs: STOP_MS + 6_666 }), ['lost']);
  assert.deepEqual(atWork(1_000, { isStarted: false, startedMs: undefined }), ['lost']);
});

test('a break by the server, the deadline and the time-out of the route excuse a cut, and time that is nearly over does not', () => {
  const broken = arrival({ isServerFault: true });
  assert.deepEqual(excuses(cutCall({ arrivals: [broken] })), ['server broke off']);
  assert.deepEqual(excuses(cutCall({ deadlineMs: CUT_MS })), ['time was over']);
  assert.deepEqual(excuses(cutCall({ deadlineMs: CUT_MS + 20 })), ['lost']);
  const requestClass = { ...STREAM, timeoutMs: 3_800 };
  assert.deepEqual(excuses(cutCall({ requestClass })), ['time was over']);
  assert.deepEqual(excuses(cutCall({ requestClass: { ...STREAM, timeoutMs: 3_820 } })), ['lost']);
});

test('an unplanned disturbance of the daemon or the server excuses a cut, a stop of the daemon or one of another does not', () => {
  const disturbance = (fields: Partial<Disturbance>): JudgedStops['disturbances'] => [
    { scope: 'daemon', name: 'd1', fromMs: CUT_MS - 10, toMs: CUT_MS, isPlanned: false, ...fields },
  ];
  const of = (fields: Partial<Disturbance>) =>
    excuses(cutCall(), { disturbances: disturbance(fields) });
  assert.deepEqual(of({}), ['disturbed']);
  assert.deepEqual(of({ scope: 'server', name: 's1' }), ['disturbed']);
  assert.deepEqual(of({ isPlanned: true }), ['lost']);
  assert.deepEqual(of({ name: 'd2' }), ['lost']);
  assert.deepEqual(of({ scope: 'server', name: 's2' }), ['lost']);
  assert.deepEqual(of({ fromMs: 0, toMs: STOP_MS + 500 }), ['disturbed']);
  assert.deepEqual(of({ fromMs: 0, toMs: STOP_MS + 499 }), ['lost']);
});

test('the state of the server at a cut is none, waiting, at work or ended', () => {
  assert.deepEqual(stateOf([]), { kind: 'none' });
  const waiting = arrival({ isStarted: false, startedMs: undefined });
  assert.deepEqual(stateOf([waiting]), { kind: 'waiting', forMs: 3_790 });
  assert.deepEqual(stateOf([arrival()]), { kind: 'at-work', forMs: 3_790 });
  assert.deepEqual(stateOf([arrival({ endedMs: CUT_MS - 500 })]), { kind: 'ended', agoMs: 500 });
});

/** Web requests that were sent a second after the signal. */
function webCalls(count: number, fields: Partial<CallRecord> = {}): readonly CallRecord[] {
  const sentMs = STOP_MS + 1_000;
  const made = { sentMs, deadlineMs: sentMs + 3_000, endedMs: sentMs + 5, ...fields };
  return Array.from({ length: count }, (_, index) => madeCall({ id: `r${index}`, ...made }));
}

const REFUSED = { end: answered({ status: 503 }) };
const LEFT = { end: { kind: 'left', isEarly: false } } as const;
const ELSEWHERE = { daemon: 'd2' };

test('a stop that serves under half of what can certainly end in time, as others serve it, is a fault', () => {
  const calls = (refused: number) => [
    ...webCalls(20 - refused),
    ...webCalls(refused, REFUSED),
    ...webCalls(20, ELSEWHERE),
  ];
  assert.deepEqual(serviceFaults(calls(10), run()), []);
  assert.deepEqual(serviceFaults(calls(11), run()), [
    {
      atMs: 0,
      detail:
        'of 20 web requests that could certainly end in time, stopping daemons served 9 and refused 11; others served 1.00 of theirs; of 0 streams that could certainly end in time, stopping daemons served 0 and refused 0; others served 0.00 of theirs',
    },
  ]);
  const few = (count: number) => [...webCalls(count, REFUSED), ...webCalls(20, ELSEWHERE)];
  assert.deepEqual(serviceFaults(few(4), run()), []);
  assert.equal(serviceFaults(few(5), run()).length, 1);
});

test('web requests and streams are expected together, each as others serve its kind', () => {
  const times = { requestClass: STREAM, deadlineMs: STOP_MS + 6_000 };
  const streams = [
    ...webCalls(5, { ...times, ...LEFT }),
    ...webCalls(2, { ...times, ...ELSEWHERE }),
    ...webCalls(2, { ...times, ...ELSEWHERE, ...LEFT }),
  ];
  const web = (refused: number) => [...webCalls(4 - refused), ...webCalls(refused, REFUSED)];
  const others = webCalls(4, ELSEWHERE);
  assert.deepEqual(serviceFaults([...streams, ...web(0), ...others], run()), []);
  assert.equal(serviceFaults([...streams, ...web(1), ...others], run()).length, 1);
});

test('requests that a stop takes and that end without a whole answer are not served', () => {
  const calls = [...webCalls(9), ...webCalls(11, LEFT), ...webCalls(20, ELSEWHERE)];
  assert.equal(serviceFaults(calls, run()).length, 1);
});

test('what other daemons do not serve meanwhile is not expected of one that stops', () => {
  const others = [...webCalls(8, ELSEWHERE), ...webCalls(12, { ...ELSEWHERE, ...LEFT })];
  const calls = (refused: number) => [
    ...webCalls(20 - refused),
    ...webCalls(refused, REFUSED),
    ...others,
  ];
  assert.deepEqual(serviceFaults(calls(16), run()), []);
  assert.equal(serviceFaults(calls(17), run()).length, 1);
});

test('only requests sent within 2.5 s of the signal are expected, whose time is over before the end of the stop', () => {
  const offered = (fields: Partial<CallRecord>) =>
    stopServices(webCalls(1, fields), run()).map((service) => service.offered);
  assert.deepEqual(offered({}), [1, 0]);
  assert.deepEqual(offered({ sentMs: STOP_MS - 1 }), [0, 0]);
  assert.deepEqual(offered({ sentMs: STOP_MS + 2_501 }), [0, 0]);
  const stream = { requestClass: STREAM };
  assert.deepEqual(offered({ ...stream, deadlineMs: STOP_MS + 7_000 }), [0, 1]);
  assert.deepEqual(offered({ ...stream, deadlineMs: STOP_MS + 7_001 }), [0, 0]);
  assert.deepEqual(offered({ end: { kind: 'left', isEarly: true } }), [0, 0]);
});

test('requests with more time than a stop has say nothing of what others serve', () => {
  const stream = { requestClass: STREAM, ...ELSEWHERE };
  const short = webCalls(1, { ...stream, deadlineMs: STOP_MS + 8_000 });
  const long = webCalls(3, { ...stream, ...LEFT, deadlineMs: STOP_MS + 8_001 });
  const [, streams] = stopServices([...short, ...long], run());
  assert.equal(streams?.servedElsewhere, 1);
});
