/** The operator language: parsing, evaluating queries, applying and printing commands. */
export { applyCommands } from './apply.js';
export { parseDuration } from './duration.js';
export { evaluateQuery, requiredTextValue } from './evaluate.js';
export { formatDocumentAsCommands } from './format.js';
export { MAX_STATEMENT_CHARACTERS, parseStatement } from './parse.js';
export type { Change, Command, Query } from './syntax.js';
export { type FieldValue, type Row, TABLE_FIELDS, TABLE_NAMES, type TableName } from './tables.js';
