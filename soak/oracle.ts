/**
 * Judges a run by the promises of the fleet, from the records of callers, servers and the store. Pure. Promises that hold
 * only without disturbances are judged outside the disturbances that the run recorded.
 */
import { PATHS } from '../platform/names.js';
import { routeFaults } from './configuration-judge.js';
import { unservedCuts } from './cut-off-judge.js';
import { arrivalsAfterEnd, sentAfterStalls, sentBy } from './held-request-judge.js';
import { lifeFaults } from './life-judge.js';
import { partsSentOn, soundRequestsLost } from './part-judge.js';
import { limitFaults } from './rate-limit-judge.js';
import type {
  Arrival,
  CallRecord,
  CutRecord,
  Disturbance,
  RequestClass,
  RunRecord,
  Scope,
} from './record.js';
import { CRASHING_MARK, completeBody, EVENT_GAP_MS } from './response-bodies.js';
import { unservedSkews } from './skew-judge.js';
import { lossFaults, serviceFaults, stopCuts } from './stop-judge.js';
import { hasAllEvents, resumptionFaults, versionFaults } from './stream-judge.js';

/** The promises; docs/SOAK.md describes each in a sentence. */
export type PromiseName =
  | 'TWICE'
  | 'REFUSED'
  | 'MIXED'
  | 'ORDER'
  | 'UNASKED'
  | 'ROUTE'
  | 'LOST'
  | 'DRAIN'
  | 'CONFIG'
  | 'BUDGET'
  | 'GONE'
  | 'ONE'
  | 'DUTY'
  | 'CRASHES'
  | 'LIMIT'
  /** A daemon's process has ended by itself or has not stopped, or a daemon in touch is not ready. */
  | 'FAULT'
  | 'RECOVER';

/** A case in which a promise was broken. */
export interface Violation {
  readonly promise: PromiseName;
  readonly atMs: number;
  readonly detail: string;
}

/** Statuses that state that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Work may continue for this long after its caller has left. */
const GONE_SLACK_MS = 500;
const GONE_MAX_ARRIVALS = 3;
const GONE_MIN_WORKED_ON = 3;
const GONE_MAX_SHARE = 0.25;
/** The last part of a run has no faults; a quarter of its requests must be served. */
const RECOVER_SPAN_MS = 4_000;
const RECOVER_MIN_SHARE = 0.25;
/** Allowance for requests in transit when a change is acknowledged, and for slow scheduling on a loaded machine. */
const TRANSIT_MS = 500;
/** Maximum number of cases listed in the detail of a violation. */
const MAX_CASES_SHOWN = 5;
/** A few requests may be sent at the moment at which a daemon closes their connection. */
const LOST_MAX = 3;
/** Time from a server's refusal until its daemon must observe the back-off period that it requests. */
const BACK_OFF_GRACE_MS = 500;
const BACK_OFF_MAX_ARRIVALS = 2;
/** Servers that one request may crash, and how often it may be sent after that. */
const MAX_CRASHES = 3;
const MAX_SENT_AFTER_CRASHES = 3;

/** All violations in a run. */
export function judge(run: RunRecord): readonly Violation[] {
  const calls = [...run.calls.values()].sort((left, right) => left.sentMs - right.sentMs);
  return [
    ...run.unasked.map((detail): Violation => ({ promise: 'UNASKED', atMs: 0, detail })),
    ...calls.flatMap((call) => judgeCall(call, run)),
    ...judgeStops(calls, run),
    ...judgeLost(calls, run),
    ...judgeStreams(calls, run),
    ...judgeLeavingAnswers(calls, run),
    ...judgeBackOffs(calls, run),
    ...judgeLimits(calls, run),
    ...judgeRoutes(run),
    ...judgeBudget(calls, run),
    ...judgeGone(calls, run),
    ...judgeOrders(run),
    ...judgeDuties(run),
    ...judgeCrashes(calls, run),
    ...judgeCrashingParts(calls, run),
    ...judgeRecovery(calls, run),
    ...judgeCuts(calls, run),
    ...judgeSkews(calls, run),
    ...lifeFaults(run).map((fault): Violation => ({ promise: 'FAULT', ...fault })),
    ...arrivalsAfterEnd(calls, run).map((found): Violation => ({ promise: 'GONE', ...found })),
    ...sentAfterStalls(calls, run).map((found): Violation => ({ promise: 'DRAIN', ...found })),
  ];
}

