/**
 * Short forms of servers' ids for messages between daemons: what is told of an engine many times a second is a few
 * bytes, of which a whole id would be most.
 */
import { avalanche, EMPTY_HASH, hashText } from '../common/hash.js';

const DIGITS = '0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_';
/** 30 bits: of 820 servers, two have the same short id in one fleet of three thousand. */
const LENGTH = 5;

/** An id's short form, the same at every daemon; an id that is as short stands for itself. */
export function shortIdOf(id: string): string {
  if (id.length <= LENGTH) return id;
  const { high, low } = hashText(EMPTY_HASH, id);
  let rest = avalanche(high ^ avalanche(low));
  let short = '';
  while (short.length < LENGTH) {
    short += DIGITS[rest % DIGITS.length];
    rest = Math.floor(rest / DIGITS.length);
  }
  return short;
}
