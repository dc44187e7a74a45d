/** Copies a small answer, so that a repeat of its idempotency key can be answered with it. */
import { isUtf8 } from 'node:buffer';
import type { RecordedOutcome } from '../../core/requests/index.js';
import { ByteCollector } from '../bytes/index.js';

/** The copy of one answer. The body is discarded once it exceeds the size limit. */
export class AnswerCapture {
  readonly #limit: number;
  readonly #body = new ByteCollector();
  #bytes = 0;
  #status = 200;
  #contentType = 'application/octet-stream';

  constructor(limitBytes: number) {
    this.#limit = limitBytes;
  }

  /** Records the answer's head and discards any body chunks copied before it. */
  begin(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
    this.#body.clear();
    this.#bytes = 0;
  }

  /** Copies a chunk of the body. */
  add(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (this.#bytes > this.#limit) this.#body.clear();
    else this.#body.add(chunk);
  }

  /** The outcome to record. The table stores text, so a body that is not UTF-8 is left out. */
  outcome(): RecordedOutcome {
    const body = this.#body.join();
    if (this.#bytes > this.#limit || !isUtf8(body)) {
      return { kind: 'answered-too-large-to-replay', status: this.#status };
    }
    return {
      kind: 'answered',
      status: this.#status,
      contentType: this.#contentType,
      body: body.toString('utf8'),
    };
  }
}
