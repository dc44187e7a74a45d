/** All effects that the daemon's reducer requests from its shells. */

import type { BackendName } from '../common/identifiers.js';
import type { VersionedConfiguration } from '../configuration/document.js';
import type { ChangeAnswerEffect } from '../configuration/index.js';
import type { ControllerEffect } from '../controller/index.js';
import type { LogEffect } from '../logging/log-event.js';
import type { PeerEffect } from '../peer/index.js';
import type { ObjectEffect } from '../platform/object.js';
import type { TableEffect } from '../platform/table.js';
import type { Endpoint, WebMachine } from '../registry/backend.js';
import type { RequestEffect, RequestNotice } from '../requests/index.js';

/** Requests an engine's report. The shell answers with `engine-report` or `engine-silent`. */
export interface AskReportEffect {
  readonly kind: 'ask-report';
  readonly engine: BackendName;
  readonly endpoint: Endpoint;
}

export type DaemonEffect =
  | RequestEffect
  | RequestNotice
  | AskReportEffect
  | ControllerEffect
  | PeerEffect
  | TableEffect
  | ObjectEffect
  | ChangeAnswerEffect
  | LogEffect
  /** Read the machine list. The shell answers with `machines-listed` or `machines-unavailable`. */
  | { readonly kind: 'list-machines' }
  /** Check a web backend's health. The shell answers with `web-health`. */
  | { readonly kind: 'check-health'; readonly machine: WebMachine }
  /** A configuration came into force. */
  | { readonly kind: 'configuration-in-force'; readonly configuration: VersionedConfiguration }
  /**
   * A stopping daemon has finished its requests and released its duties. It may exit unless another
   * request arrives.
   */
  | { readonly kind: 'stop-ready' };
