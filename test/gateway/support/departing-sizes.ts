/** The fleets in which servers depart, and what their lists hold. */

/** The servers of a list; the first one departs. */
export const SERVERS = ['leaves', 'stays'];
/** A list that never rests changes at this interval. */
export const RESTLESS_MS = 150;

/** A fleet. */
export interface Size {
  readonly zones: number;
  readonly daemonsPerZone: number;
  readonly hasRelays: boolean;
  readonly contactMs: number;
  readonly drainMs: number;
}

/** The smallest fleet: each daemon reads the list itself. */
export const SMALL: Size = {
  zones: 3,
  daemonsPerZone: 3,
  hasRelays: false,
  contactMs: 3_000,
  drainMs: 2_000,
};
const LARGE: Size = { ...SMALL, daemonsPerZone: 22, hasRelays: true };
/** The fleets of the deployments, and one at twice the largest. */
export const SIZES: readonly Size[] = [
  SMALL,
  { ...LARGE, contactMs: 4_000, drainMs: 3_000 },
  { ...LARGE, daemonsPerZone: 28, contactMs: 4_000, drainMs: 3_000 },
  { ...LARGE, daemonsPerZone: 65, contactMs: 5_000, drainMs: 4_000 },
];
