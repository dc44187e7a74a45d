/** Odd entries in the list of servers of a zone with a relay, which passes changes of the list on to the other daemons. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TABLES } from '../../platform/names.js';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { answering } from './support/server-stand-in.js';

/** More than a fleet without relays has. */
const DAEMONS = 14;
const MAX_TEST_MS = 60_000;
const ROW = { service: 'viewer', address: '127.0.0.1:9', zone: 'a', slots: 6, state: 'ready' };

/** A row with a field whose JSON text is given. */
function rowWith(field: string, json: string): string {
  return JSON.stringify({ ...ROW, [field]: '@' }).replace('"@"', json);
}

const ODD_ENTRIES: Readonly<Record<string, string>> = {
  'no JSON': 'not JSON',
  'very deep nesting': '['.repeat(32_768) + ']'.repeat(32_768),
  'a deeply nested field': rowWith('models', '['.repeat(8_000) + ']'.repeat(8_000)),
  'a number beyond all': rowWith('slots', '1e400'),
  'the largest whole number': rowWith('slots', String(Number.MAX_SAFE_INTEGER)),
  'a number of a thousand digits': rowWith('slots', '9'.repeat(1_000)),
  'a start far ahead': rowWith('born', String(Number.MAX_SAFE_INTEGER)),
  'a port out of range': rowWith('address', '"127.0.0.1:70000"'),
  'a prototype': `{"__proto__":${JSON.stringify(ROW)}}`,
  'a name of 200 characters': rowWith('service', JSON.stringify('s'.repeat(200))),
};

/** More than a daemon reads of one answer. */
const LONG_ENTRIES = Array.from(
  { length: 60 },
  (_, index) => [`i-long-${index}`, Buffer.alloc(65_536, 'x')] as const,
);

test('a zone with a relay follows the list past odd entries and many long ones', {
  timeout: MAX_TEST_MS,
}, async () => {
  const fixture = new GatewayFixture();
  try {
    fixture.store.putConfiguration(configuration(1, [route({})]));
    await fixture.start();
    const names = Array.from({ length: DAEMONS }, (_, index) => `front-z${index}`);
    const ports = await Promise.all(names.map((name) => fixture.addDaemon(name)));
    await fixture.addServer('i-1', answering(200, 'first'));
    await fixture.logged(GATEWAY_EVENTS.roleInFleet, ({ isRelay }) => isRelay === true);
    for (const [problem, value] of Object.entries(ODD_ENTRIES)) {
      fixture.store.putBytes(
        TABLES.servers,
        `i-odd-${problem.replaceAll(' ', '-')}`,
        Buffer.from(value),
      );
    }
    fixture.store.putAll(TABLES.servers, LONG_ENTRIES);
    await fixture.addServer('i-2', answering(200, 'second'));
    fixture.store.remove(TABLES.servers, 'i-1');
    const followed = names.map((name) =>
      fixture.logged(
        GATEWAY_EVENTS.serverRemoved,
        ({ server }, daemon) => server === 'i-1' && daemon === name,
      ),
    );
    await Promise.all(followed);
    for (const port of ports) {
      assert.equal((await fixture.call({ path: '/tiles/1', port })).body, 'second');
    }
    const faults = fixture.lines.filter(({ event }) => event === GATEWAY_EVENTS.internalFault);
    assert.deepEqual(faults, []);
  } finally {
    fixture.stop();
  }
});
