/**
 * A document that commands change in place. Its containers are copied once, so that a block of many
 * commands on a large document costs no copy for each; what they hold is replaced, never changed.
 */
import type { Result } from 'neverthrow';
import type { ConfigurationDocument } from '../configuration/document.js';

/** What one command did in a sentence, or what is wrong with it and its remedy in another. */
export type CommandOutcome = Result<string, string>;

/** A copy of the document that commands may change. */
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

/** Reads an entry by name; names such as `constructor` are not taken for inherited members. */
export function getOwnEntry<T>(record: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(record, name) ? record[name] : undefined;
}
