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

/** How often each thing may happen in one run. */
export interface ConfigurationBudget {
  /** Changes by operators: the first at daemon a, the second at daemon b. */
  readonly changes: number;
  /** Ticks of a second of each daemon. */
  readonly ticks: number;
  /** Times that a daemon's clock runs on past every deadline. */
  readonly longTicks: number;
  readonly restarts: number;
  readonly duplicates: number;
  readonly lateTableCalls: number;
  readonly slowTableAnswers: number;
}

/** Nothing but two changes and a few ticks. */
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

/** Something on its way between daemons, or between a daemon and the table. */
export type ConfigurationMessage =
  | {
      readonly kind: 'peer';
      readonly to: number;
      readonly header: PeerHeader;
      readonly message: PeerMessage;
      /** A stream ends with the life of either end. */
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

/** Everything there is. */
export interface ConfigurationWorld {
  readonly table: ModelTable;
  readonly daemons: readonly ConfigurationDaemon[];
  readonly messages: readonly ConfigurationMessage[];
  readonly budget: ConfigurationBudget;
  /** The highest version that an operator was told is in force. */
  readonly applied: number;
  /** What operators were told. */
  readonly answers: readonly string[];
}

/** Before the model begins, by more than a daemon waits for others to be listed. */
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

/** A daemon of a new life that knows the other one. */
export function startedDaemon(
  index: number,
  incarnation: number,
  otherIncarnation: number,
): ConfigurationDaemon {
  const { name, zone, endpoint } = memberOf(index, incarnation);
  const created = createMembership({ name, zone, endpoint, incarnation });
  // It has been listed for long, so the machine list lacks nobody.
  const membership = { ...created, ownListingAt: LISTED_LONG_AGO };
  return {
    incarnation,
    now: 0,
    ticks: 0,
    // The first read is not put off, so that it may meet everything else.
    configuration: { ...createConfiguration({ name, endpoint }), nextReadAt: 0 },
    membership: withMember(membership, 1 - index, otherIncarnation),
  };
}

/** Membership with the present life of another daemon. */
export function withMember(
  membership: MembershipState,
  index: number,
  incarnation: number,
): MembershipState {
  const member = memberOf(index, incarnation);
  return { ...membership, members: new Map(membership.members).set(member.name, member) };
}

/** The change that an operator asks daemon `index` for. */
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

/** The world before anything has happened. */
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