/** Whether a daemon was running and in contact with the store during a span and for `contactMs` before it. */
function isInTouch(run: RunRecord, daemon: string, fromMs: number, toMs: number): boolean {
  const isCalm = (scope: Scope, name: string) => !isDisturbed(run, { scope, name, fromMs, toMs });
  return isCalm('stand-ins', '') && isCalm('store', '') && isCalm('daemon', daemon);
}

/**
 * Whether something was disturbed in a span or in the `contactMs` before it, within which it may still be recovering.
 */
function isDisturbed(run: RunRecord, span: Omit<Disturbance, 'isPlanned'>): boolean {
  return run.disturbances.some(
    ({ scope, name, fromMs, toMs }) =>
      scope === span.scope &&
      name === span.name &&
      fromMs <= span.toMs &&
      toMs >= span.fromMs - run.bounds.contactMs,
  );
}

function judgeCall(call: CallRecord, run: RunRecord): readonly Violation[] {
  const violations: Violation[] = [];
  const addViolation = (promise: PromiseName, detail: string) =>
    violations.push({ promise, atMs: call.sentMs, detail: `${call.id} ${detail}` });
  const runs = call.arrivals.filter(({ step, isStarted }) => step === 'run' && isStarted);
  if (!isRepeatable(call.requestClass) && runs.length > 1) {
    addViolation('TWICE', `ran at ${runs.map(({ serverId }) => serverId).join(' and ')}`);
  }
  if (runs.length > call.requestClass.attempts) {
    addViolation('BUDGET', `ran ${runs.length} times, ${call.requestClass.attempts} allowed`);
  }
  for (const { problem, serverId } of call.arrivals) {
    if (problem !== '')
      addViolation(problem.includes('memory') ? 'MIXED' : 'UNASKED', `${serverId}: ${problem}`);
  }
  const { end } = call;
  if (end?.kind === 'answered') {
    judgeAnswer(call, end, runs, addViolation);
    if (call.requestClass.kind !== 'idempotent' && runs.length > 0 && isRefusal(end)) {
      addViolation('REFUSED', `ran at ${runs[0]?.serverId} and was answered ${end.status}`);
    }
  }
  judgeVersions(call, run, addViolation);
  judgeDrain(call, run, addViolation);
  return violations;
}

function isRepeatable({ kind, isResumable }: RequestClass): boolean {
  return kind === 'idempotent' || isResumable;
}

type Answered = Extract<NonNullable<CallRecord['end']>, { kind: 'answered' }>;
type AddViolation = (promise: PromiseName, detail: string) => void;

function isRefusal({ status, stamp }: Answered): boolean {
  return NOT_RUN_STATUSES.has(status) && stamp === undefined;
}

function judgeAnswer(
  call: CallRecord,
  end: Answered,
  runs: readonly Arrival[],
  addViolation: AddViolation,
): void {
  if (end.status < 200 || end.status > 599) {
    addViolation('MIXED', `status ${end.status}, which no final answer has`);
    return;
  }
  if (end.status >= 300 || !end.isComplete) return;
  if (end.stamp === undefined) {
    addViolation('MIXED', 'a success without a stamp');
    return;
  }
  if (!runs.some(({ stamp }) => stamp === end.stamp)) {
    addViolation('MIXED', `the stamp ${end.stamp} of no run of it`);
    return;
  }
  if (call.requestClass.kind !== 'streaming') {
    if (end.body !== completeBody(call.id, end.stamp)) addViolation('MIXED', 'not the whole body');
    return;
  }
  if (!hasAllEvents(call, end.body))
    addViolation('ORDER', 'a stream that ended as whole lacks or repeats pieces');
}

/**
 * Judges services and API keys: a daemon never uses one that no version allowed, and a daemon in contact with the store
 * uses none that only versions older than the settled one allowed.
 */
