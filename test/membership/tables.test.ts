import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  createMembership,
  type MembershipState,
  stepMembership,
  watcherOf,
} from '../../src/core/membership/index.js';
import type { MemberUpdate, PeerHeader, PeerMessage } from '../../src/core/peer/index.js';
import { encodeEnvelope } from '../../src/shell/peer/codec.js';

const ENDPOINT = { address: '10.0.0.1', port: 7000 };
const HEADER: PeerHeader = {
  sender: 'daemon-b',
  incarnation: 1,
  sentAt: 0,
  inForce: null,
  highestVersion: 0,
};

const update: fc.Arbitrary<MemberUpdate> = fc.record({
  name: fc.constantFrom('daemon-b', 'daemon-c', 'daemon-d'),
  zone: fc.constant('z'),
  endpoint: fc.constant(ENDPOINT),
  incarnation: fc.integer({ min: 1, max: 3 }),
  refutation: fc.integer({ min: 0, max: 2 }),
  status: fc.constantFrom('alive', 'suspect', 'dead', 'left'),
  suspectedBy: fc.constant(null),
});

function startedMembership(): MembershipState {
  return createMembership({ name: 'daemon-a', zone: 'z', endpoint: ENDPOINT, incarnation: 1 });
}

function receive(state: MembershipState, message: PeerMessage, entropy = 1) {
  const event = { kind: 'peer-received', from: ENDPOINT, header: HEADER, message } as const;
  return stepMembership(state, event, { now: 10, entropy });
}

function learn(updates: readonly MemberUpdate[]): string {
  let state = startedMembership();
  for (const one of updates) {
    const message = { kind: 'ack', sequence: 99, updates: [one], heartbeats: [] } as const;
    state = receive(state, message).state;
  }
  const rows = [...state.members.values()].map(
    (member) => `${member.name} ${member.incarnation} ${member.refutation} ${member.status}`,
  );
  return rows.sort().join('\n');
}

test('updates in any order, each repeated, lead to the same table', () => {
  fc.assert(
    fc.property(
      fc.array(update, { maxLength: 12 }).chain((updates) =>
        fc.record({
          updates: fc.constant(updates),
          shuffled: fc.shuffledSubarray([...updates, ...updates], {
            minLength: updates.length * 2,
          }),
        }),
      ),
      ({ updates, shuffled }) => {
        assert.equal(learn(shuffled), learn(updates));
      },
    ),
    { seed: 1, numRuns: 500 },
  );
});

test('a daemon refutes its reported death only if the report names its current incarnation', () => {
  const accuse = (incarnation: number) =>
    receive(startedMembership(), {
      kind: 'ping',
      sequence: 1,
      target: 'daemon-a',
      updates: [
        {
          name: 'daemon-a',
          zone: 'z',
          endpoint: ENDPOINT,
          incarnation,
          refutation: 0,
          status: 'dead',
          suspectedBy: null,
        },
      ],
      heartbeats: [],
    }).state.members.get('daemon-a');
  assert.equal(accuse(1)?.refutation, 1);
  assert.equal(accuse(0)?.refutation, 0);
});

test('a suspicion does not expire during a pause of this process', () => {
  const suspect: MemberUpdate = {
    name: 'daemon-b',
    zone: 'z',
    endpoint: ENDPOINT,
    incarnation: 1,
    refutation: 0,
    status: 'suspect',
    suspectedBy: 'daemon-c',
  };
  let state = receive(startedMembership(), {
    kind: 'ack',
    sequence: 9,
    updates: [suspect],
    heartbeats: [],
  }).state;
  const tickAt = (now: number) => {
    state = stepMembership(state, { kind: 'tick' }, { now, entropy: 1 }).state;
    return state.members.get('daemon-b')?.status;
  };
  assert.equal(tickAt(100), 'suspect');
  assert.equal(tickAt(60_000), 'suspect');
  for (let now = 60_100; now < 62_000; now += 100) {
    assert.equal(tickAt(now), 'suspect');
  }
  for (let now = 62_000; now < 70_000; now += 100) tickAt(now);
  assert.equal(tickAt(70_000), 'dead');
});

test('a ping for another daemon at the same address is not answered', () => {
  const ping = { kind: 'ping', sequence: 1, updates: [], heartbeats: [] } as const;
  assert.equal(receive(startedMembership(), { ...ping, target: 'daemon-x' }).effects.length, 0);
  assert.equal(receive(startedMembership(), { ...ping, target: 'daemon-a' }).effects.length, 1);
});

test('an ack fits into a datagram however many updates are queued', () => {
  const longName = (index: number) => `${'n'.repeat(58)}${index}`;
  const members = Array.from({ length: 200 }, (_, index) => ({
    name: longName(index),
    zone: 'z'.repeat(63),
    endpoint: { address: '2001:db8:1111:2222:3333:4444:5555:6666', port: 65_535 },
    incarnation: Number.MAX_SAFE_INTEGER,
    refutation: 1_000,
    status: 'suspect' as const,
    suspectedBy: longName(index),
  }));
  let state = startedMembership();
  for (let start = 0; start < members.length; start += 20) {
    const updates = members.slice(start, start + 20);
    state = receive(state, { kind: 'ack', sequence: 9, updates, heartbeats: [] }).state;
  }
  const { effects } = receive(state, {
    kind: 'ping',
    sequence: 1,
    target: 'daemon-a',
    updates: [],
    heartbeats: [],
  });
  const sent = effects.flatMap((effect) => (effect.kind === 'peer-send' ? [effect.message] : []));
  assert.equal(sent.length, 1);
  for (const message of sent) {
    assert.ok(message.kind === 'ack' && message.updates.length > 2);
    assert.ok(encodeEnvelope({ header: HEADER, message }).length <= 1_200 - 16);
  }
});

test('each engine has one watcher, in its own zone if possible, and keeps it when another daemon leaves', () => {
  const members = Array.from({ length: 12 }, (_, index) => ({
    name: `daemon-${index}`,
    zone: `zone-${index % 3}`,
  }));
  for (let index = 0; index < 50; index += 1) {
    const engine = `engine-${index}`;
    const watcher = watcherOf(engine, 'zone-1', members);
    assert.ok(members.some((member) => member.name === watcher && member.zone === 'zone-1'));
    const fewer = members.filter((member) => member.name !== 'daemon-4');
    if (watcher !== 'daemon-4') {
      assert.equal(watcherOf(engine, 'zone-1', fewer), watcher);
    }
    assert.notEqual(watcherOf(engine, 'zone-9', members), null);
  }
  assert.equal(watcherOf('engine-0', 'zone-1', []), null);
});
