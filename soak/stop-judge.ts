/**
 * Judges the stops of daemons: each cut around a stop on its own, and what stopping daemons refuse. Pure. A cut counts unless
 * the server broke off, the time of the request was over, or its server was still at work as the grace period ended.
 */
import type { Arrival, CallRecord, DaemonLife, Disturbance, RunRecord } from './record.js';

/** A cut counts until this long after the grace period. */
const AFTER_GRACE_MS = 1_000;
/** A server that is still at work excuses the cut of a request that was sent so long after the signal. */
const EXCUSED_SENT_MS = 3_000;
/** The last part of the grace period, in which such a server has to be at work. */
const LAST_SHARE_OF_GRACE = 1 / 6;
/** Deadlines are sent in whole milliseconds. */
const ROUNDING_MS = 1;
/** Requests sent so soon after the signal are to be served where they can certainly end in time. */
const TAKEN_SENT_MS = 2_500;
/** A stop needs this last part of its grace period to end answers and connections. */
const STOP_MARGIN_MS = 1_000;
/** Most of what can certainly end in time is taken: more than this share of what other daemons take. */
const MIN_TAKEN_SHARE = 0.5;
/** Fewer requests than this say little of the share that is taken. */
const MIN_OFFERED = 10;
/** Time until a server learns that a connection was cut. */
const CUT_TRANSIT_MS = 100;
const REFUSED_STATUS = 503;

/** What is judged of a run. */
export interface JudgedStops extends Pick<RunRecord, 'lives' | 'disturbances'> {
  readonly bounds: Pick<RunRecord['bounds'], 'graceMs' | 'lossSlackMs' | 'contactMs'>;
}

/** What the server of a request that was cut did at that moment. */
export type ServerState =
  /** The request had been passed on to no server. */
  | { readonly kind: 'none' }
  /** The request waited at the server. */
  | { readonly kind: 'waiting'; readonly forMs: number }
  | { readonly kind: 'at-work'; readonly forMs: number }
  /** Its work had ended, or it had refused the request. */
  | { readonly kind: 'ended'; readonly agoMs: number };

/** Why a cut is allowed. */
export type Excuse = 'server broke off' | 'time was over' | 'server at work' | 'disturbed';

/** A request whose connection ended without a whole answer around the stop of its daemon. */
export interface StopCut {
  readonly call: CallRecord;
  readonly stopMs: number;
  readonly sentAfterMs: number;
  readonly cutAfterMs: number;
  readonly server: ServerState;
  /** Undefined for a request that was lost. */
  readonly excuse: Excuse | undefined;
}

/** How many requests of a kind that could certainly end in time were offered to stopping daemons, and refused. */
export interface StopRefusals {
  readonly kind: 'web requests' | 'streams';
  readonly offered: number;
  readonly refused: number;
  /** Share that other daemons refused meanwhile. */
  readonly refusedElsewhere: number;
}

/** A broken promise of a stop. */
export interface StopFault {
  readonly atMs: number;
  readonly detail: string;
}

type StoppedLife = DaemonLife & { readonly stopMs: number };

/** All cuts around stops; those without an excuse were lost. */
export function stopCuts(calls: readonly CallRecord[], run: JudgedStops): readonly StopCut[] {
  const lifeOf = new Map(stopsOf(run).map((life) => [keyOf(life), life]));
  return calls.flatMap((call) => {
    const life = lifeOf.get(keyOf(call));
    return life === undefined ? [] : cutBy(life, call, run);
  });
}

/** The requests that were lost. */
export function lossFaults(calls: readonly CallRecord[], run: JudgedStops): readonly StopFault[] {
  const lost = stopCuts(calls, run).filter(({ excuse }) => excuse === undefined);
  return lost.map((cut) => ({ atMs: cut.stopMs + cut.cutAfterMs, detail: describeCut(cut) }));
}

/** Refusals of most of what could certainly have ended in time. */
export function refusalFaults(
  calls: readonly CallRecord[],
  run: JudgedStops,
): readonly StopFault[] {
  return stopRefusals(calls, run).flatMap(refusalFault);
}

/** What daemons refused in the first part of their stops, by kind of request. */
export function stopRefusals(
  calls: readonly CallRecord[],
  run: JudgedStops,
): readonly StopRefusals[] {
  const stops = stopsOf(run);
  const known = calls.filter(({ end }) => end?.kind === 'answered' || end?.kind === 'closed');
  const isStream = ({ requestClass }: CallRecord) => requestClass.kind === 'streaming';
  return (['web requests', 'streams'] as const).map((kind) => {
    const ofKind = known.filter((call) => isStream(call) === (kind === 'streams'));
    const offered = ofKind.filter((call) => canEndInTime(call, stops, run));
    const elsewhere = ofKind.filter((call) => isSentBesideStop(call, stops));
    return {
      kind,
      offered: offered.length,
      refused: offered.filter(isRefused).length,
      refusedElsewhere: elsewhere.filter(isRefused).length / Math.max(1, elsewhere.length),
    };
  });
}

