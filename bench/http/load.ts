/** Closed-loop callers: each sends its next request when it has received the previous answer. */
import { type Dispatcher, Pool } from 'undici';
import type { Endpoint } from '../../src/core/registry/backend.js';
import { MODEL, NON_STREAMED_TOKENS, PROMPT_CHARACTERS, STREAM_TOKENS } from './shapes.js';

/** The parameters of a load. */
export interface Load {
  readonly streamed: boolean;
  readonly callers: number;
  readonly durationMs: number;
}

/** The answers received within the duration. */
export interface LoadResult {
  readonly answers: number;
  readonly tokens: number;
  /** Answers that were incomplete or had a status other than 200. */
  readonly bad: number;
  readonly elapsedMs: number;
}

const FRAME_END = Buffer.from('\n\n');
const DONE = Buffer.from('data: [DONE]\n\n');

/** Loads an endpoint for `durationMs`. Answers that end later are awaited but not counted. */
export async function load(to: Endpoint, spec: Load): Promise<LoadResult> {
  const pool = new Pool(`http://${to.address}:${to.port}`, { connections: spec.callers });
  const startedAt = performance.now();
  const endsAt = startedAt + spec.durationMs;
  const counts = { answers: 0, frames: 0, bad: 0 };
  const caller = async (number: number) => {
    for (let turn = 0; performance.now() < endsAt; turn += 1) {
      await call(pool, spec, promptOf(number, turn), counts, endsAt);
    }
  };
  await Promise.all(Array.from({ length: spec.callers }, (_, number) => caller(number)));
  await pool.close();
  const { answers, frames, bad } = counts;
  const tokens = spec.streamed ? frames : answers * NON_STREAMED_TOKENS;
  return { answers, tokens, bad, elapsedMs: spec.durationMs };
}

interface Counts {
  answers: number;
  frames: number;
  bad: number;
}

function call(
  pool: Pool,
  { streamed }: Load,
  prompt: string,
  counts: Counts,
  endsAt: number,
): Promise<void> {
  return new Promise((resolve) => {
    const maxTokens = streamed ? STREAM_TOKENS : NON_STREAMED_TOKENS;
    const body = JSON.stringify({ model: MODEL, prompt, max_tokens: maxTokens, stream: streamed });
    const headers = { 'content-type': 'application/json' };
    const handler = new AnswerHandler(streamed, counts, endsAt, resolve);
    pool.dispatch({ path: '/v1/completions', method: 'POST', headers, body }, handler);
  });
}

class AnswerHandler implements Dispatcher.DispatchHandler {
  #status = 0;
  #bytes = 0;
  #frames = 0;
  #last: Buffer = Buffer.alloc(0);

  constructor(
    private readonly streamed: boolean,
    private readonly counts: Counts,
    private readonly endsAt: number,
    private readonly ended: () => void,
  ) {}

  onRequestStart(): void {}

  onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
    this.#status = status;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.streamed) {
      this.#countFrames(chunk);
      this.#last = chunk;
    }
  }

  onResponseEnd(): void {
    const isComplete = this.streamed ? this.#last.includes(DONE) : this.#bytes > 0;
    if (this.#status !== 200 || !isComplete || (this.streamed && this.#frames < STREAM_TOKENS)) {
      this.counts.bad += 1;
    } else if (performance.now() <= this.endsAt) {
      this.counts.answers += 1;
    }
    this.ended();
  }

  onResponseError(): void {
    this.counts.bad += 1;
    this.ended();
  }

  #countFrames(chunk: Buffer): void {
    const isInTime = performance.now() <= this.endsAt;
    for (let at = chunk.indexOf(FRAME_END); at >= 0; at = chunk.indexOf(FRAME_END, at + 2)) {
      this.#frames += 1;
      this.counts.frames += isInTime && this.#frames <= STREAM_TOKENS ? 1 : 0;
    }
  }
}

function promptOf(caller: number, turn: number): string {
  return `${caller} ${turn} `.padEnd(PROMPT_CHARACTERS, 'lorem ipsum ');
}
