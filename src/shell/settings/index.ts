/** A daemon's settings: read from a YAML file and flags, and fully validated before the daemon starts. */
export { formatEndpoint, parseEndpoint } from './endpoint.js';
export type { SettingsFlags } from './flags.js';
export { type SettingsKey, settingsKeys } from './keys.js';
export { allowsUnauthenticatedOperators, loadSettings, type ReadFile } from './load.js';
export { describeFound, formatProblem, type SettingsProblem } from './problem.js';
export type { DaemonSettings, OperatorToken } from './schema.js';
export { parseSettingsDocument, type SettingsDocument } from './settings-document.js';
export { packageVersion } from './version.js';
