/** Resolves after a delay. */
export function pause(spanMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, spanMs));
}
