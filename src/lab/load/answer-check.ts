/** Compares answers with the expected output of the emulated model. */
import { z } from 'zod';
import { expectedTokens } from '../engine/index.js';
import type { ModelArrivalRequest } from '../workload/index.js';
import { parseJson } from './error-answer.js';
import type { Outcome } from './outcome.js';

const text = z.union([
  z.object({ text: z.string() }).transform((choice) => choice.text),
  z.object({ delta: z.object({ content: z.string() }) }).transform((c) => c.delta.content),
  z.object({ message: z.object({ content: z.string() }) }).transform((c) => c.message.content),
]);

const answerSchema = z.object({
  system_fingerprint: z.string(),
  choices: z.array(text),
  usage: z.object({ completion_tokens: z.int().min(0) }).optional(),
});

/** A non-streamed answer or one frame of a stream, reduced to the checked fields. */
export interface AnswerPart {
  readonly version: string;
  readonly text: string;
  /** Null in frames before the last. */
  readonly completionTokens: number | null;
}

/** Parses the body of a non-streamed answer or the data of a frame; null if it is malformed. */
export function readAnswerPart(json: string): AnswerPart | null {
  const parsed = answerSchema.safeParse(parseJson(json));
  if (!parsed.success) return null;
  return {
    version: parsed.data.system_fingerprint,
    text: parsed.data.choices.join(''),
    completionTokens: parsed.data.usage?.completion_tokens ?? null,
  };
}

/** Checks the parts of an answer that ended normally. */
export function judgeAnswer(
  request: ModelArrivalRequest,
  prompt: string,
  parts: readonly AnswerPart[],
): Outcome {
  const version = parts[0]?.version ?? '';
  if (parts.some((part) => part.version !== version)) return wrong('two versions in one answer');
  if (version.includes('+') !== (request.adapter !== null)) return wrong(`version ${version}`);
  const stated = parts.at(-1)?.completionTokens ?? null;
  if (stated !== request.outputTokens) {
    return wrong(`usage states ${stated} tokens, expected ${request.outputTokens}`);
  }
  const { model, adapter, outputTokens: count } = request;
  const expected = expectedTokens({ model, adapter, version, prompt, count }).join('');
  const received = parts.map((part) => part.text).join('');
  if (received === expected) return { kind: 'finished', outputTokens: count };
  return wrong(differenceOf(received, expected));
}

/** Describes the first difference by its position only; it contains no text of the answer. */
function differenceOf(received: string, expected: string): string {
  let at = 0;
  while (at < received.length && received[at] === expected[at]) at += 1;
  return `differs at character ${at}; ${received.length} characters of ${expected.length}`;
}

function wrong(detail: string): Outcome {
  return { kind: 'wrong', detail };
}
