/** The `--platform` flag of emulated machines. */
import { MachineRegistration } from '../platform/index.js';
import { endpointOption } from './options.js';

/** Access to the machine list of the platform given by `--platform`; null without the flag. */
export function machineListOption(platform: string | undefined): MachineRegistration | null {
  if (platform === undefined) return null;
  return new MachineRegistration(endpointOption('--platform', platform));
}
