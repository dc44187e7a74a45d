import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  aliveMembers,
  hasIncarnationEnded,
  unreachableZones,
} from '../../src/core/membership/index.js';
import { daemonAt, hasConverged, placeAt, startFleet } from './fleets.js';

const DETECTION_LIMIT_MS = 20_000;

test('in a fleet split by zone, a killed daemon and a zone that is down are detected in all zones', () => {
  const fleet = startFleet({ daemons: 30, zones: 3, network: { loss: 0.01 } });
  const victim = daemonAt(fleet, 0).identity;
  fleet.kill(placeAt(fleet, 0));
  const noticed = fleet.runUntil(
    () =>
      fleet.running.every((d) =>
        hasIncarnationEnded(d.membership, victim.name, victim.incarnation),
      ),
    2 * DETECTION_LIMIT_MS,
  );
  assert.notEqual(noticed, null);
  for (const place of fleet.slots.filter((place) => place.zone === 'zone-1')) {
    fleet.kill(place);
  }
  const reported = fleet.runUntil(
    () => fleet.running.every((d) => unreachableZones(d.membership).join() === 'zone-1'),
    2 * DETECTION_LIMIT_MS,
  );
  assert.notEqual(reported, null);
  assert.ok(fleet.running.every((d) => aliveMembers(d.membership).length === 19));
  fleet.startAll();
  assert.notEqual(
    fleet.runUntil(() => hasConverged(fleet), 2 * DETECTION_LIMIT_MS),
    null,
  );
});
