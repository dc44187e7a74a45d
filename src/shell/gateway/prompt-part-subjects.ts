/** The parts of a request's prompt that may be to blame for the ends of servers: those that other requests may share. */
import { createHash } from 'node:crypto';
import { type PromptPart, partSubject, type RequestDescription } from '../../core/gateway/index.js';

/** Longer ids are replaced by a digest, as records, datagrams and rows of the store hold the id. */
const MAX_ID_CHARACTERS = 64;

/** The subjects of all parts but the last, which is the request's own. */
export function sharedPartSubjects({
  promptParts,
}: Pick<RequestDescription, 'promptParts'>): readonly string[] {
  return promptParts.slice(0, -1).map(subjectOf);
}

function subjectOf({ id }: PromptPart): string {
  return partSubject(id.length <= MAX_ID_CHARACTERS ? id : digestOf(id));
}

function digestOf(id: string): string {
  return createHash('sha256').update(id).digest('hex');
}
