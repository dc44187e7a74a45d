/**
 * Hashes of a prompt's successive prefix blocks. Engines publish them in cache events, and daemons compute them for
 * prefix affinity. The definition is part of docs/ENGINE-API.md.
 */

/** The length of a block in UTF-16 code units of the prompt. */
export const PREFIX_BLOCK_CHARACTERS = 256;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SECOND_LANE_PRIME = 0x85ebca6b;

/**
 * The hashes of the complete blocks of a prompt, first to last; a trailing partial block has none. Each hash covers
 * everything before the end of its block, so equal hashes mean equal prefixes. A hash has 16 hexadecimal digits:
 * FNV-1a in one 32-bit lane and a multiplicative hash in the other. Not cryptographic; use it as a hint only.
 * @param limit the maximum number of blocks to hash
 */
export function prefixBlockHashes(prompt: string, limit: number): string[] {
  const blocks = Math.min(limit, Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS));
  const hashes: string[] = [];
  let first = FNV_OFFSET;
  let second = 0;
  for (let block = 0; block < blocks; block += 1) {
    const end = (block + 1) * PREFIX_BLOCK_CHARACTERS;
    for (let index = block * PREFIX_BLOCK_CHARACTERS; index < end; index += 1) {
      const unit = prompt.charCodeAt(index);
      first = Math.imul(first ^ unit, FNV_PRIME);
      second = Math.imul(second + unit + 1, SECOND_LANE_PRIME);
    }
    hashes.push(hexadecimal(first) + hexadecimal(second));
  }
  return hashes;
}

function hexadecimal(value: number): string {
  return (value >>> 0).toString(16).padStart(8, '0');
}
