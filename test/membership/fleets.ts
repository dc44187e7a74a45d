/** Simulated fleets for tests of membership, configuration and digests. */
import assert from 'node:assert/strict';
import { aliveMembers } from '../../src/core/membership/index.js';
import type { DaemonSlot, FleetOptions } from '../../src/lab/scale/fleet-options.js';
import { FleetSimulation } from '../../src/lab/scale/fleet-simulation.js';
import type { SimulatedDaemon } from '../../src/lab/scale/simulated-daemon.js';

const JOIN_LIMIT_MS = 30_000;

/** Starts a fleet and waits until all daemons know each other. */
export function startFleet(options: Partial<FleetOptions>): FleetSimulation {
  const fleet = new FleetSimulation({ seed: 1, daemons: 6, zones: 3, ...options });
  fleet.startAll();
  const joined = fleet.runUntil(() => hasConverged(fleet), JOIN_LIMIT_MS);
  assert.notEqual(joined, null, 'the daemons did not discover each other in time');
  return fleet;
}

/** Whether every running daemon considers as many daemons alive as are running. */
export function hasConverged(fleet: FleetSimulation): boolean {
  const running = fleet.running.length;
  return fleet.running.every((daemon) => aliveMembers(daemon.membership).length === running);
}

/** The place with this index; fails if there is none. */
export function placeAt(fleet: FleetSimulation, index: number): DaemonSlot {
  const place = fleet.slots[index];
  assert.ok(place !== undefined);
  return place;
}

/** The daemon at the place with this index; fails if it is not running. */
export function daemonAt(fleet: FleetSimulation, index: number): SimulatedDaemon {
  const { daemon } = placeAt(fleet, index);
  assert.ok(daemon !== null);
  return daemon;
}

/** The number of log lines with this event number. */
export function countLogged(fleet: FleetSimulation, number: number): number {
  return fleet.logged.filter((line) => line.number === number).length;
}
