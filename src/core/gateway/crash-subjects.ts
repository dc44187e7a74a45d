/**
 * What the ends of servers are counted for: a request, by its fingerprint, or a part of prompts, by its id. Both are
 * kept, exchanged and stored alike, so a subject is a text that tells which of the two it is.
 */

const PART_PREFIX = 'part-';

/** @param partId at most a few dozen characters, as each record of the part holds it */
export function partSubject(partId: string): string {
  return `${PART_PREFIX}${partId}`;
}

export function isPartSubject(subject: string): boolean {
  return subject.startsWith(PART_PREFIX);
}

/** The id of the part; empty for a request. */
export function partIdOf(subject: string): string {
  return isPartSubject(subject) ? subject.slice(PART_PREFIX.length) : '';
}
