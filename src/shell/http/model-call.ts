/** Reads the fields of a completion or chat completion request that routing and limits need. */
import { err, ok, type Result } from 'neverthrow';
import { type Fault, refusedNotRun } from '../../core/errors/fault.js';

/** Which of OpenAI's two completion APIs the caller uses. */
export type CompletionShape = 'completion' | 'chat';

/** The fields read from a body. The body itself is forwarded to the engine unchanged. */
export interface ModelCall {
  readonly modelName: string;
  readonly streamed: boolean;
  /** Whether the caller requested a last chunk with the token counts. */
  readonly includeUsage: boolean;
  readonly maxOutputTokens: number;
  readonly promptText: string;
  /** The estimated number of prompt tokens. */
  readonly promptTokens: number;
}

/** The answer length assumed for a request without `max_tokens`. */
const DEFAULT_OUTPUT_TOKENS = 256;
const CHARACTERS_PER_TOKEN = 4;
/** The estimated prompt tokens of an image part. */
const TOKENS_PER_IMAGE = 512;
const MAX_MODEL_NAME_CHARACTERS = 200;

type JsonObject = Readonly<Record<string, unknown>>;

interface Prompt {
  readonly text: string;
  readonly tokens: number;
}

/** Parses and validates a body. */
export function readModelCall(
  body: Buffer,
  shape: CompletionShape,
  maxOutputTokens: number,
): Result<ModelCall, Fault> {
  const parsed = parseObject(body);
  if (parsed === null) return invalid('The body is not a JSON object. Send one with `model`.');
  const modelName = parsed.model;
  if (typeof modelName !== 'string' || modelName === '') {
    return invalid('`model` must be a string. Name a model of GET /v1/models.');
  }
  if (modelName.length > MAX_MODEL_NAME_CHARACTERS) {
    return invalid('`model` is too long. Name a model of GET /v1/models.');
  }
  const problem = optionsError(parsed, maxOutputTokens);
  if (problem !== null) return invalid(problem);
  const prompt = shape === 'chat' ? readMessages(parsed.messages) : readPrompt(parsed.prompt);
  if (typeof prompt === 'string') return invalid(prompt);
  return ok({
    modelName,
    streamed: parsed.stream === true,
    includeUsage: requestsUsage(parsed.stream_options),
    maxOutputTokens: requestedOutputTokens(parsed) ?? DEFAULT_OUTPUT_TOKENS,
    promptText: prompt.text,
    promptTokens: prompt.tokens,
  });
}

function invalid(message: string): Result<never, Fault> {
  return err(refusedNotRun('invalid-request', message));
}

function parseObject(body: Buffer): JsonObject | null {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    return isObject(value) ? value : null;
  } catch {
    return null;
  }
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The error in the options other than model and prompt, or null. */
function optionsError(body: JsonObject, maxOutputTokens: number): string | null {
  if (!isOptionalBoolean(body.stream)) return '`stream` must be true or false.';
  for (const name of ['max_tokens', 'max_completion_tokens']) {
    const problem = tokenLimitError(name, body[name], maxOutputTokens);
    if (problem !== null) return problem;
  }
  for (const name of ['n', 'best_of']) {
    const value = body[name];
    if (value !== undefined && value !== null && value !== 1) {
      return `\`${name}\` must be 1. Send one request for each answer.`;
    }
  }
  const options = body.stream_options;
  if (options !== undefined && options !== null && !isObject(options)) {
    return '`stream_options` must be an object.';
  }
  return null;
}

function isOptionalBoolean(value: unknown): boolean {
  return value === undefined || value === null || typeof value === 'boolean';
}

function tokenLimitError(name: string, value: unknown, limit: number): string | null {
  if (value === undefined || value === null) return null;
  const isInteger = typeof value === 'number' && Number.isSafeInteger(value);
  if (isInteger && value >= 1 && value <= limit) return null;
  return `\`${name}\` must be a whole number from 1 to ${limit}.`;
}

function requestedOutputTokens(body: JsonObject): number | undefined {
  const requested = body.max_completion_tokens ?? body.max_tokens;
  return typeof requested === 'number' ? requested : undefined;
}

function requestsUsage(options: unknown): boolean {
  return isObject(options) && options.include_usage === true;
}

function readPrompt(prompt: unknown): Prompt | string {
  if (typeof prompt === 'string') {
    return { text: prompt, tokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) };
  }
  if (Array.isArray(prompt) && prompt.length > 0 && prompt.every(isToken)) {
    return { text: prompt.join(' '), tokens: prompt.length };
  }
  return '`prompt` must be one string or one list of token numbers. Send one request for each prompt.';
}

function isToken(value: unknown): boolean {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

/** The prompt of a chat is its contents joined by line feeds, as docs/ENGINE-API.md defines it. */
function readMessages(messages: unknown): Prompt | string {
  if (!Array.isArray(messages) || messages.length === 0) {
    return '`messages` must be a list of at least one message.';
  }
  const contents: string[] = [];
  let images = 0;
  for (const message of messages as readonly unknown[]) {
    if (!isObject(message) || typeof message.role !== 'string') {
      return 'Each of `messages` must be an object with a `role`.';
    }
    const content = readContent(message.content);
    if (content === null) {
      return 'The `content` of a message must be a string or a list of content parts.';
    }
    contents.push(content.text);
    images += content.images;
  }
  const text = contents.join('\n');
  const tokens = Math.ceil(text.length / CHARACTERS_PER_TOKEN) + images * TOKENS_PER_IMAGE;
  return { text, tokens };
}

function readContent(content: unknown): { readonly text: string; readonly images: number } | null {
  if (typeof content === 'string') return { text: content, images: 0 };
  if (content === undefined || content === null) return { text: '', images: 0 };
  if (!Array.isArray(content)) return null;
  let text = '';
  let images = 0;
  for (const part of content as readonly unknown[]) {
    if (!isObject(part)) return null;
    if (typeof part.text === 'string') text += part.text;
    else images += 1;
  }
  return { text, images };
}
