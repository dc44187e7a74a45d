/** Guards against answers that callers leave unread and that take more memory than the machine has. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { afterEach, test } from 'node:test';
import { assertOutlives, openUnread } from '../support/crowd.js';
import { RealGateway } from '../support/real-gateway.js';
import { head, MODEL, type Target, WEB } from '../support/request-bytes.js';

const LIMITS = { maxOldSpaceMb: 64, memoryMb: 300 };
const CALLERS = 150;
const LARGE_ANSWER = Buffer.alloc(4_000_000, 'x');
const EVENTS_PER_WRITE = 100;
const EVENTS = `data: ${'x'.repeat(1_000)}\n\n`.repeat(EVENTS_PER_WRITE);

let gateway: RealGateway | undefined;

afterEach(() => gateway?.stop());

async function assertOutlivesUnread(
  target: Target,
  serve: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<void> {
  const to = new RealGateway(LIMITS);
  gateway = to;
  await to.start();
  to.serve = serve;
  const request = () => Buffer.from(head('GET', target, {}));
  await openUnread(to, CALLERS, request);
  await assertOutlives(to, LIMITS);
}

function stampOf(request: IncomingMessage): Record<string, string> {
  return { 'X-Attempt-Id': String(request.headers['x-attempt-id']), 'X-Response-Stamp': 'stamp' };
}

function sendEventsWithoutEnd(response: ServerResponse): void {
  const write = () => {
    while (!response.destroyed && response.write(EVENTS)) {
      // Goes on until the system takes no more.
    }
  };
  response.on('drain', write);
  write();
}

test('large answers that callers do not read stay within the memory of the machine', async () => {
  await assertOutlivesUnread(WEB, (request, response) => {
    response.writeHead(200, stampOf(request)).end(LARGE_ANSWER);
  });
});

test('streams that callers do not read stay within the memory of the machine', async () => {
  await assertOutlivesUnread(MODEL, (request, response) => {
    response.writeHead(200, { ...stampOf(request), 'Content-Type': 'text/event-stream' });
    sendEventsWithoutEnd(response);
  });
});
