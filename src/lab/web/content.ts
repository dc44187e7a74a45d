/** The tiles of the emulated sheet viewer; a tile's content is a pure function of its path. */
import { EMPTY_HASH, hashText, hashToHexadecimal } from '../../core/common/hash.js';

const DIGITS_PER_HASH = 16;

/** The bytes of a tile, as lower-case hexadecimal text. */
export function tileContent(path: string, bytes: number): Buffer {
  const seed = hashText(EMPTY_HASH, path);
  const parts: string[] = [];
  for (let part = 0; part * DIGITS_PER_HASH < bytes; part += 1) {
    parts.push(hashToHexadecimal(hashText(seed, String(part))));
  }
  return Buffer.from(parts.join('').slice(0, bytes));
}
