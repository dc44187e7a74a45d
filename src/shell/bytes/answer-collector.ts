/** Collects an answer of the platform. */
import { ByteCollector } from './byte-collector.js';
import { countJsonValues } from './json-values.js';

/** Several times the largest page of rows; the store bounds its pages, but not how much changes at once. */
const MAX_ANSWER_BYTES = 4_194_304;
/** Twice what the largest number of changed rows that is applied at once has. */
const MAX_ANSWER_VALUES = 32_768;

/** One answer, whose values are counted as they arrive. */
export class AnswerCollector {
  readonly #bytes = new ByteCollector();
  #values = 0;

  /** Whether the answer has more than is read of one. */
  get isTooLong(): boolean {
    return this.#bytes.length > MAX_ANSWER_BYTES || this.#values > MAX_ANSWER_VALUES;
  }

  add(chunk: Buffer): void {
    this.#bytes.add(chunk);
    this.#values += countJsonValues(chunk);
  }

  join(): Buffer {
    return this.#bytes.join();
  }
}
