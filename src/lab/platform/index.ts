/** The emulated platform: table, objects, weights and machine list. */
export type { FaultsRequest } from './faults.js';
export { MachineRegistration } from './machine-registration.js';
export { DEFAULT_PLATFORM_OPTIONS, PlatformModel, type PlatformOptions } from './model.js';
export { createPlatformServer, type PlatformServer } from './server.js';
export type { Admission } from './service-gate.js';
export { VersionedTable } from './versioned-table.js';
