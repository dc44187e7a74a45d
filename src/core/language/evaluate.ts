/**
 * Evaluates a query over the rows of its table. Pure: the caller brings the rows.
 */
import { err, ok, type Result } from 'neverthrow';
import { type Fault, refusedNotRun } from '../errors/fault.js';
import { matchesLikePattern } from './like-pattern.js';
import type { ComparisonOperator, Condition, Literal, OrderTerm, Query } from './syntax.js';
import { type FieldValue, type Row, TABLE_FIELDS } from './tables.js';

/** The rows that satisfy the query, in its order, with the fields it selects. */
export function evaluateQuery(query: Query, rows: readonly Row[]): Result<readonly Row[], Fault> {
  const known = knownFields(query, rows);
  const unknown = usedFields(query).find((field) => !known.includes(field));
  if (unknown !== undefined) {
    return err(unknownFieldFault(query, unknown, known));
  }
  const mismatch = findTypeMismatch(query.where, rows);
  if (mismatch !== null) {
    return err(refusedNotRun('invalid-command', mismatch));
  }
  const { where } = query;
  const matching = where === null ? rows : rows.filter((row) => satisfies(row, where));
  const ordered = sortRows(matching, query.orderBy);
  const limited = query.limit === null ? ordered : ordered.slice(0, query.limit);
  return ok(selectFields(limited, query.select));
}

/**
 * The text that a condition pins a field to (`field = "text"` that must hold), or null. Lets a
 * backend fetch one row instead of a whole table.
 */
export function requiredTextValue(condition: Condition | null, field: string): string | null {
  if (condition === null) {
    return null;
  }
  switch (condition.kind) {
    case 'comparison': {
      const pins = condition.field === field && condition.operator === '=';
      return pins && typeof condition.value === 'string' ? condition.value : null;
    }
    case 'and':
      return requiredTextValue(condition.left, field) ?? requiredTextValue(condition.right, field);
    default:
      return null;
  }
}

function knownFields(query: Query, rows: readonly Row[]): readonly string[] {
  const fields = new Set<string>(TABLE_FIELDS[query.table]);
  for (const row of rows) {
    for (const field of Object.keys(row)) {
      fields.add(field);
    }
  }
  return [...fields];
}

function usedFields(query: Query): readonly string[] {
  return [
    ...comparisonsOf(query.where).map((comparison) => comparison.field),
    ...query.orderBy.map((term) => term.field),
    ...(query.select ?? []),
  ];
}

type Comparison = Extract<Condition, { kind: 'comparison' }>;

function comparisonsOf(condition: Condition | null): readonly Comparison[] {
  if (condition === null) {
    return [];
  }
  switch (condition.kind) {
    case 'comparison':
      return [condition];
    case 'not':
      return comparisonsOf(condition.operand);
    default:
      return [...comparisonsOf(condition.left), ...comparisonsOf(condition.right)];
  }
}

function unknownFieldFault(query: Query, field: string, known: readonly string[]): Fault {
  return refusedNotRun(
    'invalid-command',
    `The table ${query.table} has no field "${field}". Use one of: ${known.join(', ')}.`,
  );
}

/**
 * A comparison with a type that no row's field holds is a mistake that would silently find nothing;
 * it is refused. A field such as `value` of `config` holds several types.
 */
function findTypeMismatch(where: Condition | null, rows: readonly Row[]): string | null {
  for (const comparison of comparisonsOf(where)) {
    const values = rows.map((row) => fieldOf(row, comparison.field));
    const stated = values.filter((value) => value !== null);
    const [first] = stated;
    if (first !== undefined && !stated.some((value) => comparable(value, comparison))) {
      return describeMismatch(comparison, first);
    }
  }
  return null;
}

function comparable(value: FieldValue, { operator, value: literal }: Comparison): boolean {
  if (operator === 'like' && typeof literal !== 'string') {
    return false;
  }
  if (literal === null) {
    return true;
  }
  return typeName(value) === typeName(literal);
}

