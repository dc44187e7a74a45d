/**
 * The tables that queries read, and their rows. Rows are flat; a list field satisfies a comparison when
 * any of its elements does (for `!=`: when no element equals the literal).
 */

/** The tables, in the order in which help lists them. */
export const TABLE_NAMES = [
  'engines',
  'models',
  'daemons',
  'leases',
  'orders',
  'config',
  'changes',
] as const;

/** A table that queries read. */
export type TableName = (typeof TABLE_NAMES)[number];

/** A value of a field. */
export type FieldValue = string | number | boolean | null | readonly string[];

/** One row of a table: its fields by name. */
export type Row = Readonly<Record<string, FieldValue>>;

/**
 * The fields that every row of a table has, in the order in which they are printed. A backend of the
 * operator server may append further fields.
 */
export const TABLE_FIELDS = {
  engines: [
    'name',
    'zone',
    'state',
    'accelerator',
    'role',
    'askedRole',
    'intake',
    'busy',
    'drained',
    'models',
    'adapters',
    'running',
    'queued',
    'active',
    'kvUsed',
    'reportAgeMs',
    'granted',
    'watcher',
    'boot',
  ],
  models: ['model', 'version', 'adapter', 'adapterVersion', 'objective', 'loaded', 'wanted'],
  daemons: ['name', 'zone', 'state', 'incarnation', 'address', 'configurationVersion'],
  leases: ['resource', 'holder', 'epoch', 'durationMs', 'remainingMs'],
  orders: ['engine', 'order', 'action', 'phase', 'outcome', 'epoch', 'reason'],
  config: ['section', 'name', 'key', 'value'],
  changes: ['id', 'version', 'operator', 'at', 'description'],
} as const satisfies Record<TableName, readonly string[]>;