/** Counts of the stops of a run, for its report. */
export function describeStops(calls: readonly CallRecord[], run: JudgedStops): readonly string[] {
  const cuts = stopCuts(calls, run);
  const excused = cuts.flatMap(({ excuse }) => excuse ?? []);
  const reasons = [...new Set(excused)].map(
    (reason) => `${reason} ${excused.filter((one) => one === reason).length}`,
  );
  const lost = cuts.length - excused.length;
  const allowed = reasons.length === 0 ? 'none' : reasons.join(', ');
  return [
    `${stopsOf(run).length} stops cut ${cuts.length} requests: lost ${lost}; allowed: ${allowed}`,
    describeLateRequests(calls, stopsOf(run)),
    ...stopRefusals(calls, run).map(
      ({ kind, offered, refused, refusedElsewhere }) =>
        `of ${offered} ${kind} that could certainly end in time, stopping daemons refused ${refused}; others refused ${refusedElsewhere.toFixed(2)} of theirs`,
    ),
  ];
}

/** How requests ended that stopping daemons got so late that no work of a server excuses their cut. */
function describeLateRequests(calls: readonly CallRecord[], stops: readonly StoppedLife[]): string {
  const stopMsOf = new Map(stops.map((life) => [keyOf(life), life.stopMs]));
  const late = calls.filter(
    (call) =>
      call.sentMs > (stopMsOf.get(keyOf(call)) ?? Number.POSITIVE_INFINITY) + EXCUSED_SENT_MS,
  );
  const served = late.filter(({ end }) => end?.kind === 'answered' && end.isComplete).length;
  const refused = late.filter(isRefused).length;
  return `stopping daemons got ${late.length} requests over ${EXCUSED_SENT_MS} ms after the signal: served ${served - refused}, refused ${refused}`;
}

function refusalFault(refusals: StopRefusals): readonly StopFault[] {
  const { kind, offered, refused, refusedElsewhere } = refusals;
  const expected = offered * (1 - refusedElsewhere);
  if (offered < MIN_OFFERED || offered - refused >= MIN_TAKEN_SHARE * expected) return [];
  const detail = `stopping daemons refused ${refused} of ${offered} ${kind} that could certainly end in time; others refused ${refusedElsewhere.toFixed(2)} of theirs`;
  return [{ atMs: 0, detail }];
}

function stopsOf({ lives }: JudgedStops): readonly StoppedLife[] {
  return lives.filter((life): life is StoppedLife => life.stopMs !== undefined);
}

/** Key of one process of a daemon. */
function keyOf({ daemon, incarnation }: Pick<DaemonLife, 'daemon' | 'incarnation'>): string {
  return `${daemon} ${incarnation}`;
}

function cutBy({ stopMs }: StoppedLife, call: CallRecord, run: JudgedStops): readonly StopCut[] {
  const { end, endedMs, sentMs, arrivals } = call;
  const isCut = end?.kind === 'closed' || (end?.kind === 'answered' && !end.isComplete);
  if (!isCut || endedMs === undefined) return [];
  if (endedMs < stopMs || endedMs > stopMs + run.bounds.graceMs + AFTER_GRACE_MS) return [];
  const isPassedOn = arrivals.some(({ atMs }) => atMs <= endedMs);
  if (!isPassedOn && endedMs - sentMs <= run.bounds.lossSlackMs) return [];
  return [
    {
      call,
      stopMs,
      sentAfterMs: sentMs - stopMs,
      cutAfterMs: endedMs - stopMs,
      server: serverStateAt(endedMs, arrivals),
      excuse: excuseOf(call, endedMs, stopMs, run),
    },
  ];
}

