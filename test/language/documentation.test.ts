/**
 * Compares docs/LANGUAGE.md with the code: every example is valid, every kind of statement has an
 * example, and the fields of the tables match.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { EMPTY_CONFIGURATION } from '../../src/core/configuration/document.js';
import {
  applyCommands,
  type Command,
  evaluateQuery,
  parseStatement,
  TABLE_FIELDS,
  TABLE_NAMES,
} from '../../src/core/language/index.js';

const LANGUAGE_PAGE = readFileSync(new URL('../../../docs/LANGUAGE.md', import.meta.url), 'utf8');
const BLOCKS = [...LANGUAGE_PAGE.matchAll(/^```threadfork\n([^`]*)^```$/gm)].map(
  (match) => match[1] ?? '',
);
const EXAMPLES = BLOCKS.flatMap((block) => block.trim().split('\n\n'));

// A kind that is missing here fails the build; one without an example on the page fails the test.
const COMMAND_KINDS: Record<Command['kind'], true> = {
  'serve-model': true,
  'serve-adapter': true,
  'stop-serving-model': true,
  'stop-serving-adapter': true,
  'roll-model': true,
  'roll-adapter': true,
  'set-class': true,
  'set-class-share': true,
  'set-class-priority': true,
  'set-class-deadline': true,
  'remove-class': true,
  'set-tenant': true,
  'remove-tenant': true,
  'set-anonymous-tenant': true,
  'set-route': true,
  'remove-route': true,
  drain: true,
  return: true,
  'ask-role': true,
  'release-role': true,
};

test('the examples of the page apply in their order, and every table and command kind has one', () => {
  const tables = new Set<string>();
  const kinds = new Set<string>();
  let { document } = EMPTY_CONFIGURATION;
  for (const example of EXAMPLES) {
    const statement = parseStatement(example)._unsafeUnwrap();
    if (statement.kind === 'query') {
      tables.add(statement.table);
      assert.ok(evaluateQuery(statement, []).isOk(), example);
    } else {
      const applied = applyCommands(document, statement.commands);
      assert.ok(applied.isOk(), `${example}: ${applied.isErr() ? applied.error.message : ''}`);
      document = statement.dryRun ? document : applied.value.document;
      for (const { kind } of statement.commands) {
        kinds.add(kind);
      }
    }
  }
  assert.deepEqual([...tables].sort(), [...TABLE_NAMES].sort());
  assert.deepEqual([...kinds].sort(), Object.keys(COMMAND_KINDS).sort());
});

test('the page lists the fields of each table as the code does', () => {
  for (const table of TABLE_NAMES) {
    const [, fields = ''] =
      new RegExp(`^\\| \`${table}\` +\\| (.*?) +\\|$`, 'm').exec(LANGUAGE_PAGE) ?? [];
    assert.deepEqual(fields.replaceAll('`', '').split(', '), TABLE_FIELDS[table]);
  }
});
