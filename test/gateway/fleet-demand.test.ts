/** The demand of the whole fleet, from which the split of engines is decided. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  addDemands,
  type LoadReport,
  type LoadSums,
  PeerLoads,
  type ServiceDemand,
  StageDemand,
} from '../../src/core/gateway/index.js';
import { DEMAND_WINDOW_MS } from '../../src/shell/gateway/fleet-demand.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';

function demand(requests: number, prefillMs = 100 * requests): ServiceDemand {
  return { service: 'm', prefillMs, decodeMs: requests, requests, shortRequests: 0 };
}

function report(daemon: string, requests: number): LoadReport {
  const head = { daemon, incarnation: 1, sequence: 1 };
  return { ...head, work: [], reads: [], reach: [], demand: [demand(requests)] };
}

function sums(relay: string, requests: number): LoadSums {
  const head = { relay, incarnation: 1, sequence: 1, isComplete: true };
  return { ...head, work: [], reads: [], reach: [], demand: [demand(requests)] };
}

const requestsOf = (demands: readonly ServiceDemand[]) => demands[0]?.requests;

test('a relay adds up its zone for the others, and all zones for its own', () => {
  const loads = new PeerLoads();
  loads.applyReport(report('a', 3), 0);
  loads.applyReport(report('b', 4), 0);
  loads.applyZoneSums('south', sums('r', 10), 0);
  assert.equal(requestsOf(loads.zoneDemand([demand(1)], 0)), 8);
  assert.equal(requestsOf(loads.totalDemand([demand(1)], 0)), 18);
});

test('a follower takes what its relay says, which holds its own, until the relay falls silent', () => {
  const loads = new PeerLoads();
  loads.applySums(sums('r', 50), [], 0);
  assert.equal(requestsOf(loads.totalDemand([demand(5)], 100)), 50);
  assert.equal(requestsOf(loads.totalDemand([demand(5)], 3_000)), 5);
});

test('the need of a stage is that of all daemons, however unevenly callers come', () => {
  const fleet = new FleetView({ ratio: 0.2, slack: 50 });
  fleet.setDaemonCount(8);
  for (let request = 0; request < 6; request += 1) {
    fleet.demand.of('m').recordRequest('long-prompt', { prefillMs: 100, decodeMs: 1 }, 0);
  }
  const alone = fleet.demand.needOf('m', 0);
  assert.equal(alone.requests, 6, 'what nobody told is not counted as seen');
  assert.equal(alone.prefillEngines, (8 * 600) / DEMAND_WINDOW_MS);
  fleet.peerLoads.applyReport(report('a', 40), 0);
  const together = fleet.demand.needOf('m', 0);
  assert.equal(together.requests, 46);
  assert.equal(together.prefillEngines, 4_600 / DEMAND_WINDOW_MS);
});

test('sums of demand do not depend on order, and services are kept apart', () => {
  const services = fc.constantFrom('m', 'n');
  const entries = fc.array(
    fc.record({ service: services, requests: fc.nat(50) }).map(({ service, requests }) => ({
      ...demand(requests),
      service,
    })),
  );
  const byService = (demands: readonly ServiceDemand[]) =>
    Object.fromEntries(demands.map(({ service, requests }) => [service, requests]));
  fc.assert(
    fc.property(entries, (demands) => {
      const forwards = byService(addDemands(demands));
      const backwards = byService(addDemands([...demands].reverse()));
      assert.deepEqual(forwards, backwards);
    }),
    { seed: 3, numRuns: 100 },
  );
});

test('the sums that are kept are those of the entries in the span, whatever comes and goes', () => {
  const gapsMs = fc.array(fc.record({ gapMs: fc.nat(3_000), workMs: fc.nat(100) }));
  fc.assert(
    fc.property(gapsMs, (steps) => {
      const kept = new StageDemand(DEMAND_WINDOW_MS);
      const noted: { readonly atMs: number; readonly workMs: number }[] = [];
      let nowMs = 0;
      for (const { gapMs, workMs } of steps) {
        nowMs += gapMs;
        noted.push({ atMs: nowMs, workMs });
        kept.recordRequest('short-prompt', { prefillMs: workMs, decodeMs: 0 }, nowMs);
        const inSpan = noted.filter(({ atMs }) => atMs > nowMs - DEMAND_WINDOW_MS);
        const expected = inSpan.reduce((sum, entry) => sum + entry.workMs, 0);
        const { prefillMs, requests, shortRequests } = kept.sums(nowMs);
        assert.equal(prefillMs, expected);
        assert.equal(requests, inSpan.length);
        assert.equal(shortRequests, inSpan.length);
      }
    }),
    { seed: 4, numRuns: 100 },
  );
});

test('an engine that names a limit counts by what it takes of what each of its stage gets', () => {
  const fleet = new FleetView({ ratio: 0.2, slack: 50 });
  const engine = { service: 'm', zone: 'z', slots: 8, state: 'ready', isSpot: false } as const;
  const engines = ['e1', 'e2', 'e3', 'e4'].map((id, place) => {
    const stage = place === 0 ? ('prefill' as const) : ('decode' as const);
    return { ...engine, id, stage, address: `10.0.0.${place}:80` };
  });
  fleet.directory.replaceAll(engines);
  fleet.peerLoads.applyReport(report('a', 180), 0);
  assert.equal(fleet.demand.limitSharesOf('m', 0)('e2'), 1);
  // 180 requests in 6 s are 10 a second for each of three that generate.
  fleet.limits.applyAdvertised('e2', { perSecond: 2, reportedAgoMs: 0 }, 0);
  fleet.limits.applyAdvertised('e3', { perSecond: 50, reportedAgoMs: 0 }, 0);
  const shareOf = fleet.demand.limitSharesOf('m', 0);
  assert.deepEqual(['e1', 'e2', 'e3', 'e4'].map(shareOf), [1, 0.2, 1, 1]);
});