function judgeVersions(call: CallRecord, run: RunRecord, addViolation: AddViolation): void {
  const { requestClass, apiKey, daemon } = call;
  for (const arrival of call.arrivals) {
    if (!arrival.isStarted) continue;
    const ofAll = run.configurations.map(({ serviceOf }) => serviceOf.get(requestClass.name));
    if (!ofAll.includes(arrival.service))
      addViolation('ROUTE', `ran at service ${arrival.service}`);
    if (!run.configurations.some(({ tenantOfKey }) => tenantOfKey.has(apiKey))) {
      addViolation('ROUTE', 'ran with a key that no version knows');
    }
    const settledMs = call.sentMs - run.bounds.configApplyMs - TRANSIT_MS;
    const newest = run.configurations.filter(({ ackMs }) => ackMs <= settledMs).at(-1);
    if (newest === undefined || !isInTouch(run, daemon, call.sentMs, arrival.atMs)) continue;
    const acceptable = run.configurations.filter(({ version }) => version >= newest.version);
    if (!acceptable.some(({ serviceOf }) => serviceOf.get(requestClass.name) === arrival.service)) {
      addViolation('CONFIG', `ran at ${arrival.service}, as before version ${newest.version}`);
    }
    if (!acceptable.some(({ tenantOfKey }) => tenantOfKey.has(apiKey))) {
      addViolation('CONFIG', `ran with a key that version ${newest.version} took away`);
    }
  }
}

/** Whether the link to the server failed in the `contactMs` before the arrival, so that the request may have been held there. */
function isHeldByLink(run: RunRecord, { serverId, atMs }: Arrival): boolean {
  return isDisturbed(run, { scope: 'link', name: serverId, fromMs: atMs, toMs: atMs });
}

function judgeDrain(call: CallRecord, run: RunRecord, addViolation: AddViolation): void {
  for (const arrival of call.arrivals) {
    const { serverId } = arrival;
    const atMs = sentBy(arrival);
    const notice = run.drains.find((drain) => drain.serverId === serverId);
    if (notice === undefined || atMs <= notice.ackMs + run.bounds.drainMs + TRANSIT_MS) continue;
    // A daemon that was out of contact at the notice learns it after it is back in contact.
    const knownFromMs = Math.max(notice.ackMs, atMs - run.bounds.drainMs - TRANSIT_MS);
    if (!isInTouch(run, call.daemon, knownFromMs, atMs) || isHeldByLink(run, arrival)) continue;
    addViolation(
      'DRAIN',
      `sent to ${serverId} ${Math.round(atMs - notice.ackMs)} ms after it said that it leaves`,
    );
  }
}

/** Key of an incarnation of a daemon and a server. */
function pairOf({ daemon, incarnation }: CallRecord, { serverId }: Arrival): string {
  return `${daemon} ${incarnation} ${serverId}`;
}

/**
 * A daemon that forwarded a response that reports that its server leaves sends nothing more there after `drainMs`,
 * whether it is in contact with the store or not.
 */
function judgeLeavingAnswers(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const knownSinceMs = new Map<string, number>();
  for (const call of calls) {
    const { end, endedMs = run.endMs } = call;
    const forwarded = call.arrivals.find(
      ({ reportedLeaving, stamp }) =>
        reportedLeaving && end?.kind === 'answered' && stamp !== undefined && stamp === end.stamp,
    );
    if (forwarded === undefined) continue;
    const pair = pairOf(call, forwarded);
    knownSinceMs.set(pair, Math.min(endedMs, knownSinceMs.get(pair) ?? endedMs));
  }
  return calls.flatMap((call) =>
    call.arrivals.flatMap((arrival): readonly Violation[] => {
      const fromMs = knownSinceMs.get(pairOf(call, arrival));
      if (fromMs === undefined || call.sentMs <= fromMs + run.bounds.drainMs) return [];
      const span = { fromMs, toMs: arrival.atMs };
      if (isDisturbed(run, { scope: 'frozen', name: call.daemon, ...span })) return [];
      if (isDisturbed(run, { scope: 'stand-ins', name: '', ...span })) return [];
      const agoMs = Math.round(arrival.atMs - fromMs);
      const detail = `${call.id} sent to ${arrival.serverId} ${agoMs} ms after an answer said that it leaves`;
      return [{ promise: 'DRAIN', atMs: arrival.atMs, detail }];
    }),
  );
}

