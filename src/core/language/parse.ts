/**
 * Parses the operator language. A fault gives the line, the column, what was expected and the remedy.
 */
import { err, ok, type Result } from 'neverthrow';
import { type FailedMatchResult, grammar } from 'ohm-js';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import { GRAMMAR } from './grammar.js';
import type { Statement } from './syntax.js';
import { createTreeBuilder } from './tree-builder.js';

/**
 * Longer statements are refused before they are parsed, as parsing blocks the event loop of the daemon;
 * larger changes are applied as a YAML document.
 */
export const MAX_STATEMENT_CHARACTERS = 16_384;
/** Deeper nesting is refused to bound the stack of the parser. */
const MAX_PARENTHESES_DEPTH = 50;

const compiledGrammar = grammar(GRAMMAR);
const buildTree = createTreeBuilder(compiledGrammar);

/** Parses one statement: a query, a command or a block of commands. */
export function parseStatement(text: string): Result<Statement, Fault> {
  const exceededLimit = findExceededLimit(text);
  if (exceededLimit !== null) {
    return err(refusedNotRun('invalid-command', exceededLimit));
  }
  const match = compiledGrammar.match(text);
  if (match.failed()) {
    return err(refusedNotRun('invalid-command', describeFailure(text, match)));
  }
  return ok(buildTree(match));
}

function findExceededLimit(text: string): string | null {
  if (text.length > MAX_STATEMENT_CHARACTERS) {
    return `The statement has ${text.length} characters and at most ${MAX_STATEMENT_CHARACTERS} are taken. Apply a large change as a YAML document instead.`;
  }
  if (parenthesesDepth(text) > MAX_PARENTHESES_DEPTH) {
    return `The statement nests more than ${MAX_PARENTHESES_DEPTH} parentheses. Write the condition flatter.`;
  }
  return null;
}

/** The deepest nesting of parentheses. Counts those in quoted text too: a statement may be refused needlessly. */
function parenthesesDepth(text: string): number {
  let depth = 0;
  let deepest = 0;
  for (const character of text) {
    if (character === '(') {
      depth += 1;
      deepest = Math.max(deepest, depth);
    } else if (character === ')') {
      depth -= 1;
    }
  }
  return deepest;
}

function describeFailure(text: string, match: FailedMatchResult): string {
  const offset = match.getRightmostFailurePosition();
  const before = text.slice(0, offset).split('\n');
  const line = before.length;
  const column = (before.at(-1) ?? '').length + 1;
  const expected = match.getExpectedText();
  return `Line ${line}, column ${column}: expected ${expected}, found ${describeFoundText(text, offset)}. ${remedyFor(text, offset)}`;
}

const MAX_FOUND_CHARACTERS = 24;

function describeFoundText(text: string, offset: number): string {
  const remainder = text.slice(offset).trimStart();
  if (remainder === '') {
    return 'the end of the statement';
  }
  const [found = ''] = remainder.split(/\s/, 1);
  return JSON.stringify(found.slice(0, MAX_FOUND_CHARACTERS));
}

function remedyFor(text: string, offset: number): string {
  const followsSemicolon = text.slice(0, offset).trimEnd().endsWith(';');
  if (followsSemicolon && !/^\s*(dry\s+run\s+)?begin\b/.test(text)) {
    return 'Put several commands between begin and commit; they take effect together.';
  }
  return 'Correct the statement at that place; docs/LANGUAGE.md lists every form.';
}
