/**
 * Short forms of server ids for messages between daemons. Load updates of an engine are a few bytes long and are sent
 * many times a second; a full id would take up most of each update.
 */
import { avalanche, EMPTY_HASH, hashText } from '../common/hash.js';

/** 64 digits, so that each encodes 6 bits. */
const DIGITS = '0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_';
/** Digits of a short id. With 30 bits the chance that any two of n servers share a short id is about n² / 2³¹. */
const SHORT_ID_LENGTH = 5;

/** The short form of an id, the same at every daemon; an id of at most that length is used unchanged. */
export function shortIdOf(id: string): string {
  if (id.length <= SHORT_ID_LENGTH) return id;
  const { high, low } = hashText(EMPTY_HASH, id);
  let remainder = avalanche(high ^ avalanche(low));
  let short = '';
  while (short.length < SHORT_ID_LENGTH) {
    short += DIGITS[remainder % DIGITS.length];
    remainder = Math.floor(remainder / DIGITS.length);
  }
  return short;
}
