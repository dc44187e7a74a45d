/**
 * Measures the control plane in virtual time: how long a change takes to be in force, and what the
 * daemons spend on the control plane in messages, bytes and processor time.
 *
 *   node dist/src/lab/scale/spread.js --daemons 4|40|340 [--seed N] [--changes N] [--kills N] [--json]
 */

import { parseArgs } from 'node:util';
import { ok } from 'neverthrow';
import type { Milliseconds } from '../../core/common/time.js';
import type { ChangeRequest } from '../../core/configuration/index.js';
import { aliveMembers, hasIncarnationEnded } from '../../core/membership/index.js';
import { FleetSimulation } from './fleet-simulation.js';

const LOSS = 0.01;
const ENGINES_PER_DAEMON = 820 / 340;
const SMALL_FLEET_ZONES = 4;
const LARGE_FLEET_ZONES = 5;
const LARGE_FLEET_DAEMONS = 40;
const JOIN_LIMIT_MS: Milliseconds = 120_000;
const SETTLE_MS: Milliseconds = 60_000;
const STEADY_MS: Milliseconds = 60_000;
const CHANGE_LIMIT_MS: Milliseconds = 30_000;
const DETECTION_LIMIT_MS: Milliseconds = 60_000;
const BETWEEN_CHANGES_MS: Milliseconds = 2_000;

/** The measurements. Bytes are those of datagrams and frames, without IP, UDP and TCP headers. */
export interface SpreadReport {
  readonly daemons: number;
  readonly zones: number;
  readonly engines: number;
  readonly loss: number;
  readonly seed: number;
  /** From the simultaneous start of all daemons until each knows all others; null after the limit. */
  readonly joinedMs: Milliseconds | null;
  readonly changes: number;
  /** From an operator's call until the version is in force on a daemon, over all daemons and changes. */
  readonly inForceP50Ms: Milliseconds;
  readonly inForceP99Ms: Milliseconds;
  /** From an operator's call until the answer `applied`. */
  readonly appliedP50Ms: Milliseconds;
  readonly appliedMaxMs: Milliseconds;
  readonly notApplied: number;
  /** The number of daemons killed and started again, one after another. */
  readonly kills: number;
  /** From a kill until another daemon considers the killed one dead, over all survivors and kills. */
  readonly detectedP50Ms: Milliseconds;
  readonly detectedMaxMs: Milliseconds;
  /** Survivors that did not detect a kill in time, or that wrongly considered a running daemon dead. */
  readonly misjudged: number;
  readonly steady: {
    readonly messagesPerSecond: number;
    readonly bytesPerSecond: number;
    /** The bytes per second of the daemon that sends most. */
    readonly maxBytesPerSecond: number;
    /** Percent of one core, including encoding and authentication but not sockets. */
    readonly processorPercent: number;
  };
  /** Store calls per second of the whole fleet: during the start, and in steady state. */
  readonly storeCallsPerSecond: { readonly start: number; readonly steady: number };
  /** The age of the reports by which daemons choose engines. */
  readonly reportAgeP50Ms: Milliseconds;
  readonly reportAgeP99Ms: Milliseconds;
}

/** Runs the measurement. */
export function measureSpread(
  daemons: number,
  seed: number,
  changes: number,
  kills: number,
): SpreadReport {
  const zones = daemons >= LARGE_FLEET_DAEMONS ? LARGE_FLEET_ZONES : SMALL_FLEET_ZONES;
  const engines = Math.round(daemons * ENGINES_PER_DAEMON);
  const network = { loss: LOSS };
  const fleet = new FleetSimulation({ seed, daemons, zones, engines, network, wire: true });
  fleet.startAll();
  const joinedMs = fleet.runUntil(() => hasConverged(fleet), JOIN_LIMIT_MS);
  const startCalls = storeCalls(fleet);
  const startMs = fleet.time.now;
  fleet.run(SETTLE_MS);
  const steady = measureSteady(fleet);
  const ages = reportAges(fleet);
  const spread = measureChanges(fleet, changes);
  const detection = measureDetection(fleet, kills);
  return {
    daemons,
    zones,
    engines,
    loss: LOSS,
    seed,
    joinedMs,
    changes,
    ...spread,
    kills,
    ...detection,
    steady: steady.spent,
    storeCallsPerSecond: {
      start: (startCalls * 1_000) / startMs,
      steady: steady.storeCallsPerSecond,
    },
    reportAgeP50Ms: quantile(ages, 0.5),
    reportAgeP99Ms: quantile(ages, 0.99),
  };
}

function hasConverged(fleet: FleetSimulation): boolean {
  const all = fleet.running.length;
  return fleet.running.every((daemon) => aliveMembers(daemon.membership).length === all);
}

function storeCalls(fleet: FleetSimulation): number {
  return fleet.store.platform.counts().table.calls;
}

