/** All events that the daemon's reducer handles. */
import type { BackendName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import type { ChangeRequest } from '../configuration/index.js';
import type { ControllerEvent } from '../controller/index.js';
import type { PeerReceivedEvent } from '../peer/index.js';
import type { ObjectResultEvent } from '../platform/object.js';
import type { TableResultEvent } from '../platform/table.js';
import type { EngineReport, Machine } from '../registry/backend.js';
import type { AttemptEvent, RequestDescription } from '../requests/index.js';

/** Requests of callers and the progress of their attempts, reported by the HTTP shell. */
export type CallerActivity =
  | { readonly kind: 'request-arrived'; readonly description: RequestDescription }
  | { readonly kind: 'attempt'; readonly request: string; readonly event: AttemptEvent }
  | { readonly kind: 'caller-gone'; readonly request: string };

/** Reports of engines and reads of the machine list. */
export type FleetEvent =
  | {
      readonly kind: 'engine-report';
      readonly engine: BackendName;
      /** Time of this daemon's clock just before the report was requested. */
      readonly askedAt: MonotonicMs;
      readonly report: EngineReport;
    }
  | { readonly kind: 'engine-silent'; readonly engine: BackendName }
  | { readonly kind: 'machines-listed'; readonly machines: readonly Machine[] }
  | { readonly kind: 'machines-unavailable' }
  | { readonly kind: 'web-health'; readonly backend: BackendName; readonly healthy: boolean };

/** Answers of engines to orders. */
export type OrderEvent = Extract<ControllerEvent, { kind: 'order-answer' | 'order-state' }>;

export type DaemonEvent =
  | { readonly kind: 'tick' }
  | CallerActivity
  | FleetEvent
  | OrderEvent
  | PeerReceivedEvent
  | TableResultEvent
  | ObjectResultEvent
  | { readonly kind: 'change'; readonly request: ChangeRequest }
  /** A graceful stop was requested. */
  | { readonly kind: 'stop' }
  /** The daemon ends now, and the requests that are left with it. */
  | { readonly kind: 'cut' };
