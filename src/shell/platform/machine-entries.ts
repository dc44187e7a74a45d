/** Checks the entries of the machine list one by one: an unusable one must not hide the others. */
import { problemOf } from '../../core/platform/unreadable-rows.js';
import type { Machine } from '../../core/registry/backend.js';
import { machineSchema } from './answers.js';

/** An entry that names no machine. */
export interface UnusableMachine {
  /** Its name; its position where it has none. */
  readonly name: string;
  readonly problem: string;
}

/** The entries of a list. */
export interface MachineEntries {
  readonly machines: readonly Machine[];
  readonly unusable: readonly UnusableMachine[];
}

/** Parses the entries. */
export function readMachines(entries: readonly unknown[]): MachineEntries {
  const machines: Machine[] = [];
  const unusable: UnusableMachine[] = [];
  for (const [index, entry] of entries.entries()) {
    const parsed = machineSchema.safeParse(entry);
    if (parsed.success) {
      machines.push(parsed.data);
      continue;
    }
    unusable.push({ name: nameOf(entry) ?? `#${index}`, problem: problemOf(parsed.error) });
  }
  return { machines, unusable };
}

function nameOf(entry: unknown): string | undefined {
  if (typeof entry !== 'object' || entry === null || !('name' in entry)) return undefined;
  return typeof entry.name === 'string' ? entry.name : undefined;
}
