/** The client of the platform's services. */
export { machineSchema } from './answers.js';
export {
  createPlatformClient,
  type MachineList,
  type PlatformClient,
  type WeightReference,
} from './client.js';
export type { UnusableMachine } from './machine-entries.js';
