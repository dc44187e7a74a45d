/**
 * Gauges that are read off the daemon's state when the metrics are collected.
 */
import { Gauge, type Registry } from 'prom-client';
import type { MonotonicMs } from '../../core/common/time.js';
import type { EngineView } from '../../core/registry/backend.js';
import { mayDispatch } from '../../core/registry/grant.js';

/** A lease that this daemon holds. */
export interface HeldLease {
  readonly resource: string;
  readonly epoch: number;
}

/** What the gauges show, taken at one moment. */
export interface FleetSample {
  readonly now: MonotonicMs;
  /** Requests whose caller or backend is not done. */
  readonly requestsInFlight: number;
  readonly requestsWaiting: number;
  readonly heldBodyBytes: number;
  /** Bytes of datagrams and frames to and from other daemons since the start. */
  readonly peerBytesSent: number;
  readonly peerBytesReceived: number;
  /** 0 while none is in force. */
  readonly configurationVersion: number;
  /** The highest version that this daemon has heard of. */
  readonly highestConfigurationVersion: number;
  readonly engines: readonly EngineView[];
  readonly leases: readonly HeldLease[];
  /** Daemons that are not known to be gone, this one included. */
  readonly daemonsPresent: number;
}

type NumberKey = {
  [Key in keyof FleetSample]: FleetSample[Key] extends number ? Key : never;
}[keyof FleetSample];

interface NumberGauge {
  readonly key: Exclude<NumberKey, 'now'>;
  readonly gauge: Gauge;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** The gauges of a daemon's requests and of its view of the fleet. */
export class FleetGauges {
  readonly #numbers: readonly NumberGauge[];
  readonly #engines: Gauge<'role' | 'state'>;
  readonly #leases: Gauge<'resource'>;
  readonly #reportAge: Gauge<'quantile'>;

  constructor(registry: Registry) {
    const registers = [registry];
    const numberGauge = (key: NumberGauge['key'], name: string, help: string): NumberGauge => ({
      key,
      gauge: new Gauge({ name: `threadfork_${name}`, help, registers }),
    });
    this.#numbers = [
      numberGauge('requestsInFlight', 'requests_in_flight', 'Requests that have not ended'),
      numberGauge('requestsWaiting', 'requests_waiting', 'Requests that wait for a backend'),
      numberGauge('heldBodyBytes', 'held_body_bytes', 'Bytes of request bodies in memory'),
      numberGauge('peerBytesSent', 'peer_sent_bytes', 'Bytes sent to other daemons'),
      numberGauge('peerBytesReceived', 'peer_received_bytes', 'Bytes had from other daemons'),
      numberGauge('configurationVersion', 'configuration_version', 'The version in force here'),
      numberGauge(
        'highestConfigurationVersion',
        'configuration_highest_version',
        'The highest version heard of; above the one in force while it is being fetched',
      ),
      numberGauge('daemonsPresent', 'daemons_present', 'Daemons not known to be gone'),
    ];
    this.#engines = new Gauge({
      name: 'threadfork_engines',
      help: 'Engines by role, and whether this daemon may send them new requests',
      labelNames: ['role', 'state'],
      registers,
    });
    this.#leases = new Gauge({
      name: 'threadfork_lease_epoch',
      help: 'Epochs of the leases that this daemon holds',
      labelNames: ['resource'],
      registers,
    });
    this.#reportAge = new Gauge({
      name: 'threadfork_engine_report_age_seconds',
      help: 'Age of the engine reports in use: median and oldest',
      labelNames: ['quantile'],
      registers,
    });
  }

  /** Shows a sample. */
  update(sample: FleetSample): void {
    for (const { key, gauge } of this.#numbers) gauge.set(sample[key]);
    this.#showEngines(sample);
    this.#showReportAges(sample);
    this.#leases.reset();
    for (const { resource, epoch } of sample.leases) this.#leases.set({ resource }, epoch);
  }

  #showEngines({ engines, now }: FleetSample): void {
    this.#engines.reset();
    for (const engine of engines) {
      const role = engine.report?.role ?? 'unknown';
      this.#engines.inc({ role, state: mayDispatch(engine, now) ? 'open' : 'closed' });
    }
  }

  #showReportAges({ engines, now }: FleetSample): void {
    const agesMs = engines
      .filter((engine) => engine.report !== null)
      .map((engine) => now - engine.reportedAt)
      .toSorted((left, right) => left - right);
    const median = agesMs[Math.floor(agesMs.length / 2)] ?? 0;
    const oldest = agesMs.at(-1) ?? 0;
    this.#reportAge.set({ quantile: '0.5' }, median / MILLISECONDS_PER_SECOND);
    this.#reportAge.set({ quantile: '1' }, oldest / MILLISECONDS_PER_SECOND);
  }
}
