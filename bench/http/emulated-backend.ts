/**
 * The backend process of the benchmark: a minimal engine (docs/ENGINE-API.md) with fixed answers
 * that cost little CPU time. It sends non-streamed answers immediately, streams one token per step.
 *
 *     node emulated-backend.js NAME
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Fence, Intake } from '../../src/core/registry/backend.js';
import { MODEL, NON_STREAMED_TOKENS, STREAM_STEP_MS, STREAM_TOKENS, VERSION } from './shapes.js';

const ADDRESS = '127.0.0.1';
const KEEP_ALIVE_MS = 60_000;
const PROMPT_TOKENS = 400;
const MAX_BATCH = 100_000;
const WHOLE_TEXT = ' word'.repeat(NON_STREAMED_TOKENS);
const WHOLE_BODY = Buffer.from(
  JSON.stringify({
    id: 'cmpl-1',
    object: 'text_completion',
    created: 1,
    model: MODEL,
    system_fingerprint: VERSION,
    choices: [{ index: 0, text: WHOLE_TEXT, finish_reason: 'length', logprobs: null }],
    usage: usage(NON_STREAMED_TOKENS),
  }),
);

interface Stream {
  readonly response: ServerResponse;
  readonly attempt: string;
  offset: number;
}

const name = process.argv[2] ?? 'backend';
const streams = new Set<Stream>();
let active = 0;
let fence: Fence | null = null;
let intake: Intake = 'open';
let lastOrder: { readonly id: string; readonly state: 'done' } | null = null;

const server = createServer((request, response) => {
  if (request.method === 'GET') {
    answerGet(request, response);
    return;
  }
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => answerPost(request, response, Buffer.concat(chunks).toString()));
});
server.keepAliveTimeout = KEEP_ALIVE_MS;
server.listen(0, ADDRESS, () => {
  const listening = server.address();
  const port = typeof listening === 'object' ? listening?.port : undefined;
  console.log(JSON.stringify({ address: ADDRESS, port }));
});
setInterval(step, STREAM_STEP_MS);

function answerGet(request: IncomingMessage, response: ServerResponse): void {
  if (request.url?.startsWith('/control/report') === true) {
    sendJson(response, report());
  } else if (request.url?.startsWith('/control/cache-events') === true) {
    sendJson(response, { events: [], last: 0 });
  } else {
    sendJson(response, { state: lastOrder === null ? 'unknown' : 'done' });
  }
}

function answerPost(request: IncomingMessage, response: ServerResponse, body: string): void {
  if (request.url === '/control/orders') {
    handleOrder(response, body);
    return;
  }
  const attempt = String(request.headers['x-threadfork-attempt'] ?? 'none');
  active += 1;
  response.on('close', () => {
    active -= 1;
  });
  if (body.includes('"stream":true')) {
    const head = { 'content-type': 'text/event-stream', 'x-threadfork-attempt': attempt };
    response.writeHead(200, head);
    streams.add({ response, attempt, offset: 0 });
    return;
  }
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': WHOLE_BODY.length,
    'x-threadfork-attempt': attempt,
  });
  response.end(WHOLE_BODY);
}

function step(): void {
  for (const stream of streams) {
    if (stream.response.destroyed) {
      streams.delete(stream);
    } else if (stream.offset < STREAM_TOKENS) {
      stream.response.write(tokenFrame(stream));
      stream.offset += 1;
    } else {
      streams.delete(stream);
      const last = { ...head(), choices: [], usage: usage(STREAM_TOKENS) };
      const id = `id: ${stream.attempt}:${STREAM_TOKENS}\n`;
      stream.response.end(`${id}data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    }
  }
}

function tokenFrame({ attempt, offset }: Stream): string {
  const finish = offset === STREAM_TOKENS - 1 ? '"length"' : 'null';
  const choice = `{"index":0,"text":" word","finish_reason":${finish}}`;
  const start = `{"id":"cmpl-1","object":"text_completion","created":1,"model":"${MODEL}"`;
  const data = `${start},"system_fingerprint":"${VERSION}","choices":[${choice}]}`;
  return `id: ${attempt}:${offset}\ndata: ${data}\n\n`;
}

function head(): object {
  return {
    id: 'cmpl-1',
    object: 'text_completion',
    created: 1,
    model: MODEL,
    system_fingerprint: VERSION,
  };
}

function handleOrder(response: ServerResponse, body: string): void {
  const order = JSON.parse(body);
  fence = order.fence;
  lastOrder = { id: order.id, state: 'done' };
  if (order.action.kind === 'hold') {
    intake = order.action.intake;
  }
  sendJson(response, { kind: 'accepted', state: 'done' });
}

function report(): object {
  return {
    engine: name,
    boot: `${name}-boot`,
    role: 'mixed',
    intake,
    busy: false,
    leaving: false,
    models: [{ model: MODEL, version: VERSION, adapters: [] }],
    fence,
    lastOrder,
    maxBatch: MAX_BATCH,
    activeRequests: active,
    load: {
      ageMs: 0,
      running: active,
      queued: 0,
      queuedPrefillTokens: 0,
      kvUsed: 0,
      prefillTokensPerSecond: 20_000,
      decodeStepMs: STREAM_STEP_MS,
    },
  };
}

function usage(tokens: number): object {
  return {
    prompt_tokens: PROMPT_TOKENS,
    completion_tokens: tokens,
    total_tokens: PROMPT_TOKENS + tokens,
  };
}

function sendJson(response: ServerResponse, body: unknown): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': bytes.length });
  response.end(bytes);
}
