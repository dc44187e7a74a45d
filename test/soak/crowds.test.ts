/** Crowds of the soak: what they send is as unfinished as their kind says, and they leave when they are to. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import { type AddressInfo, createServer, type Server } from 'node:net';
import { type TestContext, test } from 'node:test';
import { CROWD_KINDS, type CrowdFault } from '../../soak/crowd-fault.js';
import { Crowds, type CrowdTarget } from '../../soak/crowds.js';

const CALLERS = 30;
const FAULT: CrowdFault = {
  kind: 'crowd',
  crowd: 'declared-lengths',
  daemons: [0],
  callers: CALLERS,
  comeBack: false,
  forMs: 200,
};
const MAX_HEADER_BYTES = 131_072;
/** Whole requests; what the others send is never one. */
const WHOLE = new Set(['pipelined', 'unread-streams']);

async function listen(context: TestContext, server: Server): Promise<CrowdTarget> {
  context.after(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

for (const crowd of CROWD_KINDS) {
  const expected = WHOLE.has(crowd) ? 'whole requests' : 'no whole request';
  test(`a server gets ${expected} from a crowd of kind ${crowd}`, async (context) => {
    let ended = 0;
    const options = { maxHeaderSize: MAX_HEADER_BYTES };
    const server = http.createServer(options, (request, response) => {
      request.resume();
      request.once('end', () => {
        ended += 1;
        response.end();
      });
    });
    const target = await listen(context, server);
    const crowds = new Crowds({ random: () => 1 / 2 });
    context.after(() => crowds.close());
    await crowds.send({ ...FAULT, crowd, callers: 1, forMs: 500 }, [target]);
    assert.equal(ended > 0, WHOLE.has(crowd));
  });
}

test('a crowd keeps its connections until it leaves, and counts none of them as closed', async (context) => {
  const server = createServer((socket) => socket.on('error', () => socket.destroy()));
  const target = await listen(context, server);
  const crowds = new Crowds({ random: () => 0 });
  await crowds.send(FAULT, [target]);
  assert.deepEqual(crowds.counts, { opened: CALLERS, closed: 0, statuses: new Map() });
});

test('callers whose connections are closed count as such, and come back if they are to', async (context) => {
  const refusal = 'HTTP/1.1 503 Service Unavailable\r\n\r\n';
  const server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.resume().end(refusal);
  });
  const target = await listen(context, server);
  const crowds = new Crowds({ random: () => 0 });
  await crowds.send({ ...FAULT, comeBack: true, forMs: 1_500 }, [target]);
  const { opened, closed, statuses } = crowds.counts;
  assert.ok(opened > CALLERS, `${opened} connections`);
  assert.ok(closed >= CALLERS, `${closed} closed`);
  assert.ok((statuses.get('503') ?? 0) >= CALLERS);
});
