/**
 * The key that identifies a state of the control model. Whatever cannot influence later steps is left
 * out, such as call counters, or made relative: times to the clock, row versions to one another.
 */
import type { ControllerState, EngineControl } from '../../../core/controller/index.js';
import { type LeaseRow, type LeaseState, leaseKey } from '../../../core/lease/index.js';
import type { TableCall, TableResult, TableRow } from '../../../core/platform/table.js';
import { intern, internProjection } from '../intern.js';
import { rowOf } from '../table.js';
import {
  type ControlDaemon,
  type ControlWorld,
  clockOf,
  type Dispatcher,
  type Message,
  RESOURCE,
  TICK_MS,
  TICKS,
} from './world.js';

const LEASE_KEY = leaseKey(RESOURCE);
const LAPSE_MS = (TICKS.lease + TICKS.leaseMargin) * TICK_MS;
const GRANT_LAPSE_MS = (TICKS.grant + TICKS.grantMargin) * TICK_MS;
const GRANT_MS = TICKS.grant * TICK_MS;

type Rank = (version: number) => number;

/** The milliseconds until a time; 0 once it has passed. */
function until(time: number, now: number): number {
  return Math.max(0, time - now);
}

/** Ranks the versions of the lease row: only their order matters, as each write assigns a new one. */
function rankVersions(world: ControlWorld): Rank {
  const versions = new Set<number>([0, rowOf(world.table, LEASE_KEY).version]);
  for (const { lease } of world.daemons) {
    if (lease.observed !== null) versions.add(lease.observed.version);
  }
  for (const message of world.messages) {
    if (message.kind === 'table-call') addCallVersions(versions, message.call);
    if (message.kind === 'table-answer') addResultVersions(versions, message.result);
  }
  const sorted = [...versions].sort((left, right) => left - right);
  return (version) => sorted.indexOf(version);
}

function addCallVersions(versions: Set<number>, call: TableCall): void {
  if (call.kind !== 'transact') return;
  for (const check of call.checks) if (check.key === LEASE_KEY) versions.add(check.version);
}

function addResultVersions(versions: Set<number>, result: TableResult): void {
  if (!('rows' in result)) return;
  for (const row of result.rows) if (row.key === LEASE_KEY) versions.add(row.version);
}

/** The state's key. */
export function keyOf(world: ControlWorld): string {
  const rank = rankVersions(world);
  const messages = world.messages.map((message) => messageKey(world, message, rank)).sort();
  const [first, second] = world.daemons.map((daemon) => {
    return cachedDaemonKey(daemon, clockOf(world, daemon), rank);
  });
  const rows = Object.values(world.table).map((row) => rowKey(row, rank));
  const dispatcher = dispatcherKey(world.dispatcher, clockOf(world, world.dispatcher));
  const rest = [world.desiredRole, intern(world.engine), intern(world.budget), world.highestEpoch];
  return `${rows}|${first}|${second}|${dispatcher}|${messages}|${rest}`;
}

function rowKey(row: TableRow, rank: Rank): string {
  if (row.key !== LEASE_KEY) return `${intern(row)}`;
  return `${rank(row.version)}.${leaseRowKey(row.value as LeaseRow | null)}`;
}

/** The key of a lease row without its renewals, which serve only to change the row's version. */
function leaseRowKey(row: LeaseRow | null): number | string {
  if (row === null) return '';
  return internProjection(row, ({ holder, incarnation, epoch }) => [
    'lease',
    holder,
    incarnation,
    epoch,
  ]);
}

interface CachedKey {
  readonly now: number;
  readonly rank: number;
  readonly key: string;
}

const cachedKeys = new WeakMap<ControlDaemon, CachedKey>();

/** The cached key of a daemon: most steps change at most one of the daemons. */
function cachedDaemonKey(daemon: ControlDaemon, now: number, rank: Rank): string {
  const observed = daemon.lease.observed === null ? 0 : rank(daemon.lease.observed.version);
  const cached = cachedKeys.get(daemon);
  if (cached?.now === now && cached.rank === observed) return cached.key;
  const key = daemonKey(daemon, now, rank);
  cachedKeys.set(daemon, { now, rank: observed, key });
  return key;
}

function daemonKey(daemon: ControlDaemon, now: number, rank: Rank): string {
  // Of a dead daemon only the incarnation matters, as the next one is derived from it.
  if (daemon.status === 'dead') return `${daemon.incarnation}`;
  const { incarnation, status, lag, due, storeDown } = daemon;
  const flags = `${incarnation},${status},${lag},${Number(due)},${Number(storeDown)}`;
  return `${flags};${leaseStateKey(daemon.lease, now, rank)};${controllerKey(daemon, now)}`;
}

