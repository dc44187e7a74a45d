/** The responses of an emulated engine: JSON bodies and server-sent event frames. */
import type { ServerResponse } from 'node:http';
import type { AttemptId } from '../../../core/common/identifiers.js';
import type { EngineRefusal, RefusalCode } from '../outputs.js';
import { refusal } from '../refusals.js';

const STATUS_OF: Readonly<Record<RefusalCode, number>> = {
  'invalid-request': 400,
  'model-not-loaded': 404,
  'kv-gone': 404,
  'wrong-role': 409,
  'engine-full': 429,
  'engine-busy': 503,
};

/** The fields that all answers and frames of one request contain. */
export interface AnswerIdentity {
  readonly attempt: AttemptId;
  readonly model: string;
  readonly version: string;
  readonly chat: boolean;
}

/** Token counts of one answer. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** Sends a complete JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
    ...headers,
  });
  response.end(bytes);
}

/** Sends an answer whose `content-length` is wrong by `byBytes`, and closes the connection. */
export function sendWrongLength(
  response: ServerResponse,
  body: unknown,
  headers: Readonly<Record<string, string>>,
  byBytes: number,
): void {
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': bytes.length + byBytes,
    ...headers,
  });
  const { socket } = response;
  response.end(bytes, () => socket?.end());
}

/** Sends a refusal, which states that nothing was run. */
export function sendRefusal(response: ServerResponse, refusal: EngineRefusal): void {
  const { code, message, retryAfterSeconds } = refusal;
  const headers =
    retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) };
  sendJson(response, STATUS_OF[code], { error: { code, message }, notRun: true }, headers);
}

/** Sends a refusal for an invalid body or header. */
export function sendInvalid(response: ServerResponse, message: string): void {
  sendRefusal(response, refusal('invalid-request', message));
}

/** The body of a non-streamed answer. */
export function nonStreamedBody(identity: AnswerIdentity, text: string, usage: Usage): unknown {
  const choice = identity.chat
    ? { message: { role: 'assistant', content: text } }
    : { text, logprobs: null };
  return {
    ...head(identity, identity.chat ? 'chat.completion' : 'text_completion'),
    choices: [{ index: 0, ...choice, finish_reason: 'length' }],
    usage: usageBody(usage),
  };
}

/** The frame of one token. */
export function tokenFrame(
  identity: AnswerIdentity,
  offset: number,
  text: string,
  last: boolean,
): string {
  const content = identity.chat ? { delta: { content: text } } : { text };
  const data = {
    ...head(identity, frameObject(identity)),
    choices: [{ index: 0, ...content, finish_reason: last ? 'length' : null }],
  };
  return frame(`${identity.attempt}:${offset}`, data);
}

/** The final frames of a stream: the usage and `[DONE]`. */
export function endFrames(identity: AnswerIdentity, usage: Usage): string {
  const data = {
    ...head(identity, frameObject(identity)),
    choices: [],
    usage: usageBody(usage),
  };
  return `${frame(`${identity.attempt}:${usage.completionTokens}`, data)}data: [DONE]\n\n`;
}

function frame(id: string, data: unknown): string {
  return `id: ${id}\ndata: ${JSON.stringify(data)}\n\n`;
}

function frameObject(identity: AnswerIdentity): string {
  return identity.chat ? 'chat.completion.chunk' : 'text_completion';
}

function head(identity: AnswerIdentity, object: string): Readonly<Record<string, unknown>> {
  return {
    id: identity.attempt,
    object,
    model: identity.model,
    system_fingerprint: identity.version,
  };
}

function usageBody({ promptTokens, completionTokens }: Usage): unknown {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}
