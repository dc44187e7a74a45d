/** Exit codes of `threadfork`; docs/CLI.md lists them. */

/** The command succeeded. */
export const EXIT_DONE = 0;
/** The command was refused; nothing was changed or run. */
export const EXIT_REFUSED = 1;
/** The command line is invalid; nothing was sent. */
export const EXIT_USAGE = 2;
/** No daemon could be reached, or the outcome of the request is unknown. */
export const EXIT_UNKNOWN = 3;
