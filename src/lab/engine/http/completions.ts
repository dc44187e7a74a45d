/** `POST /v1/completions`, `/v1/chat/completions` and `/v1/prefill` of an emulated engine. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EngineAcceptance, EngineOutput, EngineWork } from '../outputs.js';
import { describePrompt, tokenAt } from '../tokens.js';
import {
  type AnswerIdentity,
  nonStreamedBody,
  sendInvalid,
  sendJson,
  sendRefusal,
  sendWrongLength,
  type Usage,
} from './answers.js';
import {
  type CompletionBody,
  checkCompletion,
  checkHeaders,
  type EngineHeaders,
  readJson,
} from './bodies.js';
import type { EngineHost } from './engine-host.js';
import type { AnswerFault } from './faults.js';
import { StreamWriter } from './stream-writer.js';

/** The kinds of request. */
export type CompletionKind = 'completion' | 'chat' | 'prefill';

interface CheckedRequest {
  readonly kind: CompletionKind;
  readonly headers: EngineHeaders;
  readonly body: CompletionBody;
}

type PrefilledOutput = Extract<EngineOutput, { kind: 'prefilled' }>;

interface OpenAnswer {
  readonly request: CheckedRequest;
  readonly response: ServerResponse;
  readonly identity: AnswerIdentity;
  readonly acceptance: EngineAcceptance;
  readonly fault: AnswerFault | null;
  /** Null for an answer that is not streamed. */
  readonly stream: StreamWriter | null;
}

let anonymousAttempts = 0;

/** Answers one request. */
export async function handleCompletion(
  host: EngineHost,
  kind: CompletionKind,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  anonymousAttempts += 1;
  const headers = checkHeaders(request.headers, `anonymous-${anonymousAttempts}`);
  const json = await readJson(request);
  const body = json.andThen((value) => checkCompletion(value, kind === 'chat'));
  if (headers.isErr()) return sendInvalid(response, headers.error);
  if (body.isErr()) return sendInvalid(response, body.error);
  submit(host, { kind, headers: headers.value, body: body.value }, response);
}

function submit(host: EngineHost, request: CheckedRequest, response: ServerResponse): void {
  const { headers, body, kind } = request;
  let open: OpenAnswer | null = null;
  const answer = host.submit(
    {
      attempt: headers.attempt,
      priority: headers.priority,
      name: body.model,
      version: headers.version,
      describe: (resolved) =>
        describePrompt({ ...resolved, samplingSeed: body.samplingSeed }, body.prompt),
      work: workOf(request),
    },
    (output) => {
      if (open !== null) deliver(open, output);
    },
  );
  if (answer.kind === 'refused') {
    sendRefusal(response, answer);
    return;
  }
  const identity = {
    attempt: headers.attempt,
    model: body.model,
    version: answer.version,
    chat: kind === 'chat',
  };
  const fault = kind === 'prefill' ? null : host.faults.takeForAnswer(body.stream);
  const stream = isStreamed(request) ? openStream(host, response, identity, fault) : null;
  open = { request, response, identity, acceptance: answer, fault, stream };
  response.on('close', () => {
    if (!response.writableFinished) host.cancel(identity.attempt);
  });
  stream?.begin();
}

function isStreamed({ kind, body }: CheckedRequest): boolean {
  return kind !== 'prefill' && body.stream;
}

function openStream(
  host: EngineHost,
  response: ServerResponse,
  identity: AnswerIdentity,
  fault: AnswerFault | null,
): StreamWriter {
  const setPaused = (paused: boolean): void => host.setPaused(identity.attempt, paused);
  const giveBack = (unusedFault: AnswerFault): void => host.faults.rearm(unusedFault);
  return new StreamWriter(
    response,
    identity,
    { setPaused, crash: host.crash, rearm: giveBack },
    fault,
  );
}

function workOf({ kind, headers, body }: CheckedRequest): EngineWork {
  if (kind === 'prefill') return { kind: 'prefill' };
  return {
    kind: 'completion',
    streamed: body.stream,
    maxTokens: body.maxTokens,
    resumeOffset: headers.resumeOffset,
    kvHandle: headers.kvHandle,
  };
}

function deliver(open: OpenAnswer, output: EngineOutput): void {
  if (output.kind === 'token') writeToken(open, output.offset);
  else if (output.kind === 'finished') sendEnd(open, output);
  else if (output.kind === 'prefilled') sendHandle(open, output);
  else open.response.destroy();
}

function writeToken({ request, acceptance, stream }: OpenAnswer, offset: number): void {
  const text = tokenAt(acceptance.prompt.digest, offset);
  stream?.token(offset, text, offset + 1 === request.body.maxTokens);
}

function sendEnd(open: OpenAnswer, usage: Usage): void {
  if (open.stream === null) sendWhole(open, usage);
  else open.stream.end(usage);
}

function sendHandle({ response, identity }: OpenAnswer, prefilled: PrefilledOutput): void {
  const { kvHandle, promptTokens, kvBytes } = prefilled;
  const headers = { 'x-threadfork-attempt': identity.attempt };
  sendJson(response, 200, { kvHandle, promptTokens, kvBytes }, headers);
}

function sendWhole(open: OpenAnswer, usage: Usage): void {
  const { request, response, identity, acceptance, fault } = open;
  const { resumeOffset } = request.headers;
  const count = request.body.maxTokens - resumeOffset;
  const text = Array.from({ length: count }, (_, index) =>
    tokenAt(acceptance.prompt.digest, resumeOffset + index),
  ).join('');
  const headers = { 'x-threadfork-attempt': identity.attempt };
  const body = nonStreamedBody(identity, text, usage);
  if (fault?.kind === 'wrong-length') sendWrongLength(response, body, headers, fault.byBytes);
  else sendJson(response, 200, body, headers);
}
