/** Builds what the core and the backends need of a caller's request once its body is here. */
import type { IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { RequestId } from '../../core/common/identifiers.js';
import { prefixBlockHashes } from '../../core/common/prefix-blocks.js';
import type { MonotonicMs } from '../../core/common/time.js';
import type { RouteConfiguration } from '../../core/configuration/document.js';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';
import type { RequestDescription } from '../../core/requests/index.js';
import type { AnswerPlan, BackendCall } from './active-request.js';
import { type Caller, digestOf, readCallerOptions } from './caller-options.js';
import type { ConfigurationIndex } from './configuration-index.js';
import { requestHeadersToBackend } from './headers.js';
import { type CompletionShape, readModelCall } from './model-call.js';

/** The paths of the model API. */
export const MODEL_PATHS: ReadonlyMap<string, CompletionShape> = new Map([
  ['/v1/completions', 'completion'],
  ['/v1/chat/completions', 'chat'],
]);

/** What is known of an arriving request besides its headers. */
export interface Arrival {
  readonly id: RequestId;
  readonly request: IncomingMessage;
  /** Without the query. */
  readonly path: string;
  readonly body: Buffer;
  readonly now: MonotonicMs;
  readonly index: ConfigurationIndex;
}

/** A request ready for the core. */
export interface PreparedRequest {
  readonly description: RequestDescription;
  readonly call: BackendCall;
  readonly plan: AnswerPlan;
}

/** Prompt blocks that prefix affinity looks at; hashing more costs more than it gains. */
const MAX_PREFIX_BLOCKS = 32;
const REPEATABLE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);
const PASS_THROUGH_PLAN: AnswerPlan = { answerHead: null, includeUsage: false };
const MODEL_HEADERS = ['content-type', 'application/json'] as const;

/** Takes in a completion or chat completion request. */
export function prepareModelRequest(
  arrival: Arrival,
  shape: CompletionShape,
  caller: Caller,
  maxOutputTokens: number,
): Result<PreparedRequest, Fault> {
  const { body, index, path } = arrival;
  const options = readCallerOptions(index, arrival.request.headers, caller);
  if (options.isErr()) return err(options.error);
  const read = readModelCall(body, shape, maxOutputTokens);
  if (read.isErr()) return err(read.error);
  const call = read.value;
  const served = index.models.get(call.modelName);
  if (served === undefined) return err(UNKNOWN_MODEL);
  const { className, deadlineMs, idempotencyKey, repeatable } = options.value;
  const description: RequestDescription = {
    id: arrival.id,
    tenant: caller.name,
    className,
    target: {
      kind: 'model',
      model: served.model,
      adapter: served.adapter,
      promptTokens: call.promptTokens,
      maxOutputTokens: call.maxOutputTokens,
      prefixHashes: prefixBlockHashes(call.promptText, MAX_PREFIX_BLOCKS),
    },
    streamed: call.streamed,
    repeatable: repeatable ?? true,
    idempotencyKey,
    bodyDigest: idempotencyKey === null ? null : digestOf('POST', path, body),
    arrivedAt: arrival.now,
    deadline: arrival.now + deadlineMs,
  };
  const plan: AnswerPlan = call.streamed
    ? { answerHead: answerHead(arrival.id, call.modelName, shape), includeUsage: call.includeUsage }
    : PASS_THROUGH_PLAN;
  return ok({ description, call: { method: 'POST', path, body, headers: MODEL_HEADERS }, plan });
}

/** Takes in a request to a web service. */
export function prepareWebRequest(
  arrival: Arrival,
  route: RouteConfiguration,
  caller: Caller,
): Result<PreparedRequest, Fault> {
  const { request, body, index } = arrival;
  const options = readCallerOptions(index, request.headers, caller);
  if (options.isErr()) return err(options.error);
  const method = request.method ?? 'GET';
  const path = request.url ?? '/';
  const { className, deadlineMs, idempotencyKey, repeatable } = options.value;
  const description: RequestDescription = {
    id: arrival.id,
    tenant: caller.name,
    className,
    target: { kind: 'web', service: route.service },
    streamed: false,
    repeatable: repeatable ?? (REPEATABLE_METHODS.has(method) || route.repeatable),
    idempotencyKey,
    bodyDigest: idempotencyKey === null ? null : digestOf(method, path, body),
    arrivedAt: arrival.now,
    deadline: arrival.now + deadlineMs,
  };
  const headers = requestHeadersToBackend(request.rawHeaders, request.headers, {
    callerAddress: request.socket.remoteAddress ?? '',
    stripAuthorization: caller.identifiedByKey,
  });
  const sent = body.length === 0 && request.headers['content-length'] === undefined ? null : body;
  return ok({ description, call: { method, path, body: sent, headers }, plan: PASS_THROUGH_PLAN });
}

function answerHead(
  id: RequestId,
  model: string,
  shape: CompletionShape,
): NonNullable<AnswerPlan['answerHead']> {
  const prefix = shape === 'chat' ? 'chatcmpl-' : 'cmpl-';
  return { id: prefix + id, created: Math.floor(Date.now() / 1_000), model, shape };
}

const UNKNOWN_MODEL = refusedNotRun(
  'unknown-model',
  'No model or adapter is named so. GET /v1/models lists those that are served.',
);