function typeName(value: FieldValue): 'text' | 'a number' | 'a boolean' | 'null' {
  if (value === null) {
    return 'null';
  }
  if (typeof value === 'number') {
    return 'a number';
  }
  return typeof value === 'boolean' ? 'a boolean' : 'text';
}

function describeMismatch(comparison: Comparison, value: FieldValue): string {
  if (comparison.operator === 'like' && typeof comparison.value !== 'string') {
    return `like compares with text. Write ${comparison.field} like "…" with % or _ in it.`;
  }
  const found = typeName(value);
  const given = typeName(comparison.value);
  const remedy =
    found === 'text'
      ? `Write the value in quotes: ${comparison.field} ${comparison.operator} "${String(comparison.value)}".`
      : `Write the value without quotes, as ${found}.`;
  return `The field "${comparison.field}" holds ${found} and was compared with ${given}. ${remedy}`;
}

function fieldOf(row: Row, field: string): FieldValue {
  return Object.hasOwn(row, field) ? (row[field] ?? null) : null;
}

function satisfies(row: Row, condition: Condition): boolean {
  switch (condition.kind) {
    case 'and':
      return satisfies(row, condition.left) && satisfies(row, condition.right);
    case 'or':
      return satisfies(row, condition.left) || satisfies(row, condition.right);
    case 'not':
      return !satisfies(row, condition.operand);
    case 'comparison':
      return compareField(fieldOf(row, condition.field), condition.operator, condition.value);
  }
}

function compareField(value: FieldValue, operator: ComparisonOperator, literal: Literal): boolean {
  if (!isList(value)) {
    return compareValue(value, operator, literal);
  }
  if (operator === '!=') {
    return !value.some((element) => element === literal);
  }
  return value.some((element) => compareValue(element, operator, literal));
}

function isList(value: FieldValue): value is readonly string[] {
  return Array.isArray(value);
}

/** Null equals only null; other comparisons with it, or of two types, do not hold. */
function compareValue(value: Literal, operator: ComparisonOperator, literal: Literal): boolean {
  if (operator === '=') {
    return value === literal;
  }
  if (operator === '!=') {
    return value !== literal;
  }
  if (value === null || literal === null || typeof value !== typeof literal) {
    return false;
  }
  if (operator === 'like') {
    return matchesLikePattern(String(value), String(literal));
  }
  return ordered(value, operator, literal);
}

type Order = Exclude<ComparisonOperator, '=' | '!=' | 'like'>;

function ordered(
  value: NonNullable<Literal>,
  operator: Order,
  literal: NonNullable<Literal>,
): boolean {
  switch (operator) {
    case '<':
      return value < literal;
    case '<=':
      return value <= literal;
    case '>':
      return value > literal;
    case '>=':
      return value >= literal;
  }
}

function sortRows(rows: readonly Row[], terms: readonly OrderTerm[]): readonly Row[] {
  return terms.length === 0
    ? rows
    : [...rows].sort((left, right) => compareRows(left, right, terms));
}

function compareRows(left: Row, right: Row, terms: readonly OrderTerm[]): number {
  for (const { field, descending } of terms) {
    const order = compareForSort(fieldOf(left, field), fieldOf(right, field), descending);
    if (order !== 0) {
      return order;
    }
  }
  return 0;
}

/** Null comes last in either direction; lists sort by their joined text. */
function compareForSort(left: FieldValue, right: FieldValue, descending: boolean): number {
  if (left === null || right === null) {
    return Number(left === null) - Number(right === null);
  }
  const leftKey = sortKey(left);
  const rightKey = sortKey(right);
  if (leftKey === rightKey) {
    return 0;
  }
  const order = leftKey < rightKey ? -1 : 1;
  return descending ? -order : order;
}

function sortKey(value: NonNullable<FieldValue>): string | number {
  if (typeof value === 'number') {
    return value;
  }
  return isList(value) ? value.join(',') : String(value);
}

function selectFields(rows: readonly Row[], select: readonly string[] | null): readonly Row[] {
  if (select === null) {
    return rows;
  }
  return rows.map((row) => Object.fromEntries(select.map((field) => [field, fieldOf(row, field)])));
}