/**
 * A server that requested a back-off period from a daemon receives at most `BACK_OFF_MAX_ARRIVALS` requests from it
 * within that period.
 */
function judgeBackOffs(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const arrivalsOf = new Map<string, Arrival[]>();
  for (const call of calls) {
    for (const arrival of call.arrivals) {
      const pair = pairOf(call, arrival);
      const known = arrivalsOf.get(pair);
      if (known === undefined) arrivalsOf.set(pair, [arrival]);
      else known.push(arrival);
    }
  }
  return calls.flatMap((call) =>
    call.arrivals.flatMap((refused): readonly Violation[] => {
      const { requestedBackOffMs, atMs, serverId } = refused;
      if (requestedBackOffMs === undefined) return [];
      const span = { fromMs: atMs + BACK_OFF_GRACE_MS, toMs: atMs + requestedBackOffMs };
      // A daemon closes the connection of a call that has ended, so an answer to one that was held up reaches nobody.
      if (call.endedMs !== undefined && isHeldUp(refused, call.endedMs)) return [];
      const isWithin = (arrival: Arrival) =>
        arrival.atMs - arrival.acceptWaitMs > span.fromMs && arrival.atMs < span.toMs;
      const during = (arrivalsOf.get(pairOf(call, refused)) ?? []).filter(isWithin);
      if (during.length <= BACK_OFF_MAX_ARRIVALS) return [];
      // If the link withholds the server's responses, daemons do not learn of the back-off.
      const excuses = [
        { scope: 'daemon', name: call.daemon },
        { scope: 'server', name: serverId },
        { scope: 'stand-ins', name: '' },
      ] as const;
      if (excuses.some((excuse) => isDisturbed(run, { ...excuse, ...span }))) return [];
      const backOff = `${serverId} asked ${call.daemon} for ${requestedBackOffMs} ms of rest by ${call.id}`;
      const how = `${call.end?.kind ?? 'open'}, ${describeTimes(refused, call.endedMs ?? atMs)}`;
      const got = during.slice(0, MAX_CASES_SHOWN).map((arrival) => describeTimes(arrival, atMs));
      const detail = `${backOff} (${how}) and got ${during.length} requests: ${got.join('; ')}`;
      return [{ promise: 'BUDGET', atMs, detail }];
    }),
  );
}

/** When a request arrived, from another event on, and how much of that its connection waited to be accepted. */
function describeTimes({ atMs, acceptWaitMs }: Arrival, fromMs: number): string {
  return `${Math.round(atMs - fromMs)} ms later, ${Math.round(acceptWaitMs)} ms of it until accepted`;
}

function judgeLimits(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const isDisturbedIn = (scope: Scope, name: string, span: { fromMs: number; toMs: number }) =>
    isDisturbed(run, { scope, name, ...span });
  return limitFaults(calls, run, isDisturbedIn).map((fault) => ({ promise: 'LIMIT', ...fault }));
}

/**
 * A daemon in contact applies no version that was replaced too long ago, and no incarnation goes back to an older
 * version.
 */
function judgeRoutes(run: RunRecord): readonly Violation[] {
  const faults = routeFaults(run, (daemon, fromMs, toMs) => isInTouch(run, daemon, fromMs, toMs));
  return faults.map((fault) => ({ promise: 'CONFIG', ...fault }));
}

/** The cuts of a call's daemon that began while the call was open. */
function cutsBegunIn(
  { daemon, sentMs, endedMs = sentMs }: CallRecord,
  { cuts }: RunRecord,
): readonly CutRecord[] {
  return cuts.filter(
    (cut) => cut.daemons.has(daemon) && cut.fromMs >= sentMs && cut.fromMs <= endedMs,
  );
}

function judgeStreams(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const isCalm = ({ daemon, sentMs, endedMs = sentMs }: CallRecord) =>
    isInTouch(run, daemon, sentMs, endedMs);
  return [
    ...versionFaults(calls).map((fault) => ({ promise: 'ORDER' as const, ...fault })),
    ...resumptionFaults(calls, run, isCalm).map((fault) => ({
      promise: 'LOST' as const,
      ...fault,
    })),
  ];
}

