/** Syntax trees, and the positions given in faults. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseStatement } from '../../src/core/language/index.js';

function faultOf(text: string): string {
  return parseStatement(text)._unsafeUnwrapErr().message;
}

test('a query parses to its syntax tree, with the precedence not, and, or', () => {
  const text = `engines where not (zone like 'leiden-%' or busy = true) and kvUsed >= 0.5 or boot != null
    order by zone desc, name limit 3 select name, zone`;
  assert.deepEqual(parseStatement(text)._unsafeUnwrap(), {
    kind: 'query',
    table: 'engines',
    where: {
      kind: 'or',
      left: {
        kind: 'and',
        left: {
          kind: 'not',
          operand: {
            kind: 'or',
            left: { kind: 'comparison', field: 'zone', operator: 'like', value: 'leiden-%' },
            right: { kind: 'comparison', field: 'busy', operator: '=', value: true },
          },
        },
        right: { kind: 'comparison', field: 'kvUsed', operator: '>=', value: 0.5 },
      },
      right: { kind: 'comparison', field: 'boot', operator: '!=', value: null },
    },
    orderBy: [
      { field: 'zone', descending: true },
      { field: 'name', descending: false },
    ],
    limit: 3,
    select: ['name', 'zone'],
  });
});

test('escapes in quoted text and the sign of negative numbers are parsed', () => {
  const query = parseStatement(String.raw`changes where id = "a\"b" and version > -1.5e2`);
  assert.deepEqual(JSON.parse(JSON.stringify(query._unsafeUnwrap())).where, {
    kind: 'and',
    left: { kind: 'comparison', field: 'id', operator: '=', value: 'a"b' },
    right: { kind: 'comparison', field: 'version', operator: '>', value: -150 },
  });
});

test('a block with dry run, if version and a comment parses to one change', () => {
  const text = `dry run begin; # the morning
    roll model labels to 2024.1; set deadline of class night to 2h;
    set anonymous tenant none; set anonymous tenant "none"; commit if version 7;`;
  assert.deepEqual(parseStatement(text)._unsafeUnwrap(), {
    kind: 'change',
    commands: [
      { kind: 'roll-model', model: 'labels', version: '2024.1' },
      { kind: 'set-class-deadline', className: 'night', deadlineMs: 7_200_000 },
      { kind: 'set-anonymous-tenant', tenant: null },
      { kind: 'set-anonymous-tenant', tenant: 'none' },
    ],
    ifVersion: 7,
    dryRun: true,
  });
});

test('a fault gives the line, the column, what was expected, what was found and the remedy', () => {
  assert.match(faultOf('serve modl labels'), /^Line 1, column 7: expected .*"model".*found "modl"/);
  assert.match(
    faultOf('begin\n  drain a;\n  return\n; commit'),
    /^Line 4, column 1: expected a name.*found ";"/,
  );
  assert.match(
    faultOf('engines where'),
    /^Line 1, column 14: expected .*a field.*the end of the statement/,
  );
  assert.match(faultOf('roll model labels to V2'), /expected a name of lower-case letters/);
  assert.match(
    faultOf('drain a; drain b'),
    /column 10: .*Put several commands between begin and commit/,
  );
  assert.match(faultOf(''), /column 1: expected .*"engines"/);
});

test('a statement that is too long or nests too deeply is refused before it is parsed', () => {
  const deep = `engines where ${'('.repeat(8_000)}busy = true${')'.repeat(8_000)}`;
  assert.match(faultOf(deep), /nests more than 50 parentheses/);
  assert.match(faultOf(' '.repeat(16_385)), /at most 16384 are taken/);
});
