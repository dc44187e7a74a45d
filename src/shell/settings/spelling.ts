/**
 * Suggests a known name for a misspelt one.
 */

const MAX_DISTANCE = 3;

/** The closest known name, or null if none is close. Case and separators are ignored. */
export function closestName(name: string, known: readonly string[]): string | null {
  const ranked = known
    .map((candidate) => ({ candidate, distance: distance(normalize(name), normalize(candidate)) }))
    .sort((left, right) => left.distance - right.distance);
  const best = ranked[0];
  if (best === undefined) return null;
  const limit = Math.min(MAX_DISTANCE, Math.floor(normalize(best.candidate).length / 2));
  return best.distance <= limit ? best.candidate : null;
}

function normalize(name: string): string {
  return name.toLowerCase().replaceAll(/[-_ ]/g, '');
}

/** Levenshtein distance, computed row by row. */
function distance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (const [row, character] of [...left].entries()) {
    const current = [row + 1];
    for (const [column, other] of [...right].entries()) {
      const replaced = (previous[column] ?? 0) + (character === other ? 0 : 1);
      const removed = (previous[column + 1] ?? 0) + 1;
      const added = (current[column] ?? 0) + 1;
      current.push(Math.min(replaced, removed, added));
    }
    previous = current;
  }
  return previous.at(-1) ?? 0;
}