function judgeStops(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  if (!run.hasStrictStops) return [];
  return [
    ...lossFaults(calls, run).map((fault): Violation => ({ promise: 'LOST', ...fault })),
    ...serviceFaults(calls, run).map((fault): Violation => ({ promise: 'RECOVER', ...fault })),
  ];
}

function judgeLost(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const cuts = run.hasStrictStops ? stopCuts(calls, run) : [];
  const byStops = new Set(cuts.map(({ call }) => call.id));
  const lost = calls.filter((call) => !byStops.has(call.id) && isLost(call, run));
  if (lost.length <= LOST_MAX) return [];
  const detail = `${lost.length} requests were read and closed without an answer: ${lost
    .slice(0, MAX_CASES_SHOWN)
    .map(({ id, daemon }) => `${id} at ${daemon}`)
    .join(', ')}`;
  return [{ promise: 'LOST', atMs: lost[0]?.sentMs ?? 0, detail }];
}

function isLost(call: CallRecord, run: RunRecord): boolean {
  const { end, endedMs, sentMs, daemon, arrivals } = call;
  const isCut = end?.kind === 'closed' || (end?.kind === 'answered' && !end.isComplete);
  if (!isCut || endedMs === undefined) return false;
  // Near its deadline or time-out, a request may be closed without a response.
  const heldMs = endedMs - sentMs;
  if (heldMs > Math.min(call.deadlineMs - sentMs, call.requestClass.timeoutMs) - TRANSIT_MS) {
    return false;
  }
  if (arrivals.some(({ isServerFault }) => isServerFault)) return false;
  if (arrivals.length === 0 && endedMs - sentMs <= run.bounds.lossSlackMs) return false;
  // The beginning of a cut breaks the streams that its daemon relays at that moment.
  if (cutsBegunIn(call, run).length > 0) return false;
  const wasDisturbed = run.disturbances.some(
    ({ scope, name, fromMs, toMs, isPlanned }) =>
      !isPlanned &&
      fromMs <= endedMs &&
      toMs >= sentMs - run.bounds.contactMs &&
      ((scope === 'daemon' && name === daemon) ||
        (scope === 'server' && arrivals.some(({ serverId }) => serverId === name))),
  );
  return !wasDisturbed;
}

/** Arrivals beyond the first of a request. The first prefill that an engine starts is not counted. */
export function repeatsOf({ arrivals }: Pick<CallRecord, 'arrivals'>): readonly Arrival[] {
  const ordered = [...arrivals].sort((left, right) => left.atMs - right.atMs);
  const firstPrefill = ordered.find(({ step, isStarted }) => step === 'prefill' && isStarted);
  return ordered.filter((arrival) => arrival !== firstPrefill).slice(1);
}

/** The window of a service in which repeats exceed the allowed number most, or come closest to it. */
export interface BudgetWindow {
  readonly service: string;
  readonly startMs: number;
  readonly repeats: number;
  readonly requests: number;
  readonly allowed: number;
}

export function worstBudgetWindow(run: RunRecord, service: string): BudgetWindow {
  const { budgetRatio, budgetSlack, budgetWindowMs } = run.bounds;
  const sentMs: number[] = [];
  const repeatsMs: number[] = [];
  for (const call of run.calls.values()) {
    const isOnRoute = run.configurations.some(
      ({ serviceOf }) => serviceOf.get(call.requestClass.name) === service,
    );
    // A caller without a connection has sent nothing.
    if (isOnRoute && call.end?.kind !== 'not-connected') sentMs.push(call.sentMs);
    for (const arrival of repeatsOf(call)) {
      if (arrival.service === service) repeatsMs.push(arrival.atMs);
    }
  }
  const within = (times: readonly number[], fromMs: number) =>
    times.filter((atMs) => atMs >= fromMs && atMs < fromMs + budgetWindowMs).length;
  const none = { service, startMs: 0, repeats: 0, requests: 0, allowed: budgetSlack };
  let worst: BudgetWindow | undefined;
  for (const startMs of repeatsMs) {
    const repeats = within(repeatsMs, startMs);
    // Requests sent in the previous window may be repeated in this one.
    const starts = [startMs, startMs - budgetWindowMs / 2, startMs - budgetWindowMs];
    const requests = Math.max(...starts.map((fromMs) => within(sentMs, fromMs)));
    const allowed = budgetRatio * requests + budgetSlack;
    if (worst === undefined || repeats - allowed > worst.repeats - worst.allowed) {
      worst = { service, startMs, repeats, requests, allowed };
    }
  }
  return worst ?? none;
}

