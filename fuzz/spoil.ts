/** Wrong bytes in a message, drawn from a seeded source. */

/** Numbers from 0 to below 1. */
export type Random = () => number;

/** Bytes that parsers and writers treat differently from letters and digits. */
const ODD_BYTES = [0x00, 0x01, 0x09, 0x0a, 0x0d, 0x20, 0x22, 0x2f, 0x30, 0x39, 0x7f, 0x80, 0xff];
const MAX_WRONG_BYTES = 2;
const TOP_BIT = 0x80;

export function pick<Item>(random: Random, items: readonly Item[]): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('pick: no items');
  return item;
}

/** A copy of a message with one or two bytes replaced, left out, or with their top bit inverted. */
export function spoil(random: Random, message: Buffer): Buffer {
  let spoiled = Buffer.from(message);
  const wrongBytes = 1 + Math.floor(random() * MAX_WRONG_BYTES);
  for (let wrong = 0; wrong < wrongBytes && spoiled.length > 0; wrong += 1) {
    const index = Math.floor(random() * spoiled.length);
    const how = Math.floor(random() * 3);
    if (how === 0) spoiled[index] = pick(random, ODD_BYTES);
    else if (how === 1) spoiled[index] = (spoiled[index] ?? 0) ^ TOP_BIT;
    else spoiled = Buffer.concat([spoiled.subarray(0, index), spoiled.subarray(index + 1)]);
  }
  return spoiled;
}
