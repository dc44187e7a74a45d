/** Ends a daemon of a soak whose soak has ended without killing it, as one that was itself killed. */

/**
 * Kills this process once standard input ends, which the soak keeps open for as long as it runs. It does not exit, as that
 * would write out the log, whose reader is gone.
 */
export function endWithParent(): void {
  process.stdin.once('end', () => process.kill(process.pid, 'SIGKILL'));
  process.stdin.resume();
  // A daemon that stops must not wait for it.
  process.stdin.unref();
}