function judgeBudget(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const services = new Set(calls.flatMap(({ arrivals }) => arrivals.map(({ service }) => service)));
  return [...services].flatMap((service): readonly Violation[] => {
    const { startMs, repeats, requests, allowed } = worstBudgetWindow(run, service);
    if (repeats <= allowed) return [];
    const bound = `${allowed.toFixed(0)} allowed for ${requests} requests`;
    const detail = `${service}: ${repeats} arrivals beyond the first of each request, ${bound}`;
    return [{ promise: 'BUDGET', atMs: startMs, detail }];
  });
}

/** An arrival more than `GONE_SLACK_MS` after its caller had left. */
export interface LateArrival {
  readonly id: string;
  readonly arrival: Arrival;
  readonly afterMs: number;
  /** Whether it was sent in time: its connection waited until the soak's own process accepted it. */
  readonly isHeldUp: boolean;
}

/** The late arrivals of a call; none where the call was disturbed. */
export function lateArrivals(call: CallRecord, run: RunRecord): readonly LateArrival[] {
  const { id, end, endedMs, arrivals } = call;
  if (end?.kind !== 'left' || endedMs === undefined || !isCalmAfterLeaving(call, run)) return [];
  return arrivals
    .map((arrival) => ({ arrival, afterMs: arrival.atMs - endedMs }))
    .filter(({ afterMs }) => afterMs > GONE_SLACK_MS)
    .filter(({ arrival }) => !mayHaveWaitedAtFrozenDaemon(call, arrival, run))
    .map((late) => ({ id, ...late, isHeldUp: isHeldUp(late.arrival, endedMs) }));
}

/**
 * Whether a request may have waited at a frozen daemon: a daemon that is cut off forwards requests, and a frozen one reads
 * the close of their connections only once it runs again.
 */
function mayHaveWaitedAtFrozenDaemon(
  { daemon, sentMs, endedMs = sentMs }: CallRecord,
  { atMs }: Arrival,
  { cuts, disturbances }: RunRecord,
): boolean {
  const isCutOff = cuts.some(
    (cut) => cut.daemons.has(daemon) && cut.fromMs <= endedMs && cut.toMs >= sentMs,
  );
  const isFrozen = disturbances.some(
    ({ scope, fromMs, toMs }) => scope === 'frozen' && fromMs <= endedMs && toMs >= endedMs,
  );
  const lastThawMs = Math.max(
    ...disturbances
      .filter(({ scope, toMs }) => scope === 'frozen' && toMs <= atMs)
      .map(({ toMs }) => toMs),
  );
  return isCutOff && isFrozen && atMs - lastThawMs <= GONE_SLACK_MS;
}

/** Whether a request arrived late after the end of its call only because its connection waited to be accepted. */
function isHeldUp({ atMs, acceptWaitMs }: Arrival, endedMs: number): boolean {
  const afterMs = atMs - endedMs;
  return afterMs > GONE_SLACK_MS && afterMs - acceptWaitMs <= GONE_SLACK_MS;
}

/** Whether nothing that a call depends on was disturbed when its caller left, and until its work must have ended. */
function isCalmAfterLeaving({ endedMs = 0, daemon, arrivals }: CallRecord, run: RunRecord) {
  const span = { fromMs: endedMs, toMs: endedMs + GONE_SLACK_MS };
  const isCalm = (scope: Scope, name: string) => !isDisturbed(run, { scope, name, ...span });
  const areServersCalm = arrivals.every(({ serverId }) => isCalm('server', serverId));
  return isCalm('stand-ins', '') && isCalm('daemon', daemon) && areServersCalm;
}

