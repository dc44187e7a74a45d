/**
 * Judges whether daemons observe the request rate limits that servers report, and whether they use them. Pure.
 *
 * Overuse: from `contactMs` after a server first reported a limit, it receives within any 4 s at most 1.5 times the limit
 * plus 5 requests from daemons that forwarded a response with the limit at least 0.5 s earlier.
 * Lack of use: a server receives far fewer requests than its limit allows, while requests are refused because no server
 * has capacity.
 */
import type { Arrival, CallRecord, LimitNotice, RunRecord, Scope } from './record.js';

const WINDOW_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** A daemon has to observe a limit from this long after it forwarded a response with the limit. */
const LIMIT_LEARN_MS = 500;
/**
 * Use is judged from this long after the limit began: requests sent before count, and another daemon may take over
 * the grant of permits.
 */
const USE_JUDGED_AFTER_MS = 11_000;
/** Share of a limit that must be used while requests are refused for lack of servers. */
const MIN_USED_SHARE = 0.25;
/** Refusals per second and server that count as a lack of servers. */
const SHORTAGE_REFUSALS_PER_SECOND = 2;
const MIN_USE_SPAN_MS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;

interface ArrivalAt {
  readonly call: CallRecord;
  readonly arrival: Arrival;
}

/** A limit that daemons exceeded or did not use. */
export interface LimitFault {
  readonly atMs: number;
  readonly detail: string;
}

/** Whether a daemon, a server or another part was disturbed in a span. */
type IsDisturbed = (
  scope: Scope,
  name: string,
  span: { readonly fromMs: number; readonly toMs: number },
) => boolean;

export function limitFaults(
  calls: readonly CallRecord[],
  run: RunRecord,
  isDisturbed: IsDisturbed,
): readonly LimitFault[] {
  return run.limits.flatMap((notice) => {
    const arrivals = arrivalsAt(calls, notice.serverId);
    const overused = overuseOf(notice, arrivals, run, isDisturbed);
    const unused = unusedOf(notice, arrivals, calls, run, isDisturbed);
    return [overused ?? [], unused ?? []].flat();
  });
}

function arrivalsAt(calls: readonly CallRecord[], serverId: string): readonly ArrivalAt[] {
  return calls
    .flatMap((call) => call.arrivals.map((arrival) => ({ call, arrival })))
    .filter(({ arrival }) => arrival.serverId === serverId && !arrival.isMisdirected)
    .sort((left, right) => left.arrival.atMs - right.arrival.atMs);
}

/** The time at which each incarnation of a daemon first forwarded a response with the limit. */
function limitKnownMsByIncarnation(arrivals: readonly ArrivalAt[]): ReadonlyMap<string, number> {
  const knownMs = new Map<string, number>();
  for (const { call, arrival } of arrivals) {
    const { end, endedMs } = call;
    const isForwarded =
      arrival.reportedLimit && end?.kind === 'answered' && end.stamp === arrival.stamp;
    if (!isForwarded || arrival.stamp === undefined || endedMs === undefined) continue;
    const incarnation = incarnationOf(call);
    knownMs.set(incarnation, Math.min(endedMs, knownMs.get(incarnation) ?? endedMs));
  }
  return knownMs;
}

function incarnationOf({ daemon, incarnation }: CallRecord): string {
  return `${daemon} ${incarnation}`;
}

