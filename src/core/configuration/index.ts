/**
 * The configuration in force: one versioned document, changed by compare-and-set in the table
 * service, spread from daemon to daemon, never replaced by a lower version.
 */
export type {
  ChangeApplied,
  ChangeDryRun,
  ChangeOutcome,
  ChangeRefused,
  ChangeUnknown,
} from './change-outcome.js';
export { type Confirmation, confirmationOf, type UnconfirmedDaemon } from './confirmation.js';
export { type ChangeRecord, CURRENT_KEY, changeKey, parseChangeRow } from './row.js';
export {
  type ChangeAnswerEffect,
  type ChangedDocument,
  type ChangeRequest,
  type ConfigurationEffect,
  type ConfigurationState,
  createConfiguration,
} from './state.js';
export { type ConfigurationEvent, stepConfiguration } from './step.js';