function judgeGone(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const late = calls.flatMap((call) => lateArrivals(call, run)).filter(({ isHeldUp }) => !isHeldUp);
  let lasting = 0;
  const workedOn: CallRecord[] = [];
  for (const call of calls) {
    const { end, endedMs, arrivals, outputTokens, requestClass } = call;
    if (end?.kind !== 'left' || endedMs === undefined) continue;
    if (!isCalmAfterLeaving(call, run)) continue;
    // A connection that has gone silent does not carry its close to the server.
    if (cutsBegunIn(call, run).some(({ how }) => how === 'silent')) continue;
    const limitMs = endedMs + GONE_SLACK_MS;
    const open = arrivals.filter(({ isStarted, step, atMs, endedMs: ended }) => {
      const wouldEndMs = atMs + outputTokens * EVENT_GAP_MS;
      const isAtWork = ended === undefined || ended > endedMs;
      return isStarted && step === 'run' && isAtWork && wouldEndMs > limitMs;
    });
    if (requestClass.kind !== 'streaming' || open.length === 0) continue;
    lasting += 1;
    if (open.some(({ endedMs: ended }) => ended === undefined || ended > limitMs))
      workedOn.push(call);
  }
  const violations: Violation[] = [];
  if (late.length > GONE_MAX_ARRIVALS) {
    const some = late.slice(0, MAX_CASES_SHOWN).map(describeLate).join(', ');
    const detail = `${late.length} arrivals after their caller left: ${some}`;
    violations.push({ promise: 'GONE', atMs: 0, detail });
  }
  if (workedOn.length > GONE_MIN_WORKED_ON && workedOn.length > GONE_MAX_SHARE * lasting) {
    const some = workedOn.slice(0, MAX_CASES_SHOWN).map(({ id, daemon }) => `${id} at ${daemon}`);
    const detail = `${workedOn.length} of ${lasting} requests were worked on after their caller left: ${some.join(', ')}`;
    violations.push({ promise: 'GONE', atMs: 0, detail });
  }
  return violations;
}

function describeLate({ id, arrival, afterMs }: LateArrival): string {
  const waited = `${Math.round(arrival.acceptWaitMs)} ms of it until accepted`;
  return `${id} at ${arrival.serverId} after ${Math.round(afterMs)} ms (${waited})`;
}

interface Fenced {
  readonly holder: string;
  readonly fence: number;
  readonly atMs: number;
}

/** Reports fences that more than one holder used. */
function sharedFences(promise: PromiseName, fenced: readonly Fenced[]): readonly Violation[] {
  const holderOf = new Map<number, string>();
  return fenced.flatMap(({ holder, fence, atMs }): readonly Violation[] => {
    const known = holderOf.get(fence);
    holderOf.set(fence, known ?? holder);
    if (known === undefined || known === holder) return [];
    return [{ promise, atMs, detail: `fence ${fence} of ${known} and of ${holder}` }];
  });
}

function judgeOrders({ orders }: RunRecord): readonly Violation[] {
  return sharedFences('ONE', orders);
}

/** Each fence of a duty has one holder, and the usage of a window is always reported with the same counts. */
function judgeDuties({ duties }: RunRecord): readonly Violation[] {
  const paths = [...new Set(duties.map(({ path }) => path))];
  const shared = paths.flatMap((path) =>
    sharedFences(
      'DUTY',
      duties.filter((duty) => duty.path === path),
    ),
  );
  const bodyOf = new Map<number, string>();
  const changed = duties.flatMap(({ path, body, isAccepted, atMs }): readonly Violation[] => {
    if (path !== PATHS.usage || !isAccepted) return [];
    const { window } = JSON.parse(body) as { window: number };
    const known = bodyOf.get(window);
    bodyOf.set(window, known ?? body);
    if (known === undefined || known === body) return [];
    return [{ promise: 'DUTY', atMs, detail: `window ${window} reported with other counts` }];
  });
  return [...shared, ...changed];
}

/** Calls grouped by crashing request: all tries of one have the same body and different ids. */
function callsByWork(calls: readonly CallRecord[]): readonly (readonly CallRecord[])[] {
  const byWork = new Map<string, CallRecord[]>();
  for (const call of calls) {
    if (!call.body.startsWith(CRASHING_MARK) || call.crashingPart !== undefined) continue;
    const known = byWork.get(call.body);
    if (known === undefined) byWork.set(call.body, [call]);
    else known.push(call);
  }
  return [...byWork.values()];
}

