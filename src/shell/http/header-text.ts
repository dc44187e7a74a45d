/** Texts of any characters as header values. */

/** Control characters but the tab, which no header can carry (RFC 9110 section 5.5). */
function isControl(code: number): boolean {
  return (code < 0x20 && code !== 0x09) || code === 0x7f;
}

function percentEncoded(byte: number): string {
  return `%${byte.toString(16).toUpperCase().padStart(2, '0')}`;
}

/**
 * A text as a header value whose bytes are the text in UTF-8, as node:http writes one byte for each character. Control
 * characters are percent-encoded.
 */
export function encodeHeaderText(text: string): string {
  const bytes = [...Buffer.from(text, 'utf8')];
  return bytes
    .map((byte) => (isControl(byte) ? percentEncoded(byte) : String.fromCharCode(byte)))
    .join('');
}

/** The text of a header value that holds UTF-8, as node:http reads one character for each byte. */
export function decodeHeaderText(value: string): string {
  return Buffer.from(value, 'latin1').toString('utf8');
}
