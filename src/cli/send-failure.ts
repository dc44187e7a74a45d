/** Determines from an error whether any byte of a request may have been sent. */

/** Error codes of failures before the first byte was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether it is certain that nothing was sent. */
export function isNotSent(error: unknown): boolean {
  return NOT_SENT_CODES.has(errorCode(error));
}

/** The message of an error, or its code if it has no message. */
export function errorMessage(error: unknown): string {
  return error instanceof Error && error.message !== '' ? error.message : errorCode(error);
}

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}
