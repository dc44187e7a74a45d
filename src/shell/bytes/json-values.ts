/** Counts the values of JSON texts before they are parsed: two bytes of text may be one, which takes tens of bytes of heap. */
import { ByteCollector } from './byte-collector.js';

const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;

/** Several times the largest page of rows; the store bounds its pages, but not how much changes at once. */
const MAX_ANSWER_BYTES = 4_194_304;
/** Twice what the largest number of changed rows that is applied at once has. */
const MAX_ANSWER_VALUES = 32_768;

/** The lists, objects and commas of a text; those in strings are counted too. */
export function countJsonValues(text: Buffer): number {
  let values = 0;
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index];
    if (byte === COMMA || byte === OPENING_BRACKET || byte === OPENING_BRACE) values += 1;
  }
  return values;
}

/** Collects an answer of the platform, whose values are counted as they arrive. */
class AnswerCollector {
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

/** Creates the collector of one answer, for modules that take no code of the product. */
export type CreateCollector = () => Pick<AnswerCollector, 'add' | 'join' | 'isTooLong'>;

/** Creates a collector whose bytes are counted nowhere else. */
export const createCollector: CreateCollector = () => new AnswerCollector();
