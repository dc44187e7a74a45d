/**
 * The typed syntax trees of the operator language. A statement is either a query or a change of the
 * configuration: one command, or several that take effect together or not at all.
 */
import type {
  AdapterName,
  BackendName,
  ClassName,
  ModelName,
  TenantName,
  VersionName,
} from '../common/identifiers.js';
import type { Milliseconds } from '../common/time.js';
import type { EngineRole } from '../registry/backend.js';
import type { TableName } from './tables.js';

/** A value written in a condition. */
export type Literal = string | number | boolean | null;

/** How a condition compares a field with a literal. `like` matches text with `%` and `_`. */
export type ComparisonOperator = '=' | '!=' | '<' | '<=' | '>' | '>=' | 'like';

/** The condition of a query. */
export type Condition =
  | {
      readonly kind: 'comparison';
      readonly field: string;
      readonly operator: ComparisonOperator;
      readonly value: Literal;
    }
  | { readonly kind: 'and'; readonly left: Condition; readonly right: Condition }
  | { readonly kind: 'or'; readonly left: Condition; readonly right: Condition }
  | { readonly kind: 'not'; readonly operand: Condition };

/** One term of `order by`. */
export interface OrderTerm {
  readonly field: string;
  readonly descending: boolean;
}

/** A query about the fleet: reads the rows of one table. */
export interface Query {
  readonly kind: 'query';
  readonly table: TableName;
  readonly where: Condition | null;
  readonly orderBy: readonly OrderTerm[];
  readonly limit: number | null;
  /** The fields to return, in this order; null for all. */
  readonly select: readonly string[] | null;
}

/** What the role planner of a model optimizes for. */
export type Objective = 'goodput' | 'fewest-changes';

/** One change of the configuration document. */
export type Command =
  | {
      readonly kind: 'serve-model';
      readonly model: ModelName;
      readonly version: VersionName;
      /** Null keeps the model's current objective, or sets `goodput` for a new model. */
      readonly objective: Objective | null;
    }
  | {
      readonly kind: 'serve-adapter';
      readonly adapter: AdapterName;
      readonly model: ModelName;
      readonly version: VersionName;
    }
  | { readonly kind: 'stop-serving-model'; readonly model: ModelName }
  | {
      readonly kind: 'stop-serving-adapter';
      readonly adapter: AdapterName;
      readonly model: ModelName;
    }
  | { readonly kind: 'roll-model'; readonly model: ModelName; readonly version: VersionName }
  | {
      readonly kind: 'roll-adapter';
      readonly adapter: AdapterName;
      readonly model: ModelName;
      readonly version: VersionName;
    }
  | {
      readonly kind: 'set-class';
      readonly className: ClassName;
      readonly priority: number;
      readonly share: number;
      readonly deadlineMs: Milliseconds;
    }
  | { readonly kind: 'set-class-share'; readonly className: ClassName; readonly share: number }
  | {
      readonly kind: 'set-class-priority';
      readonly className: ClassName;
      readonly priority: number;
    }
  | {
      readonly kind: 'set-class-deadline';
      readonly className: ClassName;
      readonly deadlineMs: Milliseconds;
    }
  | { readonly kind: 'remove-class'; readonly className: ClassName }
  | {
      readonly kind: 'set-tenant';
      readonly tenant: TenantName;
      readonly className: ClassName;
      readonly weight: number;
      /** Replaces the tenant's key digests; null keeps them. */
      readonly keyDigests: readonly string[] | null;
    }
  | { readonly kind: 'remove-tenant'; readonly tenant: TenantName }
  /** Null refuses callers without a key. */
  | { readonly kind: 'set-anonymous-tenant'; readonly tenant: TenantName | null }
  | {
      readonly kind: 'set-route';
      readonly prefix: string;
      readonly service: string;
      readonly repeatable: boolean;
    }
  | { readonly kind: 'remove-route'; readonly prefix: string }
  | { readonly kind: 'drain'; readonly backend: BackendName }
  | { readonly kind: 'return'; readonly backend: BackendName }
  | { readonly kind: 'ask-role'; readonly engine: BackendName; readonly role: EngineRole }
  | { readonly kind: 'release-role'; readonly engine: BackendName };

/** Commands that take effect together or not at all. */
export interface Change {
  readonly kind: 'change';
  readonly commands: readonly Command[];
  /** The change is refused unless this version is in force; null skips the check. */
  readonly ifVersion: number | null;
  /** Reports what would change without changing anything. */
  readonly dryRun: boolean;
}

/** Any statement that an operator may write. */
export type Statement = Query | Change;
