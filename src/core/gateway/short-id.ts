/**
 * Short forms of servers' ids for messages between daemons: what is told of an engine many times a second is a few
 * bytes, of which a whole id would be most.
 */
import { avalanche, EMPTY_HASH, hashText } from '../common/hash.js';

/** 64, so that each stands for 6 bits. */
const DIGITS = '0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_';
/** Characters of 6 bits: with 30 bits the chance that any two of n servers share a short id is about n² / 2³¹. */
const SHORT_ID_LENGTH = 5;

/** An id's short form, the same at every daemon; an id that is as short stands for itself. */
export function shortIdOf(id: string): string {
  if (id.length <= SHORT_ID_LENGTH) return id;
  const { high, low } = hashText(EMPTY_HASH, id);
  let rest = avalanche(high ^ avalanche(low));
  let short = '';
  while (short.length < SHORT_ID_LENGTH) {
    short += DIGITS[rest % DIGITS.length];
    rest = Math.floor(rest / DIGITS.length);
  }
  return short;
}
