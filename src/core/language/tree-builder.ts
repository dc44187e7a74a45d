/**
 * Turns a match of the grammar into a typed syntax tree. Each action returns the tree of its rule;
 * `tree` returns the tree of a child, cast to the type that the grammar guarantees.
 */
import type { ActionDict, Grammar, MatchResult, Node, Semantics } from 'ohm-js';
import type { EngineRole } from '../registry/backend.js';
import { type DurationUnit, durationToMilliseconds } from './duration.js';
import type {
  Change,
  Command,
  ComparisonOperator,
  Condition,
  Literal,
  Objective,
  OrderTerm,
  Query,
  Statement,
} from './syntax.js';
import type { TableName } from './tables.js';

/** A function that turns successful matches into statements. */
export type TreeBuilder = (match: MatchResult) => Statement;

/** Creates the tree builder for a compiled grammar. */
export function createTreeBuilder(grammar: Grammar): TreeBuilder {
  const semantics = grammar.createSemantics();
  semantics.addOperation<unknown>('tree', { ...queryActions, ...changeActions, ...lexicalActions });
  return (match) => rootTree(semantics, match);
}

function rootTree(semantics: Semantics, match: MatchResult): Statement {
  return semantics(match).tree() as Statement;
}

function tree<T>(node: Node): T {
  return node.tree() as T;
}

/** The tree of an optional child, or null if it is absent. */
function optionalTree<T>(node: Node): T | null {
  const child = node.children[0];
  return child === undefined ? null : tree<T>(child);
}

function separatedTrees<T>(list: Node): readonly T[] {
  return list.asIteration().children.map((child) => tree<T>(child));
}

function repeatedTrees<T>(iteration: Node): readonly T[] {
  return iteration.children.map((child) => tree<T>(child));
}

/** The source text of a rule that matches one of a fixed set of words. */
function fixedWord<T extends string>(node: Node): T {
  return node.sourceString as T;
}

const queryActions: ActionDict<unknown> = {
  Statement_change: (change, _semicolon) => tree<Change>(change),
  Statement_query: (query, _semicolon) => tree<Query>(query),
  Query(table, where, orderBy, limit, select): Query {
    return {
      kind: 'query',
      table: fixedWord<TableName>(table),
      where: optionalTree<Condition>(where),
      orderBy: optionalTree<readonly OrderTerm[]>(orderBy) ?? [],
      limit: optionalTree<number>(limit),
      select: optionalTree<readonly string[]>(select),
    };
  },
  Where: (_where, condition) => tree<Condition>(condition),
  OrderBy: (_order, _by, terms) => separatedTrees<OrderTerm>(terms),
  OrderTerm(field, direction): OrderTerm {
    return { field: field.sourceString, descending: direction.sourceString === 'desc' };
  },
  Limit: (_limit, count) => tree<number>(count),
  Select: (_select, fields) => separatedTrees<string>(fields),
  Disjunction(first, _or, others): Condition {
    return repeatedTrees<Condition>(others).reduce(
      (left, right) => ({ kind: 'or', left, right }),
      tree<Condition>(first),
    );
  },
  Conjunction(first, _and, others): Condition {
    return repeatedTrees<Condition>(others).reduce(
      (left, right) => ({ kind: 'and', left, right }),
      tree<Condition>(first),
    );
  },
  Negation(nots, primary): Condition {
    const operand = tree<Condition>(primary);
    return nots.numChildren % 2 === 0 ? operand : { kind: 'not', operand };
  },
  Primary_group: (_open, condition, _close) => tree<Condition>(condition),
  Primary_comparison(field, operator, value): Condition {
    return {
      kind: 'comparison',
      field: field.sourceString,
      operator: fixedWord<ComparisonOperator>(operator),
      value: tree<Literal>(value),
    };
  },
};

