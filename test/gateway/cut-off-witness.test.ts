/** Guards against daemons that skip servers which they reach, as daemons without a path report them unreachable. */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import { configuration, GatewayFixture, route } from './support/fixture.js';
import { ManualTimers } from './support/manual-timers.js';
import { ServerLinks } from './support/server-links.js';
import { answering } from './support/server-stand-in.js';
import { SilentAddress } from './support/silent-address.js';

const DAEMONS = 3;
/** Daemons that do not reach some servers. */
const CUT_OFF = 2;
const REQUESTS = 6;
/** Turns of the event loop, in each of which some time passes. */
const SETTLING_TURNS = 60;

let fixture: GatewayFixture;
let timers: ManualTimers;
let silent: SilentAddress;
let links: ServerLinks[];
let ports: number[];

beforeEach(async () => {
  fixture = new GatewayFixture();
  timers = new ManualTimers();
  silent = await SilentAddress.open();
  links = [];
  ports = [];
});

afterEach(() => {
  fixture.stop();
  for (const link of links) link.stop();
  silent.stop();
});

function loggedTimes(event: (typeof GATEWAY_EVENTS)[keyof typeof GATEWAY_EVENTS]): number {
  return fixture.lines.filter((line) => line.event === event).length;
}

/** Sends requests at the same moment, so that they go to all servers, and waits for their answers. */
async function sendAt(daemons: readonly number[]): Promise<number[]> {
  let pending = daemons.length * REQUESTS;
  const answers = daemons.flatMap((daemon) =>
    Array.from({ length: REQUESTS }, (_, sent) => {
      const headers = { 'X-Attempt-Id': `${daemon}-${sent}` };
      const answer = fixture.call({ path: '/tiles/1', headers, port: ports[daemon] });
      return answer.finally(() => {
        pending -= 1;
      });
    }),
  );
  await timers.advanceUntil(() => pending === 0);
  return (await Promise.all(answers)).map(({ status }) => status);
}

/** Lets datagrams arrive. */
async function settle(): Promise<void> {
  let turns = 0;
  await timers.advanceUntil(() => {
    turns += 1;
    return turns > SETTLING_TURNS;
  });
}

/** Starts three daemons, two of which get no answer from the servers that are silent for them. */
async function startDaemons(isSilent: (serverId: string) => boolean): Promise<void> {
  for (let index = 0; index < DAEMONS; index += 1) {
    const isCutOff = index < CUT_OFF;
    const own = new ServerLinks((id) => (isCutOff && isSilent(id) ? silent.address : undefined));
    links.push(own);
    ports.push(await fixture.addDaemon(`front-${index + 1}`, timers, { links: own }));
  }
  fixture.store.putConfiguration(configuration(1, [route({})]));
}

async function addServers(count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    await fixture.addServer(`v-${index}`, answering(200, 'served'));
  }
  await timers.advanceUntil(
    () =>
      loggedTimes(GATEWAY_EVENTS.serverAdded) === DAEMONS * count &&
      fixture.lines.filter(({ fields }) => fields.daemons === DAEMONS).length === DAEMONS,
  );
}

test('daemons that reach no server do not take the servers from one that does', async () => {
  await startDaemons(() => true);
  await addServers(2);
  await sendAt([0, 1]);
  await settle();
  assert.deepEqual(await sendAt([2]), Array(REQUESTS).fill(200));
  assert.equal(loggedTimes(GATEWAY_EVENTS.serverDark), 0);
});

test('a server that two daemons find silent while others accept them is skipped by the third', async () => {
  await startDaemons((id) => id === 'v-1');
  await addServers(2);
  await sendAt([0, 1]);
  await settle();
  assert.equal(loggedTimes(GATEWAY_EVENTS.serverDark), 1);
});
