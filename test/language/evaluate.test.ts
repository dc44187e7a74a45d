/** Queries over rows. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  evaluateQuery,
  parseStatement,
  type Query,
  type Row,
  requiredTextValue,
} from '../../src/core/language/index.js';

const ROWS: readonly Row[] = [
  {
    name: 'e1',
    zone: 'leiden-a',
    kvUsed: 0.9,
    busy: false,
    adapters: ['dutch', 'latin'],
    boot: 'x',
  },
  { name: 'e2', zone: 'leiden-b', kvUsed: 0.1, busy: true, adapters: [], boot: null },
  { name: 'e3', zone: 'delft-c', kvUsed: null, busy: false, adapters: ['latin'], boot: 'y' },
  { name: 'e4', zone: 'leiden-a', kvUsed: 0.1, busy: false, adapters: ['dutch'], boot: 'z' },
];

function queryOf(text: string): Query {
  const statement = parseStatement(text)._unsafeUnwrap();
  assert.equal(statement.kind, 'query');
  return statement as Query;
}

function names(text: string): readonly unknown[] {
  return evaluateQuery(queryOf(text), ROWS)
    ._unsafeUnwrap()
    .map((row) => row.name);
}

test('conditions select rows', () => {
  assert.deepEqual(names('engines where zone = "leiden-a"'), ['e1', 'e4']);
  assert.deepEqual(names("engines where zone like 'leiden-_'"), ['e1', 'e2', 'e4']);
  assert.deepEqual(names("engines where zone like '%d%n-a'"), ['e1', 'e4']);
  assert.deepEqual(names("engines where zone like 'leiden'"), []);
  assert.deepEqual(names('engines where kvUsed < 0.5 and not busy = true'), ['e4']);
  assert.deepEqual(names('engines where kvUsed = null or busy = true'), ['e2', 'e3']);
  assert.deepEqual(names('engines where not kvUsed >= 0'), ['e3']);
});

test('a list satisfies a comparison when any element does', () => {
  assert.deepEqual(names('engines where adapters = "dutch"'), ['e1', 'e4']);
  assert.deepEqual(names('engines where adapters != "dutch"'), ['e2', 'e3']);
  assert.deepEqual(names('engines where adapters like "la%"'), ['e1', 'e3']);
});

test('order by sorts by each term with null last, and limit and select follow', () => {
  assert.deepEqual(names('engines order by kvUsed desc, name desc'), ['e1', 'e4', 'e2', 'e3']);
  assert.deepEqual(names('engines order by kvUsed limit 2'), ['e2', 'e4']);
  const selected = evaluateQuery(queryOf('engines limit 1 select boot, role'), ROWS);
  assert.deepEqual(selected._unsafeUnwrap(), [{ boot: 'x', role: null }]);
});

test('an unknown field or a comparison across types is refused with the remedy', () => {
  const unknown = evaluateQuery(queryOf('engines where zoen = "a"'), ROWS)._unsafeUnwrapErr();
  assert.match(unknown.message, /no field "zoen". Use one of: name, zone, /);
  const inherited = evaluateQuery(queryOf('engines select constructor'), []);
  assert.match(inherited._unsafeUnwrapErr().message, /no field "constructor"/);
  const mismatch = evaluateQuery(queryOf('engines where zone = 3'), ROWS)._unsafeUnwrapErr();
  assert.match(mismatch.message, /holds text and was compared with a number.*zone = "3"/);
});

test('a condition pins a text only where it must hold', () => {
  assert.equal(
    requiredTextValue(queryOf('changes where version > 1 and id = "c1"').where, 'id'),
    'c1',
  );
  assert.equal(
    requiredTextValue(queryOf('changes where id = "c1" or version = 1').where, 'id'),
    null,
  );
  assert.equal(requiredTextValue(queryOf('changes where not id = "c1"').where, 'id'), null);
});

test('a field of several types is compared where the types agree', () => {
  const rows: readonly Row[] = [
    { section: 'models', value: '7' },
    { section: 'classes', value: 7 },
    { section: 'classes', value: 9 },
    { section: 'configuration', value: null },
  ];
  const sections = (text: string) =>
    evaluateQuery(queryOf(text), rows)
      ._unsafeUnwrap()
      .map((row) => row.section);
  assert.deepEqual(sections('config where value = "7"'), ['models']);
  assert.deepEqual(sections('config where value > 7'), ['classes']);
  assert.deepEqual(sections('config where value like "_"'), ['models']);
});
