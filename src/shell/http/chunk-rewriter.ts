/**
 * Rewrites an engine's stream frames into the caller's chunks: the id, creation time and model are
 * the same in the complete answer, even when another engine resumes it, and chat requests get chat
 * chunks. The frames of an attempt normally start with the same bytes up to `"choices":[`. This
 * prefix is learned from the first frame and replaced without parsing the later ones. The version
 * (`system_fingerprint`) is forwarded; a frame of a version other than the answer's is malformed.
 */
import type { EventBuffer } from './event-buffer.js';
import type { FrameKind } from './frame-reader.js';
import type { CompletionShape } from './model-call.js';

/** The fields that are the same in all chunks of one answer. */
export interface AnswerHead {
  readonly id: string;
  /** Unix time in seconds. */
  readonly created: number;
  readonly model: string;
  readonly shape: CompletionShape;
}

/** The token counts that an engine reports at the end of an answer. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

type JsonObject = Readonly<Record<string, unknown>>;

const CHOICES = '"choices":[';
const EVENT_END = Buffer.from('\n\n');
const OPEN_BRACE = 0x7b;
const CLOSE_BRACE = 0x7d;
const HEAD_FIELDS: ReadonlySet<string> = new Set([
  'id',
  'object',
  'created',
  'model',
  'system_fingerprint',
]);

/** The start of each event sent to the caller, up to `"choices":[`. */
function callerPrefix(head: AnswerHead, version: string | null): Buffer {
  const fields = JSON.stringify({
    id: head.id,
    object: objectName(head.shape),
    created: head.created,
    model: head.model,
    ...(version === null ? {} : { system_fingerprint: version }),
  });
  return Buffer.from(`data: ${fields.slice(0, -1)},${CHOICES}`);
}

/** The end marker of a complete answer. */
export const DONE_EVENT = Buffer.from('data: [DONE]\n\n');

/** Rewrites the frames of one attempt. */
export class ChunkRewriter {
  readonly #head: AnswerHead;
  readonly #includeUsage: boolean;
  #callerPrefix: Buffer;
  #version: string | null;
  #usage: TokenUsage | null = null;
  /** Null until learned; stays null for an engine whose frames must each be parsed and rebuilt. */
  #enginePrefix: Buffer | null = null;

  /** `version` generated the tokens that the caller already has; null at the start of an answer. */
  constructor(head: AnswerHead, version: string | null, includeUsage: boolean) {
    this.#head = head;
    this.#includeUsage = includeUsage;
    this.#version = version;
    this.#callerPrefix = callerPrefix(head, version);
  }

  /** The model version that generates the answer; null until a frame states one. */
  get version(): string | null {
    return this.#version;
  }

  /** The token counts, or null until a frame states them. */
  get usage(): TokenUsage | null {
    return this.#usage;
  }

  /** Appends the rewritten frame to `output`. `start` and `end` delimit the frame's data. */
  rewrite(bytes: Buffer, start: number, end: number, output: EventBuffer): FrameKind {
    const engine = this.#enginePrefix;
    if (engine === null || !isTokenWithPrefix(bytes, start, end, engine)) {
      return this.#rebuild(bytes.toString('utf8', start, end), output);
    }
    output.append(this.#callerPrefix);
    output.append(bytes, start + engine.length, end);
    output.append(EVENT_END);
    return 'token';
  }

  #rebuild(text: string, output: EventBuffer): FrameKind {
    const frame = parseObject(text);
    if (frame === null || !Array.isArray(frame.choices)) return 'malformed';
    if (!this.#acceptVersion(frame.system_fingerprint)) return 'malformed';
    const choices = frame.choices as readonly unknown[];
    if (choices.length === 0) return this.#acceptUsage(frame, output);
    const choice = choices[0];
    if (choices.length > 1 || !isObject(choice)) return 'malformed';
    const converted = convertChoice(choice, this.#head.shape);
    if (converted === null) return 'malformed';
    if (converted === choice) this.#learnEnginePrefix(text, frame);
    this.#appendEvent(JSON.stringify(converted), '', output);
    return 'token';
  }

  /** Whether a frame has the answer's version, which is the first one that a frame states. */
  #acceptVersion(fingerprint: unknown): boolean {
    if (typeof fingerprint !== 'string') return this.#version === null;
    if (this.#version === null) {
      this.#version = fingerprint;
      this.#callerPrefix = callerPrefix(this.#head, fingerprint);
    }
    return this.#version === fingerprint;
  }

  /** Records the token counts and forwards them if requested; repeats are ignored. */
  #acceptUsage(frame: JsonObject, output: EventBuffer): FrameKind {
    if (this.#usage !== null) return 'usage';
    const usage = frame.usage;
    if (!isObject(usage)) return 'malformed';
    const { prompt_tokens: promptTokens, completion_tokens: outputTokens } = usage;
    if (typeof promptTokens !== 'number' || typeof outputTokens !== 'number') return 'malformed';
    this.#usage = { promptTokens, outputTokens };
    if (this.#includeUsage) this.#appendEvent('', `,"usage":${JSON.stringify(usage)}`, output);
    return 'usage';
  }

  #appendEvent(choice: string, trailingFields: string, output: EventBuffer): void {
    output.append(this.#callerPrefix);
    output.append(Buffer.from(`${choice}]${trailingFields}}`));
    output.append(EVENT_END);
  }

  /** Learns the engine's prefix if it contains all fields that must be replaced, and no others. */
  #learnEnginePrefix(text: string, frame: JsonObject): void {
    const at = text.indexOf(CHOICES);
    if (at < 0 || frame.object !== objectName(this.#head.shape)) return;
    const head = parseObject(`${text.slice(0, at).trimEnd().replace(/,$/, '')}}`);
    if (head === null) return;
    for (const field of HEAD_FIELDS) {
      if (field in frame && !(field in head)) return;
    }
    if (Object.keys(head).some((field) => !HEAD_FIELDS.has(field))) return;
    this.#enginePrefix = Buffer.from(text.slice(0, at + CHOICES.length));
  }
}

/** Whether a token's data has a finish reason, which marks the last token of an answer. */
export function hasFinishReason(data: string): boolean {
  const frame = parseObject(data);
  const choices = frame?.choices;
  const choice: unknown = Array.isArray(choices) ? choices[0] : undefined;
  return isObject(choice) && typeof choice.finish_reason === 'string';
}

/**
 * Converts a choice to the caller's shape. Returns the same object if it has that shape already,
 * and null if it has neither shape.
 */
function convertChoice(choice: JsonObject, shape: CompletionShape): JsonObject | null {
  if (shape === 'completion') return typeof choice.text === 'string' ? choice : null;
  if (isObject(choice.delta)) return choice;
  if (typeof choice.text !== 'string') return null;
  return {
    index: choice.index ?? 0,
    delta: { content: choice.text },
    finish_reason: choice.finish_reason ?? null,
  };
}

function objectName(shape: CompletionShape): string {
  return shape === 'chat' ? 'chat.completion.chunk' : 'text_completion';
}

function isTokenWithPrefix(bytes: Buffer, start: number, end: number, prefix: Buffer): boolean {
  const length = prefix.length;
  if (end - start <= length || bytes[start + length] !== OPEN_BRACE) return false;
  if (bytes[end - 1] !== CLOSE_BRACE) return false;
  for (let index = 0; index < length; index += 1) {
    if (bytes[start + index] !== prefix[index]) return false;
  }
  return true;
}

function parseObject(text: string): JsonObject | null {
  try {
    const value: unknown = JSON.parse(text);
    return isObject(value) ? value : null;
  } catch {
    return null;
  }
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
