/** Simulated fleets for tests of membership, configuration and digests. */
import assert from 'node:assert/strict';
import { aliveMembers } from '../../src/core/membership/index.js';
import type { FleetOptions, Place } from '../../src/lab/scale/fleet-options.js';
import { FleetSimulation } from '../../src/lab/scale/fleet-simulation.js';
import type { SimulatedDaemon } from '../../src/lab/scale/simulated-daemon.js';

const JOIN_LIMIT_MS = 30_000;

/** A fleet whose daemons all know each other. */
export function startFleet(options: Partial<FleetOptions>): FleetSimulation {
  const fleet = new FleetSimulation({ seed: 1, daemons: 6, zones: 3, ...options });
  fleet.startAll();
  const joined = fleet.runUntil(() => hasConverged(fleet), JOIN_LIMIT_MS);
  assert.notEqual(joined, null, 'the fleet did not come together');
  return fleet;
}

/** Whether each running daemon counts on all running ones and on no other. */
export function hasConverged(fleet: FleetSimulation): boolean {
  const running = fleet.running.length;
  return fleet.running.every((daemon) => aliveMembers(daemon.membership).length === running);
}

/** A place that must exist. */
export function placeAt(fleet: FleetSimulation, index: number): Place {
  const place = fleet.places[index];
  assert.ok(place !== undefined);
  return place;
}

/** A daemon that must be running. */
export function daemonAt(fleet: FleetSimulation, index: number): SimulatedDaemon {
  const { daemon } = placeAt(fleet, index);
  assert.ok(daemon !== null);
  return daemon;
}

/** How many log lines had the event's number. */
export function countLogged(fleet: FleetSimulation, number: number): number {
  return fleet.logged.filter((line) => line.number === number).length;
}