function leaseStateKey(state: LeaseState, now: number, rank: Rank): string {
  const { observed, held, pending } = state;
  const parts: (number | string)[] = [
    Number(state.uncertain),
    until(state.nextCallAt, now),
    Math.min(state.failures, 1),
  ];
  if (observed !== null) {
    const lapse = until(observed.firstSeenAt + LAPSE_MS, now);
    const { version, row, epochRowVersion, epoch } = observed;
    parts.push('o', rank(version), leaseRowKey(row), epochRowVersion, epoch, lapse);
  }
  if (held !== null) parts.push('h', held.epoch, held.epochRowVersion, until(held.until, now));
  if (pending !== null) parts.push('p', pending.purpose, until(pending.sentAt + LAPSE_MS, now));
  return parts.join();
}

function controllerKey(daemon: ControlDaemon, now: number): string {
  const state: ControllerState = daemon.controller;
  const { authority, read } = state;
  const parts: (number | string)[] = [
    state.deposedEpoch,
    state.intents,
    read === null ? '' : read.engines.length,
    until(state.tableRetryAt, now),
    Math.min(state.tableFailures, 7),
    daemon.report === null ? '' : intern(daemon.report),
    Number(daemon.requestedAt >= now),
  ];
  if (authority !== null) {
    parts.push(authority.epoch, authority.epochRowVersion, until(authority.until, now));
  }
  for (const view of state.views.values()) {
    parts.push('v', view.report === null ? '' : intern(view.report));
    for (const control of state.engines.values()) {
      parts.push(controlKey(control, now, daemon.requestedAt, view.reportedAt, state));
    }
  }
  return parts.join();
}

function controlKey(
  control: EngineControl,
  now: number,
  requestedAt: number,
  viewAt: number,
  state: ControllerState,
): string {
  const { intent, closedAt, busyAt, drainStartedAt } = control;
  const parts: (number | string)[] = [
    internProjection(control, withoutTimes),
    until(control.retryAt, now),
    until(control.nextChangeAt, now),
  ];
  if (intent !== null) {
    parts.push('i', Number(requestedAt > intent.knownAt), Number(viewAt > intent.knownAt));
  }
  if (closedAt !== null) {
    const lapseAt = closedAt + GRANT_LAPSE_MS;
    const isAfter = [Number(requestedAt >= lapseAt), Number(viewAt >= lapseAt)];
    parts.push('c', until(lapseAt, now), ...isAfter);
  }
  if (busyAt !== null) parts.push('b', Number(requestedAt > busyAt), Number(viewAt > busyAt));
  if (drainStartedAt !== null) {
    parts.push('d', until(drainStartedAt + state.settings.drainTimeoutMs, now));
  }
  return parts.join();
}

/** An engine's control state without times and tokens. */
function withoutTimes(control: EngineControl): unknown {
  const { intent, write, closedAt, busyAt, drainStartedAt } = control;
  return {
    ...control,
    intent: intent === null ? null : [intent.version, intent.value],
    write: write === null ? null : write.row,
    closedAt: closedAt !== null,
    busyAt: busyAt !== null,
    drainStartedAt: drainStartedAt !== null,
    retryAt: 0,
    nextChangeAt: 0,
  };
}

function dispatcherKey(dispatcher: Dispatcher, now: number): string {
  const granted = until(dispatcher.requestedAt + GRANT_MS, now);
  if (granted === 0 || dispatcher.report === null) return `${dispatcher.lag}`;
  return `${dispatcher.lag},${intern(dispatcher.report)},${granted}`;
}

function messageKey(world: ControlWorld, message: Message, rank: Rank): string {
  switch (message.kind) {
    case 'table-call':
      return `c${intern(message.from)},${callKey(message.call, rank)}`;
    case 'table-answer': {
      const awaited = Number(isAwaited(world, message));
      return `a${intern(message.from)},${awaited},${resultKey(message.result, rank)}`;
    }
    case 'order':
    case 'order-answer':
    case 'query':
    case 'query-answer':
    case 'request':
      return `m${intern(message)}`;
  }
}

function isAwaited(
  world: ControlWorld,
  message: Extract<Message, { kind: 'table-answer' }>,
): boolean {
  const daemon = world.daemons[message.from.daemon];
  if (daemon === undefined || daemon.incarnation !== message.from.incarnation) return false;
  const { lease, controller } = daemon;
  if (lease.pending?.token === message.token) return true;
  if (controller.read?.token === message.token) return true;
  return [...controller.engines.values()].some((control) => control.write?.token === message.token);
}

function callKey(call: TableCall, rank: Rank): string {
  if (call.kind !== 'transact') return `${intern(call)}`;
  const checks = call.checks.map(({ key, version }) => {
    return `${key}:${key === LEASE_KEY ? rank(version) : version}`;
  });
  const writes = call.writes.map((write) => {
    return write.key === LEASE_KEY ? leaseRowKey(write.value as LeaseRow | null) : intern(write);
  });
  return `${checks},${writes}`;
}

function resultKey(result: TableResult, rank: Rank): string {
  if (!('rows' in result)) return result.kind;
  return `${result.kind}${result.rows.map((row) => rowKey(row, rank))}`;
}