const changeActions: ActionDict<unknown> = {
  Change(dryRun, body, ifVersion): Change {
    return {
      kind: 'change',
      commands: tree<readonly Command[]>(body),
      ifVersion: optionalTree<number>(ifVersion),
      dryRun: dryRun.numChildren > 0,
    };
  },
  IfVersion: (_if, _version, version) => tree<number>(version),
  Block: (_begin, _first, commands, _last, _commit) => separatedTrees<Command>(commands),
  Body_block: (block) => tree<readonly Command[]>(block),
  Body_command: (command) => [tree<Command>(command)],
  Set: (_set, command) => tree<Command>(command),
  Serve_model: (_serve, _model, model, _version, version, objective): Command => ({
    kind: 'serve-model',
    model: tree(model),
    version: tree(version),
    objective: optionalTree<Objective>(objective),
  }),
  Serve_adapter: (_serve, _adapter, adapter, _on, model, _version, version): Command => ({
    kind: 'serve-adapter',
    adapter: tree(adapter),
    model: tree(model),
    version: tree(version),
  }),
  Stop_model: (_stop, _serving, _model, model): Command => ({
    kind: 'stop-serving-model',
    model: tree(model),
  }),
  Stop_adapter: (_stop, _serving, _adapter, adapter, _on, model): Command => ({
    kind: 'stop-serving-adapter',
    adapter: tree(adapter),
    model: tree(model),
  }),
  Roll_model: (_roll, _model, model, _to, version): Command => ({
    kind: 'roll-model',
    model: tree(model),
    version: tree(version),
  }),
  Roll_adapter: (_roll, _adapter, adapter, _on, model, _to, version): Command => ({
    kind: 'roll-adapter',
    adapter: tree(adapter),
    model: tree(model),
    version: tree(version),
  }),
  SetClass_whole: (_class, name, _p, priority, _s, share, _d, deadline): Command => ({
    kind: 'set-class',
    className: tree(name),
    priority: tree(priority),
    share: tree(share),
    deadlineMs: tree(deadline),
  }),
  SetClass_share: (_share, _of, _class, name, _to, share): Command => ({
    kind: 'set-class-share',
    className: tree(name),
    share: tree(share),
  }),
  SetClass_priority: (_priority, _of, _class, name, _to, priority): Command => ({
    kind: 'set-class-priority',
    className: tree(name),
    priority: tree(priority),
  }),
  SetClass_deadline: (_deadline, _of, _class, name, _to, deadline): Command => ({
    kind: 'set-class-deadline',
    className: tree(name),
    deadlineMs: tree(deadline),
  }),
  SetTenant: (_tenant, name, _class, className, _w, weight, digests): Command => ({
    kind: 'set-tenant',
    tenant: tree(name),
    className: tree(className),
    weight: tree(weight),
    keyDigests: digests.numChildren === 0 ? null : repeatedTrees<string>(digests),
  }),
  SetAnonymousTenant: (_anonymous, _tenant, tenant): Command => ({
    kind: 'set-anonymous-tenant',
    tenant: tree(tenant),
  }),
  Remove_class: (_remove, _class, name): Command => ({
    kind: 'remove-class',
    className: tree(name),
  }),
  Remove_tenant: (_remove, _tenant, name): Command => ({
    kind: 'remove-tenant',
    tenant: tree(name),
  }),
  Remove_route: (_remove, _route, prefix): Command => ({
    kind: 'remove-route',
    prefix: tree(prefix),
  }),
  Route: (_route, prefix, _to, service, repeatable): Command => ({
    kind: 'set-route',
    prefix: tree(prefix),
    service: tree(service),
    repeatable: repeatable.numChildren > 0,
  }),
  Drain: (_drain, backend): Command => ({ kind: 'drain', backend: tree(backend) }),
  Return: (_return, backend): Command => ({ kind: 'return', backend: tree(backend) }),
  Ask: (_ask, _role, role, _for, engine): Command => ({
    kind: 'ask-role',
    engine: tree(engine),
    role: fixedWord<EngineRole>(role),
  }),
  Release: (_release, _role, _of, engine): Command => ({
    kind: 'release-role',
    engine: tree(engine),
  }),
  Objective: (_objective, name) => fixedWord<Objective>(name),
  KeyDigest: (_key, _digest, digest) => digest.sourceString.toLowerCase(),
};

const lexicalActions: ActionDict<unknown> = {
  name_quoted: (_open, name, _close) => name.sourceString,
  name_bare: (name) => name.sourceString,
  anonymous_none: (_none) => null,
  anonymous_tenant: (name) => tree<string>(name),
  field: (first, rest, _end) => first.sourceString + rest.sourceString,
  prefix: (slash, rest) => slash.sourceString + rest.sourceString,
  duration: (amount, unit, _end) =>
    durationToMilliseconds(Number(amount.sourceString), fixedWord<DurationUnit>(unit)),
  number: (sign, amount, exponent, _end) =>
    Number(sign.sourceString + amount.sourceString + exponent.sourceString),
  wholeNumber: (digits, _end) => Number(digits.sourceString),
  text_double: (_open, characters, _close) => repeatedTrees<string>(characters).join(''),
  text_single: (_open, characters, _close) => repeatedTrees<string>(characters).join(''),
  doubleQuotedCharacter_escaped: (_backslash, character) => character.sourceString,
  doubleQuotedCharacter_plain: (character) => character.sourceString,
  singleQuotedCharacter_escaped: (_backslash, character) => character.sourceString,
  singleQuotedCharacter_plain: (character) => character.sourceString,
  constant: (constant) => CONSTANTS[constant.sourceString as keyof typeof CONSTANTS],
};

const CONSTANTS = { true: true, false: false, null: null } as const;
