/** Counts the values of JSON texts before they are parsed: two bytes of text may be one, which takes tens of bytes of heap. */

const COMMA = 0x2c;
const OPENING_BRACKET = 0x5b;
const OPENING_BRACE = 0x7b;

/** The lists, objects and commas of a text; those in strings are counted too. */
export function countJsonValues(text: Buffer): number {
  let values = 0;
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index];
    if (byte === COMMA || byte === OPENING_BRACKET || byte === OPENING_BRACE) values += 1;
  }
  return values;
}