function measureSteady(fleet: FleetSimulation) {
  const before = fleet.slots.map(({ sent }) => ({ ...sent }));
  const processorBefore = fleet.processorMs;
  const callsBefore = storeCalls(fleet);
  fleet.run(STEADY_MS);
  const seconds = STEADY_MS / 1_000;
  const messages = fleet.slots.map(
    ({ sent }, index) => sent.messages - (before[index]?.messages ?? 0),
  );
  const bytes = fleet.slots.map(({ sent }, index) => sent.bytes - (before[index]?.bytes ?? 0));
  const daemons = fleet.slots.length;
  return {
    spent: {
      messagesPerSecond: sum(messages) / daemons / seconds,
      bytesPerSecond: sum(bytes) / daemons / seconds,
      maxBytesPerSecond: Math.max(...bytes) / seconds,
      processorPercent: ((fleet.processorMs - processorBefore) / daemons / STEADY_MS) * 100,
    },
    storeCallsPerSecond: (storeCalls(fleet) - callsBefore) / seconds,
  };
}

function measureChanges(fleet: FleetSimulation, changes: number) {
  const inForce: Milliseconds[] = [];
  const applied: Milliseconds[] = [];
  let notApplied = 0;
  for (let number = 1; number <= changes; number += 1) {
    const slot = fleet.slots[(number * 7) % fleet.slots.length];
    if (slot === undefined) continue;
    const request = createChange(number);
    const start = fleet.time.now;
    const outdated = new Set(fleet.running);
    fleet.change(slot, request);
    fleet.runUntil(() => {
      for (const daemon of outdated) {
        if (daemon.version >= number) {
          outdated.delete(daemon);
          inForce.push(fleet.time.now - start);
        }
      }
      return outdated.size === 0 && fleet.answers.has(request.token);
    }, CHANGE_LIMIT_MS);
    if (fleet.answers.get(request.token)?.kind === 'applied') {
      applied.push(fleet.time.now - start);
    } else {
      notApplied += 1;
    }
    fleet.run(BETWEEN_CHANGES_MS);
  }
  return {
    inForceP50Ms: quantile(inForce, 0.5),
    inForceP99Ms: quantile(inForce, 0.99),
    appliedP50Ms: quantile(applied, 0.5),
    appliedMaxMs: quantile(applied, 1),
    notApplied,
  };
}

function measureDetection(fleet: FleetSimulation, kills: number) {
  const detected: Milliseconds[] = [];
  let misjudged = 0;
  for (let number = 0; number < kills; number += 1) {
    const slot = fleet.slots[(number * 11) % fleet.slots.length];
    const victim = slot?.daemon?.identity;
    if (slot === undefined || victim === undefined) continue;
    fleet.kill(slot);
    const start = fleet.time.now;
    const unaware = new Set(fleet.running);
    fleet.runUntil(() => {
      for (const daemon of unaware) {
        if (hasIncarnationEnded(daemon.membership, victim.name, victim.incarnation)) {
          unaware.delete(daemon);
          detected.push(fleet.time.now - start);
        }
      }
      return unaware.size === 0;
    }, DETECTION_LIMIT_MS);
    const all = fleet.running.length;
    misjudged += unaware.size;
    misjudged += fleet.running.filter(
      ({ membership }) => aliveMembers(membership).length < all,
    ).length;
    fleet.start(slot);
    fleet.runUntil(() => hasConverged(fleet), JOIN_LIMIT_MS);
  }
  return {
    detectedP50Ms: quantile(detected, 0.5),
    detectedMaxMs: quantile(detected, 1),
    misjudged,
  };
}

function createChange(number: number): ChangeRequest {
  return {
    token: `call-${number}`,
    id: `change-${number}`,
    digest: String(number),
    ifVersion: null,
    dryRun: false,
    apply: (document) => {
      const entry = { version: `v${number}`, adapters: {}, objective: 'goodput' as const };
      return ok({
        document: { ...document, models: { ...document.models, labels: entry } },
        description: [],
      });
    },
  };
}

function reportAges(fleet: FleetSimulation): readonly Milliseconds[] {
  return fleet.slots.flatMap(({ daemon, clockOffset }) => {
    const used = daemon?.digest.used ?? new Set<string>();
    return [...(daemon?.digest.views.values() ?? [])]
      .filter((view) => used.has(view.machine.name))
      .map((view) => fleet.time.now + clockOffset - view.reportedAt);
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * fraction));
  return sorted[index] ?? Number.NaN;
}

function main(): void {
  const { values } = parseArgs({
    options: {
      daemons: { type: 'string', default: '4' },
      seed: { type: 'string', default: '1' },
      changes: { type: 'string', default: '20' },
      kills: { type: 'string', default: '5' },
      json: { type: 'boolean', default: false },
    },
  });
  const counts = [values.daemons, values.seed, values.changes, values.kills].map(Number);
  const [daemons = 0, seed = 0, changes = 0, kills = 0] = counts;
  if (!counts.every(Number.isInteger) || daemons < 1 || changes < 1 || kills < 0) {
    process.stderr.write(
      'spread: --daemons, --seed and --changes take whole numbers from 1, --kills from 0\n',
    );
    process.exitCode = 2;
    return;
  }
  const report = measureSpread(daemons, seed, changes, kills);
  process.stdout.write(`${JSON.stringify(report, null, values.json ? 0 : 2)}\n`);
}

main();