/** Number of servers that each crashing request crashed. */
export function crashesByWork(calls: readonly CallRecord[]): readonly number[] {
  return callsByWork(calls).map(
    (tries) =>
      tries.flatMap(({ arrivals }) => arrivals).filter(({ hasCrashedServer }) => hasCrashedServer)
        .length,
  );
}

/**
 * After `MAX_CRASHES` crashes under a request, daemons in contact with the store send it at most
 * `MAX_SENT_AFTER_CRASHES` more times.
 */
function judgeCrashes(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  return callsByWork(calls).flatMap((tries): readonly Violation[] => {
    const arrivals = tries.flatMap((call) => call.arrivals.map((at) => ({ ...at, call })));
    const endedMs = arrivals
      .filter(({ hasCrashedServer }) => hasCrashedServer)
      .map((arrival) => arrival.endedMs ?? run.endMs)
      .sort((left, right) => left - right)[MAX_CRASHES - 1];
    if (endedMs === undefined) return [];
    const late = arrivals.filter(
      ({ atMs, call }) =>
        atMs > endedMs + run.bounds.contactMs && isInTouch(run, call.daemon, atMs, atMs),
    );
    if (late.length <= MAX_SENT_AFTER_CRASHES) return [];
    const where = late
      .slice(0, MAX_CASES_SHOWN)
      .map(({ call, serverId }) => `${call.daemon} to ${serverId}`);
    const detail = `sent ${late.length} times after ${MAX_CRASHES} servers had ended under it: ${where.join(', ')}`;
    return [{ promise: 'CRASHES', atMs: endedMs, detail }];
  });
}

/** The same for parts of prompts, whose requests differ, and what they leave to sound ones. */
function judgeCrashingParts(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const inTouch = (daemon: string, fromMs: number, toMs: number) =>
    isInTouch(run, daemon, fromMs, toMs);
  const sentOn = partsSentOn(calls, run, inTouch);
  const lost = soundRequestsLost(calls, run, inTouch);
  return [
    ...sentOn.map((fault): Violation => ({ promise: 'CRASHES', ...fault })),
    ...lost.map((detail): Violation => ({ promise: 'LOST', atMs: run.endMs, detail })),
  ];
}

function judgeCuts(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const inTouch = (daemon: string, fromMs: number, toMs: number) =>
    isInTouch(run, daemon, fromMs, toMs);
  return unservedCuts(calls, run, inTouch).map((detail) => ({
    promise: 'RECOVER',
    atMs: run.endMs,
    detail,
  }));
}

function judgeSkews(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const inTouch = (daemon: string, fromMs: number, toMs: number) =>
    isInTouch(run, daemon, fromMs, toMs);
  return unservedSkews(calls, run, inTouch).map((detail) => ({
    promise: 'RECOVER',
    atMs: run.endMs,
    detail,
  }));
}

function judgeRecovery(calls: readonly CallRecord[], run: RunRecord): readonly Violation[] {
  const known = run.configurations.at(-1)?.tenantOfKey;
  const atEnd = calls.filter(
    ({ sentMs, apiKey, deadlineMs, body }) =>
      !body.startsWith(CRASHING_MARK) &&
      sentMs > run.endMs - RECOVER_SPAN_MS &&
      deadlineMs < run.endMs &&
      known?.has(apiKey),
  );
  const served = atEnd.filter(({ end }) => end?.kind === 'answered' && end.status === 200).length;
  if (served >= RECOVER_MIN_SHARE * atEnd.length) return [];
  const waitsMs = atEnd.flatMap(({ arrivals }) => arrivals.map(({ acceptWaitMs }) => acceptWaitMs));
  const longestWaitMs = Math.round(Math.max(0, ...waitsMs));
  const detail = `${served} of ${atEnd.length} requests served at the calm end; the stand-ins accepted their connections after ${longestWaitMs} ms at worst`;
  return [{ promise: 'RECOVER', atMs: run.endMs, detail }];
}
