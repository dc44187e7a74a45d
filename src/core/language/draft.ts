/**
 * A copy of a document that commands change in place. Only its containers are copied, and once per
 * block, so that many commands on a large document do not copy it each time. Entries are shared with
 * the original: commands replace them and never modify them.
 */
import type { Result } from 'neverthrow';
import type { ConfigurationDocument } from '../configuration/document.js';

/** A sentence on what a command changed, or an error text that states the problem and its remedy. */
export type CommandOutcome = Result<string, string>;

/** Creates a copy of the document that commands may change. */
export function createDraft(document: ConfigurationDocument): ConfigurationDocument {
  return {
    ...document,
    models: { ...document.models },
    classes: { ...document.classes },
    tenants: { ...document.tenants },
    routes: [...document.routes],
    backends: { ...document.backends },
  };
}

/** Reads an entry by name; ignores inherited members, such as `constructor`. */
export function getOwnEntry<T>(record: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}