function overuseOf(
  notice: LimitNotice,
  arrivals: readonly ArrivalAt[],
  run: RunRecord,
  isDisturbed: IsDisturbed,
): LimitFault | undefined {
  const firstNamed = arrivals.find(
    ({ arrival }) => arrival.reportedLimit && arrival.atMs >= notice.fromMs - WINDOW_MS,
  );
  if (firstNamed === undefined) return undefined;
  const fromMs = Math.max(notice.fromMs, firstNamed.arrival.atMs) + run.bounds.contactMs;
  const knownMs = limitKnownMsByIncarnation(
    arrivals.filter(({ arrival }) => arrival.atMs >= notice.fromMs - WINDOW_MS),
  );
  for (const { arrival: last } of arrivals) {
    if (last.atMs < fromMs || last.atMs > notice.toMs) continue;
    const span = { fromMs: last.atMs - WINDOW_MS, toMs: last.atMs };
    if (isDisturbed('stand-ins', '', span) || isDisturbed('server', notice.serverId, span))
      continue;
    const counted = arrivals.filter(({ call, arrival }) => {
      const knownSinceMs = knownMs.get(incarnationOf(call)) ?? Number.POSITIVE_INFINITY;
      const isWithin = arrival.atMs > span.fromMs && arrival.atMs <= span.toMs;
      const isLimitKnown = knownSinceMs + LIMIT_LEARN_MS <= last.atMs;
      return isWithin && isLimitKnown && !isDisturbed('daemon', call.daemon, span);
    });
    const allowed =
      LIMIT_FACTOR * highestIn(notice, span) * (WINDOW_MS / MILLISECONDS_PER_SECOND) + LIMIT_SLACK;
    if (counted.length <= allowed) continue;
    const detail = `${notice.serverId} got ${counted.length} requests in 4 s, ${allowed.toFixed(1)} allowed`;
    return { atMs: last.atMs, detail };
  }
  return undefined;
}

/** The highest limit in force in a span: requests sent before a limit was lowered are judged by the former limit. */
function highestIn(notice: LimitNotice, span: { readonly fromMs: number; readonly toMs: number }) {
  const before = notice.changes.filter(({ atMs }) => atMs <= span.fromMs).at(-1);
  const within = notice.changes.filter(({ atMs }) => atMs > span.fromMs && atMs <= span.toMs);
  const inForce = before === undefined ? within : [before, ...within];
  return Math.max(0, ...inForce.map(({ perSecond }) => perSecond));
}

function unusedOf(
  notice: LimitNotice,
  arrivals: readonly ArrivalAt[],
  calls: readonly CallRecord[],
  run: RunRecord,
  isDisturbed: IsDisturbed,
): LimitFault | undefined {
  const fromMs = notice.fromMs + USE_JUDGED_AFTER_MS;
  const span = { fromMs, toMs: notice.toMs };
  const seconds = (notice.toMs - fromMs) / MILLISECONDS_PER_SECOND;
  if (notice.toMs - fromMs < MIN_USE_SPAN_MS) return undefined;
  const daemons = [...new Set(calls.map(({ daemon }) => daemon))];
  const isCalm =
    !isDisturbed('stand-ins', '', span) &&
    !isDisturbed('store', '', span) &&
    !isDisturbed('server', notice.serverId, span) &&
    !daemons.some((daemon) => isDisturbed('daemon', daemon, span));
  if (!isCalm) return undefined;
  const isWithin = (atMs: number) => atMs >= span.fromMs && atMs < span.toMs;
  const refused = calls.filter(
    ({ end, sentMs, arrivals: sent }) =>
      isWithin(sentMs) && sent.length === 0 && end?.kind === 'answered' && end.status === 503,
  );
  const ofService = refused.filter(({ requestClass }) =>
    run.configurations.some(({ serviceOf }) => serviceOf.get(requestClass.name) === notice.service),
  );
  const servers = new Set(run.limits.map(({ serverId }) => serverId)).size;
  if (ofService.length < SHORTAGE_REFUSALS_PER_SECOND * seconds * servers) return undefined;
  const lowest = Math.min(...notice.changes.map(({ perSecond }) => perSecond));
  const used = arrivals.filter(({ arrival }) => isWithin(arrival.atMs)).length;
  if (used >= MIN_USED_SHARE * lowest * seconds) return undefined;
  const detail = `${notice.serverId} got ${used} requests in ${seconds.toFixed(1)} s at ${lowest} a second, while ${ofService.length} were refused`;
  return { atMs: fromMs, detail };
}
