/**
 * The world of the configuration model: two daemons that run the production reducers of
 * configuration and membership, the table, two operators who change the configuration at the same
 * time, and messages between the daemons that may be late, lost or repeated.
 */
import { ok } from 'neverthrow';
import {
  type ChangeRequest,
  type ConfigurationState,
  createConfiguration,
} from '../../../core/configuration/index.js';
import {
  createMembership,
  type Member,
  type MembershipState,
} from '../../../core/membership/index.js';
import type { PeerChannel, PeerHeader, PeerMessage } from '../../../core/peer/index.js';
import type { TableCall, TableResult } from '../../../core/platform/table.js';
import { EMPTY_TABLE, type ModelTable } from '../table.js';

/** How often each kind of event may occur in one run. */
export interface ConfigurationBudget {
  /** Changes by operators: the first at daemon a, the second at daemon b. */
  readonly changes: number;
  /** Ticks of one second of each daemon. */
  readonly ticks: number;
  /** Times that a daemon's clock advances past every deadline. */
  readonly longTicks: number;
  readonly restarts: number;
  readonly duplicates: number;
  readonly lateTableCalls: number;
  readonly slowTableAnswers: number;
}

/** Two changes and a few ticks, without faults. */
export const PLAIN_CONFIGURATION_RUN: ConfigurationBudget = {
  changes: 2,
  ticks: 2,
  longTicks: 0,
  restarts: 0,
  duplicates: 0,
  lateTableCalls: 0,
  slowTableAnswers: 0,
};

/** A daemon of the model. */
export interface ConfigurationDaemon {
  readonly incarnation: number;
  readonly now: number;
  readonly ticks: number;
  readonly configuration: ConfigurationState;
  readonly membership: MembershipState;
}

/** A message in flight between daemons, or between a daemon and the table. */
export type ConfigurationMessage =
  | {
      readonly kind: 'peer';
      readonly to: number;
      readonly header: PeerHeader;
      readonly message: PeerMessage;
      /** A stream ends when the daemon at either end ends. */
      readonly channel: PeerChannel;
    }
  | { readonly kind: 'table-call'; readonly call: TableCall }
  | {
      readonly kind: 'table-answer';
      readonly to: number;
      readonly incarnation: number;
      readonly token: string;
      readonly result: TableResult;
    };

/** The complete state of the model. */
export interface ConfigurationWorld {
  readonly table: ModelTable;
  readonly daemons: readonly ConfigurationDaemon[];
  readonly messages: readonly ConfigurationMessage[];
  readonly budget: ConfigurationBudget;
  /** The highest version that an operator got the answer `applied` for. */
  readonly applied: number;
  /** The kinds of the answers to operators, sorted. */
  readonly answers: readonly string[];
}

/** Longer before the model's start than a daemon waits for the machine list to be complete. */
const LISTED_LONG_AGO = -3_600_000;

/** The daemons' names, by index. */
export const DAEMON_NAMES = ['a', 'b'] as const;
/** The daemon that may restart. */
export const RESTARTED = 1;

/** Where a daemon's peer transport listens. */
export function endpointOfDaemon(index: number): { address: string; port: number } {
  return { address: '127.0.0.1', port: index };
}

function memberOf(index: number, incarnation: number): Member {
  return {
    name: DAEMON_NAMES[index] ?? '',
    zone: 'leiden-a',
    endpoint: endpointOfDaemon(index),
    incarnation,
    refutation: 0,
    status: 'alive',
    suspectedBy: null,
    statusSince: 0,
    configurationVersion: null,
  };
}

/** A daemon at the start of an incarnation that knows the other daemon. */
export function startedDaemon(
  index: number,
  incarnation: number,
  otherIncarnation: number,
): ConfigurationDaemon {
  const { name, zone, endpoint } = memberOf(index, incarnation);
  const created = createMembership({ name, zone, endpoint, incarnation });
  // It was listed long ago, so it considers the machine list complete.
  const membership = { ...created, ownListingAt: LISTED_LONG_AGO };
  return {
    incarnation,
    now: 0,
    ticks: 0,
    // The first read is not delayed, so that it can coincide with every other step.
    configuration: { ...createConfiguration({ name, endpoint }), nextReadAt: 0 },
    membership: withMember(membership, 1 - index, otherIncarnation),
  };
}

/** Membership with the current incarnation of another daemon. */
export function withMember(
  membership: MembershipState,
  index: number,
  incarnation: number,
): MembershipState {
  const member = memberOf(index, incarnation);
  return { ...membership, members: new Map(membership.members).set(member.name, member) };
}

/** The change that an operator requests from daemon `index`. */
export function changeRequest(index: number): ChangeRequest {
  const id = `change-${DAEMON_NAMES[index]}`;
  return {
    token: id,
    id,
    digest: id,
    ifVersion: null,
    dryRun: false,
    apply: (document) => {
      const changed = { ...document, anonymousTenant: `tenant-${DAEMON_NAMES[index]}` };
      return ok({ document: changed, description: [id] });
    },
  };
}

/** The world before the first step. */
export function initialConfigurationWorld(budget: ConfigurationBudget): ConfigurationWorld {
  return {
    table: EMPTY_TABLE,
    daemons: DAEMON_NAMES.map((_, index) => startedDaemon(index, 1, 1)),
    messages: [],
    budget,
    applied: 0,
    answers: [],
  };
}
