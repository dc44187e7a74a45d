/**
 * Matches text against a `like` pattern: `%` stands for any number of characters, `_` for exactly one.
 */

/** Whether the complete text matches. Takes at most (pattern length × text length) steps. */
export function matchesLikePattern(text: string, pattern: string): boolean {
  let textIndex = 0;
  let patternIndex = 0;
  let lastPercent = -1;
  let textIndexAtPercent = 0;
  while (textIndex < text.length) {
    const patternCharacter = pattern[patternIndex];
    if (patternCharacter === '%') {
      lastPercent = patternIndex;
      textIndexAtPercent = textIndex;
      patternIndex += 1;
    } else if (patternCharacter === '_' || patternCharacter === text[textIndex]) {
      textIndex += 1;
      patternIndex += 1;
    } else if (lastPercent >= 0) {
      textIndexAtPercent += 1;
      textIndex = textIndexAtPercent;
      patternIndex = lastPercent + 1;
    } else {
      return false;
    }
  }
  return /^%*$/.test(pattern.slice(patternIndex));
}