function excuseOf(
  call: CallRecord,
  endedMs: number,
  stopMs: number,
  run: JudgedStops,
): Excuse | undefined {
  const { sentMs, deadlineMs, requestClass, arrivals } = call;
  if (arrivals.some(({ isServerFault }) => isServerFault)) return 'server broke off';
  const timeOverMs = Math.min(deadlineMs, sentMs + requestClass.timeoutMs);
  if (endedMs >= timeOverMs - ROUNDING_MS) return 'time was over';
  const graceEndMs = stopMs + run.bounds.graceMs;
  const lastPartMs = graceEndMs - run.bounds.graceMs * LAST_SHARE_OF_GRACE;
  const wasAtWork = arrivals.some(
    ({ isStarted, startedMs = Number.POSITIVE_INFINITY, endedMs: workedUntilMs = graceEndMs }) =>
      isStarted && startedMs <= graceEndMs && workedUntilMs >= lastPartMs,
  );
  if (wasAtWork && sentMs <= stopMs + EXCUSED_SENT_MS) return 'server at work';
  return isDisturbed(call, endedMs, run) ? 'disturbed' : undefined;
}

/** Whether something unplanned disturbed the daemon or a server of a call, or had until shortly before it. */
function isDisturbed(
  { daemon, sentMs, arrivals }: CallRecord,
  endedMs: number,
  { disturbances, bounds }: JudgedStops,
): boolean {
  const isOfCall = ({ scope, name }: Disturbance) =>
    scope === 'server'
      ? arrivals.some(({ serverId }) => serverId === name)
      : (scope === 'daemon' || scope === 'frozen') && name === daemon;
  return disturbances.some(
    (disturbance) =>
      !disturbance.isPlanned &&
      isOfCall(disturbance) &&
      disturbance.fromMs <= endedMs &&
      disturbance.toMs >= sentMs - bounds.contactMs,
  );
}

/** The state of the server that a request was passed on to last. */
function serverStateAt(atMs: number, arrivals: readonly Arrival[]): ServerState {
  const last = arrivals.findLast((arrival) => arrival.atMs <= atMs);
  if (last === undefined) return { kind: 'none' };
  const { startedMs, endedMs } = last;
  // A server learns of the cut itself only after it, and ends its work then.
  if (endedMs !== undefined && endedMs < atMs - CUT_TRANSIT_MS) {
    return { kind: 'ended', agoMs: atMs - endedMs };
  }
  if (startedMs === undefined) return { kind: 'waiting', forMs: atMs - last.atMs };
  return { kind: 'at-work', forMs: atMs - startedMs };
}

function describeCut({ call, sentAfterMs, cutAfterMs, server }: StopCut): string {
  const { id, daemon, requestClass, sentMs, endedMs = sentMs, connection } = call;
  const ranMs = Math.round(endedMs - sentMs);
  const sent = `sent ${Math.round(sentAfterMs)} ms after the signal, cut ${Math.round(cutAfterMs)} ms after it (${ranMs} ms)`;
  const kept =
    connection === undefined ? '' : `, request ${connection.earlierRequests + 1} of its connection`;
  return `${id} (${requestClass.name}) at ${daemon}, ${sent}${kept}; ${describeServer(server, call.arrivals)}`;
}

function describeServer(state: ServerState, arrivals: readonly Arrival[]): string {
  const name = arrivals.at(-1)?.serverId ?? '';
  switch (state.kind) {
    case 'none':
      return 'passed on to no server';
    case 'waiting':
      return `waited at ${name} for ${Math.round(state.forMs)} ms`;
    case 'at-work':
      return `${name} was at work for ${Math.round(state.forMs)} ms`;
    case 'ended':
      return `${name} had ended its work ${Math.round(state.agoMs)} ms before`;
  }
}

/** Whether a request was sent soon after the signal, and its time is over before the stop has to end. */
function canEndInTime(
  { daemon, incarnation, sentMs, deadlineMs, requestClass }: CallRecord,
  stops: readonly StoppedLife[],
  { bounds }: JudgedStops,
): boolean {
  const stop = stops.find((life) => keyOf(life) === keyOf({ daemon, incarnation }));
  if (stop === undefined || sentMs < stop.stopMs || sentMs > stop.stopMs + TAKEN_SENT_MS) {
    return false;
  }
  const timeOverMs = Math.min(deadlineMs, sentMs + requestClass.timeoutMs);
  return timeOverMs <= stop.stopMs + bounds.graceMs - STOP_MARGIN_MS;
}

/** Whether a request was sent, soon after the signal of a stop, to a daemon that was not stopping. */
function isSentBesideStop(call: CallRecord, stops: readonly StoppedLife[]): boolean {
  const { sentMs } = call;
  const own = stops.find((life) => keyOf(life) === keyOf(call));
  if (own !== undefined && sentMs >= own.stopMs) return false;
  return stops.some(({ stopMs }) => sentMs >= stopMs && sentMs <= stopMs + TAKEN_SENT_MS);
}

function isRefused({ end }: CallRecord): boolean {
  return end?.kind === 'answered' && end.status === REFUSED_STATUS;
}
