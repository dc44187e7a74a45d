/**
 * Sends one completion request to the caller address of a daemon. The next daemon is tried only if no
 * byte of the request can have been sent, so that the request never runs twice.
 */
import { Agent, type Dispatcher, request } from 'undici';
import { z } from 'zod';
import type { Endpoint } from '../core/registry/backend.js';
import { formatEndpoint } from '../shell/settings/index.js';
import { readText } from './answer-body.js';
import { readEventData } from './event-stream.js';
import { errorMessage, isNotSent } from './send-failure.js';

/** A completion request. */
export interface CompletionRequest {
  readonly daemons: readonly Endpoint[];
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readonly<Record<string, unknown>>;
  readonly streamed: boolean;
  readonly timeoutMs: number;
}

/** The outcome of a completion request. */
export type CompletionOutcome =
  | { readonly kind: 'answered'; readonly answer: unknown }
  | { readonly kind: 'refused'; readonly message: string }
  /** The request may have run; the text printed so far is not the complete answer. */
  | { readonly kind: 'unknown'; readonly message: string }
  | { readonly kind: 'unreachable'; readonly reasons: readonly string[] };

const CONNECT_TIMEOUT_MS = 2_000;
const STATUS_OK = 200;

/** Sends the request and passes each part of the text to `onText` as it arrives. */
export async function sendCompletion(
  completion: CompletionRequest,
  onText: (text: string) => void,
): Promise<CompletionOutcome> {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: completion.timeoutMs,
    bodyTimeout: completion.timeoutMs,
  });
  const reasons: string[] = [];
  try {
    for (const endpoint of completion.daemons) {
      const daemon = formatEndpoint(endpoint);
      try {
        return await sendTo(daemon, completion, agent, onText);
      } catch (error) {
        const reason = `${daemon}: ${errorMessage(error)}`;
        if (!isNotSent(error)) {
          return { kind: 'unknown', message: `The answer broke off (${reason}); it may have run.` };
        }
        reasons.push(reason);
      }
    }
    return { kind: 'unreachable', reasons };
  } finally {
    await agent.destroy();
  }
}

async function sendTo(
  daemon: string,
  completion: CompletionRequest,
  dispatcher: Dispatcher,
  onText: (text: string) => void,
): Promise<CompletionOutcome> {
  const answer = await request(`http://${daemon}/v1/completions`, {
    method: 'POST',
    dispatcher,
    headers: { ...completion.headers, 'content-type': 'application/json' },
    body: JSON.stringify(completion.body),
  });
  if (answer.statusCode !== STATUS_OK) {
    return readError(answer.statusCode, await readText(answer.body));
  }
  return completion.streamed
    ? readStream(answer.body, onText)
    : readComplete(JSON.parse(await readText(answer.body)), onText);
}

const errorSchema = z.object({
  error: z.object({ message: z.string(), code: z.string(), outcome: z.string().optional() }),
});

/** The outcome is a refusal only if the daemon reports that nothing was run, and otherwise unknown. */
function readError(status: number, text: string): CompletionOutcome {
  const parsed = errorSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    return {
      kind: 'unknown',
      message: `The daemon answered with status ${status}; it may have run.`,
    };
  }
  const { message, outcome } = parsed.data.error;
  return outcome === 'refused: not run'
    ? { kind: 'refused', message }
    : { kind: 'unknown', message };
}

const answerSchema = z.object({
  choices: z.array(z.object({ text: z.string().default('') })),
});

function readComplete(body: unknown, onText: (text: string) => void): CompletionOutcome {
  const answer = answerSchema.safeParse(body);
  if (!answer.success) {
    return { kind: 'unknown', message: 'The answer is not a completion. Check the address.' };
  }
  onText(textOf(answer.data));
  return { kind: 'answered', answer: body };
}

const END_OF_STREAM = '[DONE]';

async function readStream(
  chunks: AsyncIterable<Buffer>,
  onText: (text: string) => void,
): Promise<CompletionOutcome> {
  let fullText = '';
  for await (const data of readEventData(chunks)) {
    if (data === END_OF_STREAM) {
      return { kind: 'answered', answer: { text: fullText } };
    }
    const event = parseJson(data);
    const error = errorSchema.safeParse(event);
    if (error.success) {
      return { kind: 'unknown', message: `The answer broke off: ${error.data.error.message}` };
    }
    const frame = answerSchema.safeParse(event);
    const text = frame.success ? textOf(frame.data) : '';
    fullText += text;
    onText(text);
  }
  return { kind: 'unknown', message: 'The answer broke off before its end; it may have run.' };
}

function textOf({ choices }: z.infer<typeof answerSchema>): string {
  return choices[0]?.text ?? '';
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return null;
  }
}
