/**
 * The platform as a model without sockets or clocks, used in virtual time and behind HTTP.
 * Each call is first admitted (rate limit, faults), then, after `delayMs`, applied.
 */
import type { Milliseconds } from '../../core/common/time.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import { type FaultsRequest, SERVICES, type Service, type ServiceFaults } from './faults.js';
import { MachineList } from './machine-list.js';
import { type Admission, type ServiceCounts, ServiceGate } from './service-gate.js';
import { ObjectStore, WeightStore } from './stores.js';
import type { RateLimit } from './token-bucket.js';
import { VersionedTable } from './versioned-table.js';

/** Rate limits and lag of the emulated platform. */
export interface PlatformOptions {
  readonly limits: Readonly<Record<Service, RateLimit>>;
  /** The lag of the machine list. */
  readonly machineLagMs: Milliseconds;
}

/** Rate limits of production for a small fleet; that of the machine list is far above its need. */
export const DEFAULT_PLATFORM_OPTIONS: PlatformOptions = {
  limits: {
    table: { perSecond: 100, burst: 200 },
    objects: { perSecond: 20, burst: 40 },
    weights: { perSecond: 20, burst: 40 },
    machines: { perSecond: 200, burst: 400 },
  },
  machineLagMs: 500,
};

/** The results of a table call that was admitted and applied. */
export type AppliedTableResult = Extract<
  TableResult,
  { readonly kind: 'rows' | 'committed' | 'conflict' }
>;

/** The state of all platform services, mutated in place. */
export class PlatformModel {
  readonly table = new VersionedTable();
  readonly objects = new ObjectStore();
  readonly weights = new WeightStore();
  readonly machines: MachineList;
  private readonly gates: ReadonlyMap<Service, ServiceGate>;

  constructor(options: PlatformOptions = DEFAULT_PLATFORM_OPTIONS) {
    this.machines = new MachineList(options.machineLagMs);
    this.gates = new Map(
      SERVICES.map((service) => [service, new ServiceGate(options.limits[service])]),
    );
  }

  /** Applies rate limit and faults to a call. The caller applies an admitted call after `delayMs`. */
  admit(service: Service, writes: boolean, now: Milliseconds): Admission {
    return this.gate(service).admit(writes, now);
  }

  /** Applies a table call that was admitted. */
  applyTable(call: TableCall): AppliedTableResult {
    switch (call.kind) {
      case 'get':
        return { kind: 'rows', rows: this.table.get(call.keys) };
      case 'scan':
        return { kind: 'rows', rows: this.table.scan(call.prefix, call.limit, call.after) };
      case 'transact': {
        const outcome = this.table.transact(call.checks, call.writes);
        return { kind: outcome.committed ? 'committed' : 'conflict', rows: outcome.rows };
      }
    }
  }

  /** Sets the faults in the request and leaves the others unchanged. */
  setFaults(request: FaultsRequest): void {
    for (const service of SERVICES) {
      const change = request[service];
      if (change !== undefined) this.gate(service).setFaults(change);
    }
    if (request.machineLagMs !== undefined) this.machines.setLag(request.machineLagMs);
  }

  /** The current faults, by service. */
  faults(): Readonly<Record<Service, ServiceFaults>> {
    return this.byService((gate) => gate.currentFaults());
  }

  /** The counts of calls since the start, by service. */
  counts(): Readonly<Record<Service, ServiceCounts>> {
    return this.byService((gate) => gate.counts());
  }

  private byService<T>(read: (gate: ServiceGate) => T): Readonly<Record<Service, T>> {
    return {
      table: read(this.gate('table')),
      objects: read(this.gate('objects')),
      weights: read(this.gate('weights')),
      machines: read(this.gate('machines')),
    };
  }

  private gate(service: Service): ServiceGate {
    const gate = this.gates.get(service);
    if (gate === undefined) throw new Error(`no service ${service}`);
    return gate;
  }
}
