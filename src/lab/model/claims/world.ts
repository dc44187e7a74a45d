/**
 * The world of the claims model: three requests that share one idempotency key and whose work must not
 * run twice, two daemons that run the production request reducer, a table and one backend.
 */
import type { TableCall, TableResult } from '../../../core/platform/table.js';
import {
  newRequest,
  type RequestDescription,
  type RequestState,
} from '../../../core/requests/index.js';
import { EMPTY_TABLE, type ModelTable } from '../table.js';

/** How often each kind of fault may occur in one run. */
export interface ClaimsBudget {
  readonly kills: number;
  /** Table calls that time out at the sender while they are still in flight. */
  readonly lateTableCalls: number;
  /** Table calls that take effect at once and whose answer may arrive at any later time. */
  readonly slowTableAnswers: number;
  /** Table calls that are refused because the table is down. */
  readonly unavailable: number;
  /** Connections to the backend that break after bytes may have been sent. */
  readonly breaks: number;
  readonly refusals: number;
  readonly deadlines: number;
  readonly callersGone: number;
  /** 0 when the retry budget is empty, 1 when it is not. */
  readonly retryBudget: number;
}

/** A budget without faults; the retry budget is not empty. */
export const NO_CLAIMS_FAULTS: ClaimsBudget = {
  kills: 0,
  lateTableCalls: 0,
  slowTableAnswers: 0,
  unavailable: 0,
  breaks: 0,
  refusals: 0,
  deadlines: 0,
  callersGone: 0,
  retryBudget: 1,
};

/** Protections that a mutation removes. */
export interface ClaimsProtections {
  /** A claim is written before the work is dispatched. */
  readonly claims: boolean;
  /** "Not run" is reported only for work that was certainly not handed over. */
  readonly truthfulRefusals: boolean;
}

/** The outcome that was reported to a caller. */
export type ReportedOutcome = 'answered' | 'not run' | 'unknown' | 'replayed';

/** A request at one of the daemons. */
export interface ClaimsRequest {
  readonly daemon: number;
  /** Null before it arrives and after its daemon died. */
  readonly state: RequestState | null;
  readonly hasArrived: boolean;
  readonly reportedOutcome: ReportedOutcome | null;
}

/** An attempt in flight to the backend, or at the backend. */
export interface Attempt {
  readonly id: string;
  readonly request: number;
  /** `astray`: the sender no longer waits for it, but it may still arrive. */
  readonly phase: 'sent' | 'astray' | 'running' | 'ended';
  /** Whether its sender still waits for its end. */
  readonly isAwaited: boolean;
}

/** A table call whose sender has stopped waiting, or an answer that the daemon still waits for. */
export type LateMessage =
  | { readonly kind: 'call'; readonly call: TableCall }
  | { readonly kind: 'answer'; readonly request: number; readonly result: TableResult };

/** The complete state of the model. */
export interface ClaimsWorld {
  readonly table: ModelTable;
  /** Whether the first daemon runs. */
  readonly isFirstAlive: boolean;
  /** Whether the second daemon knows that the first is dead. */
  readonly isFirstKnownDead: boolean;
  readonly requests: readonly ClaimsRequest[];
  readonly attempts: readonly Attempt[];
  readonly messages: readonly LateMessage[];
  readonly budget: ClaimsBudget;
  /** How often the work of the idempotency key was started. */
  readonly runs: number;
}

/** The requests' deadline by the daemons' clocks. */
export const DEADLINE_MS = 1_000_000;
const DAEMON_OF_REQUEST = [0, 1, 1] as const;

/** The daemon's name. */
export function daemonName(index: number): string {
  return index === 0 ? 'a' : 'b';
}

/** The reducer state of a request on arrival. */
export function arrivedRequest(index: number, daemon: number): RequestState {
  const description: RequestDescription = {
    id: `${daemonName(daemon)}-1-${index}`,
    tenant: 'roaster',
    className: 'interactive',
    target: { kind: 'web', service: 'orders' },
    streamed: false,
    repeatable: false,
    idempotencyKey: 'renewal-7',
    bodyDigest: 'digest',
    arrivedAt: 0,
    deadline: DEADLINE_MS,
  };
  return newRequest(description);
}

/** The world before any request. */
export function initialClaimsWorld(budget: ClaimsBudget): ClaimsWorld {
  return {
    table: EMPTY_TABLE,
    isFirstAlive: true,
    isFirstKnownDead: false,
    requests: DAEMON_OF_REQUEST.map((daemon) => {
      return { daemon, state: null, hasArrived: false, reportedOutcome: null };
    }),
    attempts: [],
    messages: [],
    budget,
    runs: 0,
  };
}
