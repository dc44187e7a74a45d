/** Sends one request of a workload to a daemon and checks the answer. */
import type { Agent, Dispatcher } from 'undici';
import type { Milliseconds } from '../../core/common/time.js';
import { tileContent } from '../web/index.js';
import { type Arrival, type ModelArrivalRequest, promptText } from '../workload/index.js';
import { type AnswerPart, judgeAnswer, readAnswerPart } from './answer-check.js';
import { errorOutcome, parseJson } from './error-answer.js';
import { EventStreamReader } from './event-stream.js';
import type { Outcome } from './outcome.js';

/** Receives the progress of a call; times are from the monotonic clock. */
export interface CallObserver {
  /** Called for each received frame of a streamed answer that contains text. */
  onToken(at: Milliseconds): void;
  /** Called when the status and headers of an answer arrive. */
  onHead?(status: number, headers: Dispatcher.ResponseData['headers']): void;
}

/** Options of a call. */
export interface CallOptions {
  readonly agent: Agent;
  /** The daemon's address for callers, as `http://IP:PORT`. */
  readonly origin: string;
  readonly signal: AbortSignal;
  readonly observer: CallObserver;
  /** Headers in addition to those of the arrival. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** Errors of connecting; no request can have been sent. */
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** The load itself aborted the call: it was interrupted, or its final time-out expired. */
const CALLER_GAVE_UP = 'caller-gave-up';

/** Makes one call and returns its outcome. Never rejects. */
export async function call(arrival: Arrival, options: CallOptions): Promise<Outcome> {
  const prompt = arrival.request.kind === 'model' ? promptText(arrival.request.prompt) : '';
  let response: Dispatcher.ResponseData;
  try {
    const { headers, ...rest } = requestOf(arrival, prompt);
    response = await options.agent.request({
      origin: options.origin,
      ...rest,
      headers: { ...headers, ...options.headers },
      signal: options.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  } catch (error) {
    if (options.signal.aborted) return { kind: 'unknown', code: CALLER_GAVE_UP };
    return outcomeOfFailedRequest(error);
  }
  options.observer.onHead?.(response.statusCode, response.headers);
  try {
    return await checkResponse(arrival, prompt, response, options.observer);
  } catch (error) {
    if (options.signal.aborted) return { kind: 'unknown', code: CALLER_GAVE_UP };
    return { kind: 'cut', detail: codeOf(error) };
  }
}

type RequestOptions = Pick<Dispatcher.RequestOptions, 'method' | 'path' | 'body'> & {
  readonly headers: Record<string, string>;
};

function requestOf(arrival: Arrival, prompt: string): RequestOptions {
  const { request, source } = arrival;
  const headers: Record<string, string> = {};
  if (source.apiKey !== undefined) headers.authorization = `Bearer ${source.apiKey}`;
  if (source.className !== undefined) headers['x-threadfork-class'] = source.className;
  switch (request.kind) {
    case 'web-read':
      return { method: 'GET', path: request.path, headers };
    case 'web-order': {
      headers['x-request-key'] = request.requestKey;
      if (request.keyed) headers['idempotency-key'] = request.requestKey;
      return { method: 'POST', path: request.path, body: '{}', headers };
    }
    case 'model': {
      headers['content-type'] = 'application/json';
      const path = request.chat ? '/v1/chat/completions' : '/v1/completions';
      return { method: 'POST', path, body: modelBody(request, prompt), headers };
    }
  }
}

function modelBody(request: ModelArrivalRequest, prompt: string): string {
  const input = request.chat ? { messages: [{ role: 'user', content: prompt }] } : { prompt };
  return JSON.stringify({
    model: request.adapter ?? request.model,
    ...input,
    max_tokens: request.outputTokens,
    stream: request.streamed,
    ...(request.streamed ? { stream_options: { include_usage: true } } : {}),
  });
}

async function checkResponse(
  arrival: Arrival,
  prompt: string,
  response: Dispatcher.ResponseData,
  observer: CallObserver,
): Promise<Outcome> {
  const { statusCode, headers, body } = response;
  if (statusCode !== 200) {
    return errorOutcome(statusCode, headers['retry-after'], await body.text());
  }
  const { request } = arrival;
  switch (request.kind) {
    case 'web-read':
      return checkTile(request.path, Buffer.from(await body.arrayBuffer()));
    case 'web-order':
      return checkOrder(request.requestKey, await body.text());
    case 'model':
      if (request.streamed) return checkStream(request, prompt, body, observer);
      return checkNonStreamed(request, prompt, await body.text());
  }
}

function checkNonStreamed(request: ModelArrivalRequest, prompt: string, body: string): Outcome {
  const part = readAnswerPart(body);
  if (part === null) return { kind: 'wrong', detail: 'malformed answer' };
  return judgeAnswer(request, prompt, [part]);
}

async function checkStream(
  request: ModelArrivalRequest,
  prompt: string,
  body: AsyncIterable<Uint8Array>,
  observer: CallObserver,
): Promise<Outcome> {
  const reader = new EventStreamReader();
  const parts: AnswerPart[] = [];
  let done = false;
  for await (const chunk of body) {
    for (const event of reader.read(chunk)) {
      if (done) return { kind: 'wrong', detail: 'an event after [DONE]' };
      if (event.data === '[DONE]') {
        done = true;
        continue;
      }
      const part = readAnswerPart(event.data);
      if (part === null) return outcomeOfUnreadableFrame(event.data);
      parts.push(part);
      if (part.text !== '') observer.onToken(performance.now());
    }
  }
  if (!done) return { kind: 'cut', detail: 'the stream ended without [DONE]' };
  if (reader.isBroken) return { kind: 'wrong', detail: 'bytes after [DONE]' };
  return judgeAnswer(request, prompt, parts);
}

/** An error frame means that the answer was cut; any other frame without text is wrong. */
function outcomeOfUnreadableFrame(data: string): Outcome {
  const parsed = parseJson(data) as { error?: { code?: unknown } } | null | undefined;
  if (parsed?.error === undefined) return { kind: 'wrong', detail: 'malformed frame' };
  return { kind: 'cut', detail: `error in the stream: ${String(parsed.error.code)}` };
}

function checkTile(path: string, body: Buffer): Outcome {
  const expected = tileContent(path, body.length);
  const right = body.length > 0 && body.equals(expected);
  return right
    ? { kind: 'finished', outputTokens: 0 }
    : { kind: 'wrong', detail: `the bytes are not those of ${path}` };
}

function checkOrder(requestKey: string, body: string): Outcome {
  const answer = parseJson(body) as { key?: unknown; runs?: unknown } | null | undefined;
  if (answer?.key !== requestKey)
    return { kind: 'wrong', detail: 'the answer belongs to another order' };
  if (answer.runs !== 1) return { kind: 'wrong', detail: `run ${String(answer.runs)} times` };
  return { kind: 'finished', outputTokens: 0 };
}

function outcomeOfFailedRequest(error: unknown): Outcome {
  const code = codeOf(error);
  if (CONNECT_ERRORS.has(code)) return { kind: 'refused', code, retryAfterMs: null };
  return { kind: 'unknown', code };
}

function codeOf(error: unknown): string {
  const { name, code } = error as { name?: string; code?: unknown };
  return typeof code === 'string' ? code : (name ?? 'error');
}
