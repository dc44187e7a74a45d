/**
 * The fleet as routing needs it: machines, engine views and the configuration in force, indexed by
 * held model or adapter and by zone. Routing reads it for every request, so its owner, the daemon's
 * step function, updates it in place. It reads no clock.
 */
import type { AdapterName, BackendName, ModelName } from '../common/identifiers.js';
import {
  type ConfigurationDocument,
  EMPTY_CONFIGURATION,
  type VersionedConfiguration,
} from '../configuration/document.js';
import type { EngineMachine, EngineView, Machine, WebMachine } from '../registry/backend.js';
import { type CandidateSet, createCandidateSet, rebuildCandidateSet } from './candidate-set.js';
import {
  applyView,
  createEngineEntry,
  type EngineEntry,
  type HeldVersion,
  heldVersionsOf,
  sameHeldVersions,
  targetKey,
  unavailableReason,
} from './engine-entry.js';

/** An engine that was never listed is removed after this number of consecutive machine lists. */
const MAX_LISTS_MISSED = 2;

/** The index. All lookups are by name or target; no request scans the fleet. */
export class FleetIndex {
  readonly #engines = new Map<BackendName, EngineEntry>();
  readonly #sets = new Map<string, CandidateSet>();
  readonly #webBackends = new Map<string, WebMachine[]>();
  #reportedActive = 0;
  #configuration: VersionedConfiguration = EMPTY_CONFIGURATION;

  /**
   * Applies a machine list. Machines that are no longer listed are removed; an engine that is known
   * only by its reports is removed after `MAX_LISTS_MISSED` lists.
   */
  setMachines(machines: readonly Machine[]): void {
    this.#webBackends.clear();
    const listedNames = new Set<BackendName>();
    for (const machine of machines) {
      if (machine.kind === 'engine') {
        listedNames.add(machine.name);
        this.#setEngineMachine(machine);
      } else if (machine.kind === 'web') {
        this.#addWebMachine(machine);
      }
    }
    for (const entry of this.#engines.values()) {
      if (!listedNames.has(entry.name)) {
        this.#handleMissingFromList(entry);
      }
    }
  }

  /** Applies a view of one engine. A view older than the current one is ignored. */
  setView(view: EngineView): void {
    const entry = this.#getOrCreateEntry(view.machine);
    if (view.reportedAt < entry.reportedAt) {
      return;
    }
    if (!entry.listed) {
      entry.machine = view.machine;
    }
    this.#reportedActive -= entry.report?.activeRequests ?? 0;
    applyView(entry, view);
    this.#reportedActive += entry.report?.activeRequests ?? 0;
    this.#updateHoldings(entry);
    this.#updateAvailability(entry);
  }

  /** Applies a configuration. A version lower than the current one is ignored. */
  setConfiguration(configuration: VersionedConfiguration): void {
    if (configuration.version < this.#configuration.version) {
      return;
    }
    this.#configuration = configuration;
    for (const entry of this.#engines.values()) {
      entry.drained = this.#isDrained(entry.name);
      entry.unavailable = unavailableReason(entry);
    }
    for (const set of this.#sets.values()) {
      set.dirty = true;
    }
  }

  /** The configuration in force. */
  get configuration(): ConfigurationDocument {
    return this.#configuration.document;
  }

  /** An engine by name. */
  engine(name: BackendName): EngineEntry | undefined {
    return this.#engines.get(name);
  }

  /** All engines. */
  engines(): IterableIterator<EngineEntry> {
    return this.#engines.values();
  }

  /** Number of known engines. */
  get engineCount(): number {
    return this.#engines.size;
  }

  /** Sum of the active requests in the latest reports of all engines. */
  get reportedActive(): number {
    return this.#reportedActive;
  }

  /** The web backends of a service in the machine list, live or leaving. */
  webBackends(service: string): readonly WebMachine[] {
    return this.#webBackends.get(service) ?? [];
  }

  /** The candidate engines for a request to a model or adapter. */
  candidates(model: ModelName, adapter: AdapterName | null): CandidateSet {
    const set = this.#getOrCreateSet(targetKey(model, adapter));
    if (set.dirty) {
      rebuildCandidateSet(set, this.wantedVersion(model, adapter));
    }
    return set;
  }

  /** The configured version of a model or adapter, or null when it is not configured. */
  wantedVersion(model: ModelName, adapter: AdapterName | null): HeldVersion | null {
    const configured = this.#configuration.document.models[model];
    if (configured === undefined) {
      return null;
    }
    if (adapter === null) {
      return { model: configured.version, adapter: null };
    }
    const configuredAdapter = configured.adapters[adapter];
    return configuredAdapter === undefined
      ? null
      : { model: configured.version, adapter: configuredAdapter.version };
  }

  #isDrained(name: BackendName): boolean {
    return this.#configuration.document.backends[name]?.drained ?? false;
  }

  #setEngineMachine(machine: EngineMachine): void {
    const entry = this.#getOrCreateEntry(machine);
    const moved = entry.machine.zone !== machine.zone;
    entry.machine = machine;
    entry.listed = true;
    entry.listsMissed = 0;
    if (moved) {
      this.#markDirty(entry);
    }
    this.#updateAvailability(entry);
  }

  #addWebMachine(machine: WebMachine): void {
    const existing = this.#webBackends.get(machine.service);
    if (existing === undefined) {
      this.#webBackends.set(machine.service, [machine]);
    } else {
      existing.push(machine);
    }
  }

  #handleMissingFromList(entry: EngineEntry): void {
    entry.listsMissed += 1;
    if (!entry.listed && entry.listsMissed < MAX_LISTS_MISSED) {
      return;
    }
    for (const key of entry.heldVersions.keys()) {
      this.#getOrCreateSet(key).holders.delete(entry);
    }
    this.#markDirty(entry);
    this.#engines.delete(entry.name);
    this.#reportedActive -= entry.report?.activeRequests ?? 0;
  }

  #getOrCreateEntry(machine: EngineMachine): EngineEntry {
    const existing = this.#engines.get(machine.name);
    if (existing !== undefined) {
      return existing;
    }
    const created = createEngineEntry(machine);
    created.drained = this.#isDrained(machine.name);
    created.unavailable = unavailableReason(created);
    this.#engines.set(machine.name, created);
    return created;
  }

  #updateHoldings(entry: EngineEntry): void {
    const heldVersions = heldVersionsOf(entry.report);
    if (sameHeldVersions(entry.heldVersions, heldVersions)) {
      return;
    }
    this.#markDirty(entry);
    for (const key of entry.heldVersions.keys()) {
      this.#getOrCreateSet(key).holders.delete(entry);
    }
    entry.heldVersions = heldVersions;
    for (const key of heldVersions.keys()) {
      this.#getOrCreateSet(key).holders.add(entry);
    }
    this.#markDirty(entry);
  }

  #updateAvailability(entry: EngineEntry): void {
    const unavailable = unavailableReason(entry);
    if (unavailable !== entry.unavailable || entry.role !== entry.indexedRole) {
      entry.unavailable = unavailable;
      entry.indexedRole = entry.role;
      this.#markDirty(entry);
    }
  }

  #markDirty(entry: EngineEntry): void {
    for (const key of entry.heldVersions.keys()) {
      this.#getOrCreateSet(key).dirty = true;
    }
  }

  #getOrCreateSet(key: string): CandidateSet {
    const existing = this.#sets.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const created = createCandidateSet(key);
    this.#sets.set(key, created);
    return created;
  }
}
