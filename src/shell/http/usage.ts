/** Finds the token counts in an unstreamed answer without parsing its JSON. */
import type { TokenUsage } from './chunk-rewriter.js';

const USAGE_KEY = Buffer.from('"usage"');
const MAX_USAGE_BYTES = 512;
const PROMPT_TOKENS = /"prompt_tokens"\s*:\s*([0-9]{1,9})/;
const COMPLETION_TOKENS = /"completion_tokens"\s*:\s*([0-9]{1,9})/;

/** The token counts of the last `usage` in the bytes, or null. */
export function readUsage(bytes: Buffer): TokenUsage | null {
  const at = bytes.lastIndexOf(USAGE_KEY);
  if (at < 0) return null;
  const text = bytes.toString('latin1', at, at + MAX_USAGE_BYTES);
  const prompt = PROMPT_TOKENS.exec(text)?.[1];
  const output = COMPLETION_TOKENS.exec(text)?.[1];
  if (prompt === undefined || output === undefined) return null;
  return { promptTokens: Number(prompt), outputTokens: Number(output) };
}
