/** The age of something in a log line, in whole milliseconds; null where it is not known. */
export function ageField(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}
