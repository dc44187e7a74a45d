/** Exit codes of `threadfork-lab`. */
export const EXIT_DONE = 0;
/** A process of the fleet failed, or an answer broke a promise. */
export const EXIT_FAILED = 1;
/** Flags or files that can't be used; nothing was started. */
export const EXIT_USAGE = 2;
/** The targets of the command can't be reached. */
export const EXIT_UNREACHABLE = 3;
