/** Applies the commands about single backends. A backend that nothing is asked of has no entry. */
import type { BackendConfiguration, ConfigurationDocument } from '../configuration/document.js';
import type { EngineRole } from '../registry/backend.js';
import { getOwnEntry } from './draft.js';
import type { Command } from './syntax.js';

/** A command about one backend. */
export type BackendCommand = Extract<
  Command,
  { readonly kind: 'drain' | 'return' | 'ask-role' | 'release-role' }
>;

/** Applies one command about a backend; what holds already stays as it is. */
export function applyBackendCommand(draft: ConfigurationDocument, command: BackendCommand): string {
  switch (command.kind) {
    case 'drain':
      setDrained(draft, command.backend, true);
      return `backend ${command.backend} is drained and gets no new work`;
    case 'return':
      setDrained(draft, command.backend, false);
      return `backend ${command.backend} takes new work again`;
    case 'ask-role':
      setRole(draft, command.engine, command.role);
      return `engine ${command.engine} is asked to take the role ${command.role}`;
    case 'release-role':
      setRole(draft, command.engine, undefined);
      return `the role of engine ${command.engine} is left to the planner`;
  }
}

function setDrained(draft: ConfigurationDocument, name: string, drained: boolean): void {
  setBackend(draft, name, drained, getOwnEntry(draft.backends, name)?.role);
}

function setRole(draft: ConfigurationDocument, name: string, role: EngineRole | undefined): void {
  setBackend(draft, name, getOwnEntry(draft.backends, name)?.drained ?? false, role);
}

function setBackend(
  draft: ConfigurationDocument,
  name: string,
  drained: boolean,
  role: EngineRole | undefined,
): void {
  if (!drained && role === undefined) {
    delete draft.backends[name];
    return;
  }
  const backend: BackendConfiguration = { drained, ...(role === undefined ? {} : { role }) };
  draft.backends[name] = backend;
}
