/** Rows of the tables that operators query. */
export { configurationRows } from './configuration-rows.js';
export { daemonRows } from './daemon-rows.js';
export { engineRows, modelRows } from './engine-rows.js';
export { STORED_TABLES, type StoredTable, withOwnRemainingTime } from './store-rows.js';
