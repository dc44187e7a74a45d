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
/** Most of what can certainly end in time is served: at least this share of what other daemons serve. */
const MIN_SHARE_OF_OTHERS = 0.5;
/** Where others would serve fewer requests than this, they say little of the share that is served. */
const MIN_EXPECTED = 5;
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

/** How requests of a kind fared that were sent soon after the signal and could certainly end in time. */
export interface StopService {
  readonly kind: 'web requests' | 'streams';
  readonly offered: number;
  readonly served: number;
  readonly refused: number;
  /** Share of such requests that other daemons served meanwhile. */
  readonly servedElsewhere: number;
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

/** Stops that served few of the requests that could certainly end in time. */
export function serviceFaults(
  calls: readonly CallRecord[],
  run: JudgedStops,
): readonly StopFault[] {
  const services = stopServices(calls, run);
  const served = services.reduce((sum, service) => sum + service.served, 0);
  const expected = services.reduce((sum, service) => sum + expectedOf(service), 0);
  if (expected < MIN_EXPECTED || served >= MIN_SHARE_OF_OTHERS * expected) return [];
  return [{ atMs: 0, detail: services.map(describeService).join('; ') }];
}

/** The number of requests that other daemons would have served. */
function expectedOf({ offered, servedElsewhere }: StopService): number {
  return offered * servedElsewhere;
}

/** How the requests fared, by their kind, that stopping daemons got soon after the signal and that can end in time. */
export function stopServices(
  calls: readonly CallRecord[],
  run: JudgedStops,
): readonly StopService[] {
  const stops = stopsOf(run);
  const ended = calls.filter(hasWaited);
  return (['web requests', 'streams'] as const).map((kind) => {
    const ofKind = ended.filter(
      ({ requestClass }) => (requestClass.kind === 'streaming') === (kind === 'streams'),
    );
    const offered = ofKind.filter((call) => canEndInTime(call, stops, run));
    const elsewhere = ofKind.filter((call) => isSentBesideStop(call, stops, run));
    return {
      kind,
      offered: offered.length,
      served: offered.filter(isServed).length,
      refused: offered.filter(isRefused).length,
      servedElsewhere: elsewhere.filter(isServed).length / Math.max(1, elsewhere.length),
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
    ...stopServices(calls, run).map(describeService),
  ];
}

/** How requests ended that stopping daemons got so late that no work of a server excuses their cut. */
function describeLateRequests(calls: readonly CallRecord[], stops: readonly StoppedLife[]): string {
  const stopMsOf = new Map(stops.map((life) => [keyOf(life), life.stopMs]));
  const late = calls.filter(
    (call) =>
      call.sentMs > (stopMsOf.get(keyOf(call)) ?? Number.POSITIVE_INFINITY) + EXCUSED_SENT_MS,
  );
  const served = late.filter(isServed).length;
  const refused = late.filter(isRefused).length;
  return `stopping daemons got ${late.length} requests over ${EXCUSED_SENT_MS} ms after the signal: served ${served}, refused ${refused}`;
}

function describeService({ kind, offered, served, refused, servedElsewhere }: StopService): string {
  return `of ${offered} ${kind} that could certainly end in time, stopping daemons served ${served} and refused ${refused}; others served ${servedElsewhere.toFixed(2)} of theirs`;
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
  const { sentMs, arrivals } = call;
  if (arrivals.some(({ isServerFault }) => isServerFault)) return 'server broke off';
  if (endedMs >= timeOverMs(call) - ROUNDING_MS) return 'time was over';
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
  call: CallRecord,
  stops: readonly StoppedLife[],
  { bounds }: JudgedStops,
): boolean {
  const stop = stops.find((life) => keyOf(life) === keyOf(call));
  if (stop === undefined || !isSoonAfter(call, stop)) return false;
  return timeOverMs(call) <= stop.stopMs + bounds.graceMs - STOP_MARGIN_MS;
}

/** Whether a request with as little time was sent to a daemon that did not stop, soon after the signal to another one. */
function isSentBesideStop(
  call: CallRecord,
  stops: readonly StoppedLife[],
  { bounds }: JudgedStops,
): boolean {
  const own = stops.find((life) => keyOf(life) === keyOf(call));
  if (own !== undefined && call.sentMs >= own.stopMs) return false;
  const isShort = timeOverMs(call) <= call.sentMs + bounds.graceMs - STOP_MARGIN_MS;
  return isShort && stops.some((stop) => isSoonAfter(call, stop));
}

function isSoonAfter({ sentMs }: CallRecord, { stopMs }: StoppedLife): boolean {
  return sentMs >= stopMs && sentMs <= stopMs + TAKEN_SENT_MS;
}

/** When the time of a request is over: its deadline or the time-out of its route. */
function timeOverMs({ sentMs, deadlineMs, requestClass }: CallRecord): number {
  return Math.min(deadlineMs, sentMs + requestClass.timeoutMs);
}

/** Whether a call was sent, and its caller waited for the answer. */
function hasWaited({ end }: CallRecord): boolean {
  switch (end?.kind) {
    case 'answered':
    case 'closed':
      return true;
    case 'left':
      return !end.isEarly;
    case 'not-connected':
    case undefined:
      return false;
  }
}

function isServed({ end }: CallRecord): boolean {
  return end?.kind === 'answered' && end.status === 200 && end.isComplete;
}

function isRefused({ end }: CallRecord): boolean {
  return end?.kind === 'answered' && end.status === REFUSED_STATUS;
}
