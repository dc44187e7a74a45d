/** Engine answers that may say `not run`. Only `"notRun": true` in the body says so. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Milliseconds } from '../../core/common/time.js';
import { singleValue } from './headers.js';

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([404, 409, 429, 503]);
const MAX_REFUSAL_BYTES = 16 * 1024;
const REASON = /^[a-z0-9-]{1,40}$/;
const RETRY_AFTER = /^[0-9]{1,6}$/;

/** What a refusal says. */
export interface RefusalDetails {
  readonly reason: string;
  readonly retryAfterMs?: Milliseconds;
}

/** Whether a status may go with a refusal. */
export function isRefusalStatus(status: number): boolean {
  return REFUSAL_STATUSES.has(status);
}

/** Collects the body of what may be a refusal. */
export class EngineRefusal {
  readonly status: number;
  readonly #retryAfter: string | undefined;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;

  constructor(status: number, headers: IncomingHttpHeaders) {
    this.status = status;
    this.#retryAfter = singleValue(headers['retry-after']);
  }

  /** Takes a piece; false when the body is longer than any refusal. */
  add(chunk: Buffer): boolean {
    this.#bytes += chunk.length;
    if (this.#bytes > MAX_REFUSAL_BYTES) return false;
    this.#chunks.push(chunk);
    return true;
  }

  /** The refusal, or null when the answer does not say that the request was not run. */
  read(): RefusalDetails | null {
    const reason = reasonOf(Buffer.concat(this.#chunks).toString('utf8'));
    if (reason === null) return null;
    const seconds = this.#retryAfter;
    if (seconds === undefined || !RETRY_AFTER.test(seconds)) return { reason };
    return { reason, retryAfterMs: Number(seconds) * 1_000 };
  }
}

function reasonOf(body: string): string | null {
  try {
    const parsed = JSON.parse(body) as { notRun?: unknown; error?: { code?: unknown } } | null;
    if (parsed?.notRun !== true) return null;
    const code = parsed.error?.code;
    return typeof code === 'string' && REASON.test(code) ? code : 'refused';
  } catch {
    return null;
  }
}
