/**
 * The complete catalogue of log events, by area. docs/EVENTS.md is generated from it
 * (`npm run docs`); tests check that numbers are unique and within the range of their area.
 */
import type { LogEvent } from '../log-event.js';
import { CALLER_HTTP_EVENTS } from './caller-http.js';
import { CONFIGURATION_EVENTS } from './configuration.js';
import { DAEMON_EVENTS } from './daemon.js';
import { DEPARTURE_EVENTS } from './departures.js';
import { ENGINE_EVENTS } from './engine.js';
import { ENTRY_EVENTS } from './entries.js';
import { GATEWAY_EVENTS } from './gateway.js';
import { LEASE_EVENTS } from './lease.js';
import { MEMBERSHIP_EVENTS } from './membership.js';
import { OPERATOR_EVENTS } from './operator.js';
import { ORDER_EVENTS } from './orders.js';
import { PEER_EVENTS } from './peer.js';
import { PROCESS_EVENTS } from './process.js';
import { REQUEST_EVENTS } from './requests.js';
import { RESOURCE_EVENTS } from './resources.js';
import { ROLE_EVENTS } from './roles.js';
import { SETTINGS_EVENTS } from './settings.js';
import { STOP_EVENTS } from './stops.js';

/** The events of one area of the code. */
export interface CatalogueArea {
  /** Name of the area's file in this folder, without its extension. */
  readonly name: string;
  readonly title: string;
  /** The first of the area's numbers, of which it has at most a hundred. */
  readonly firstNumber: number;
  readonly events: Readonly<Record<string, LogEvent>>;
}

/** Size of the range of numbers that each area has. */
export const NUMBERS_PER_AREA = 100;

/** All areas, in the order of their numbers. */
export const CATALOGUE: readonly CatalogueArea[] = [
  { name: 'daemon', title: 'Daemon', firstNumber: 1000, events: DAEMON_EVENTS },
  { name: 'settings', title: 'Settings', firstNumber: 1100, events: SETTINGS_EVENTS },
  {
    name: 'caller-http',
    title: "Callers' listener",
    firstNumber: 2000,
    events: CALLER_HTTP_EVENTS,
  },
  { name: 'requests', title: 'Requests', firstNumber: 2100, events: REQUEST_EVENTS },
  { name: 'engine', title: 'Engines', firstNumber: 3000, events: ENGINE_EVENTS },
  { name: 'orders', title: 'Orders and controllers', firstNumber: 3100, events: ORDER_EVENTS },
  { name: 'lease', title: 'Leases', firstNumber: 3200, events: LEASE_EVENTS },
  { name: 'roles', title: 'Roles', firstNumber: 3300, events: ROLE_EVENTS },
  { name: 'membership', title: 'Membership', firstNumber: 4000, events: MEMBERSHIP_EVENTS },
  {
    name: 'peer',
    title: 'Messages between daemons',
    firstNumber: 4100,
    events: PEER_EVENTS,
  },
  {
    name: 'configuration',
    title: 'Configuration',
    firstNumber: 4200,
    events: CONFIGURATION_EVENTS,
  },
  { name: 'operator', title: 'Operator API', firstNumber: 5000, events: OPERATOR_EVENTS },
  { name: 'gateway', title: 'Gateway', firstNumber: 6000, events: GATEWAY_EVENTS },
  {
    name: 'departures',
    title: 'Departures of servers',
    firstNumber: 6100,
    events: DEPARTURE_EVENTS,
  },
  { name: 'stops', title: 'Stops of gateways', firstNumber: 6104, events: STOP_EVENTS },
  {
    name: 'process',
    title: "The gateway's process",
    firstNumber: 6200,
    events: PROCESS_EVENTS,
  },
  {
    name: 'resources',
    title: 'Resources of the process',
    firstNumber: 6230,
    events: RESOURCE_EVENTS,
  },
  { name: 'entries', title: 'Unusable rows', firstNumber: 6210, events: ENTRY_EVENTS },
];
