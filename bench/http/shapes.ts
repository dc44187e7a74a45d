/** Constants shared by the callers and the emulated backend of the benchmark. */

/** The model that the backend has loaded. */
export const MODEL = 'labels';
/** The version of the model. */
export const VERSION = 'v1';
/** Tokens of a non-streamed answer. */
export const NON_STREAMED_TOKENS = 50;
/** Tokens of a streamed answer. */
export const STREAM_TOKENS = 100;
/** The interval between two tokens of a stream. */
export const STREAM_STEP_MS = 10;
/** Characters of a prompt, about 400 tokens. */
export const PROMPT_CHARACTERS = 1_600;
