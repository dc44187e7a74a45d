/** Reads engine refusals. Only `"notRun": true` in the body confirms that nothing was run. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Milliseconds } from '../../core/common/time.js';
import { ByteCollector } from '../bytes/index.js';
import { singleValue } from './headers.js';

const REFUSAL_STATUSES: ReadonlySet<number> = new Set([404, 409, 429, 503]);
const MAX_REFUSAL_BYTES = 16 * 1024;
const REASON = /^[a-z0-9-]{1,40}$/;
const RETRY_AFTER = /^[0-9]{1,6}$/;

/** The contents of a refusal. */
export interface RefusalDetails {
  readonly reason: string;
  readonly retryAfterMs?: Milliseconds;
}

/** Whether an answer with this status may be a refusal. */
export function isRefusalStatus(status: number): boolean {
  return REFUSAL_STATUSES.has(status);
}

/** Collects the body of an answer that may be a refusal. */
export class EngineRefusal {
  readonly status: number;
  readonly #retryAfter: string | undefined;
  readonly #body = new ByteCollector();

  constructor(status: number, headers: IncomingHttpHeaders) {
    this.status = status;
    this.#retryAfter = singleValue(headers['retry-after']);
  }

  /** Adds a chunk; false when the body exceeds the size limit of refusals. */
  add(chunk: Buffer): boolean {
    if (this.#body.length + chunk.length > MAX_REFUSAL_BYTES) return false;
    this.#body.add(chunk);
    return true;
  }

  /** The refusal, or null when the body does not confirm that the request was not run. */
  read(): RefusalDetails | null {
    const reason = reasonOf(this.#body.join().toString('utf8'));
    if (reason === null) return null;
    const retryAfter = this.#retryAfter;
    if (retryAfter === undefined || !RETRY_AFTER.test(retryAfter)) return { reason };
    return { reason, retryAfterMs: Number(retryAfter) * 1_000 };
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
