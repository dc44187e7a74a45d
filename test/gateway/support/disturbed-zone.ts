/** Changes of the configuration around a disturbance of the daemons' links to the store, in virtual time. */
import { FollowedZone, type FollowedZoneOptions } from './followed-zone.js';
import { seededRandom } from './seeded-random.js';
import type { LinkState } from './store-link.js';

/** Bounds that operators set. */
interface Bounds {
  /** The time after a disturbance within which a daemon is back in contact with the store. */
  readonly contactMs: number;
  /** The time within which a change of the configuration is in force. */
  readonly configApplyMs: number;
}

/** Bounds by the size of the fleet. */
export const SMALL = { contactMs: 3_000, configApplyMs: 2_000 };
export const MEDIUM = { contactMs: 4_000, configApplyMs: 3_000 };
export const LARGE = { contactMs: 5_000, configApplyMs: 4_000 };
export const LARGEST_FLEET = 340;
/** Fleets by size, with the number of daemons of one zone; in a large fleet the first of these is the relay. */
export const FLEETS = [
  { fleet: 9, daemons: 3, hasRelay: false, ...SMALL },
  { fleet: 66, daemons: 22, hasRelay: true, ...MEDIUM },
  { fleet: 83, daemons: 28, hasRelay: true, ...MEDIUM },
  { fleet: LARGEST_FLEET, daemons: 68, hasRelay: true, ...LARGE },
] as const;

export const CALM_MS = 8_000;
export const PHASES = 4;
export const PHASE_MS = 1_073;

/** The daemons that a disturbance affects: all, all but the relay, or the relay alone. */
export type Affected = 'all' | 'followers' | 'relay';

export interface Disturbance {
  readonly state: LinkState;
  readonly lengthMs: number;
  readonly affected: Affected;
  /** When the operator changes the configuration, relative to the end of the disturbance. */
  readonly changeMs: number;
  readonly phase: number;
}

/** The result of a change around a disturbance. */
export interface Outcome {
  /** The time after both the disturbance and the acknowledgement at which the last daemon had the change in force. */
  readonly slowestMs: number;
  /** The bound for that time. */
  readonly dueMs: number;
  /** Calls of all daemons to the store during the disturbance. */
  readonly calls: number;
}

export type Fleet = Omit<FollowedZoneOptions, 'random'> & Bounds;

/** Plays a change around a disturbance. */
export async function play(
  fleet: Fleet,
  { state, lengthMs, affected, changeMs, phase }: Disturbance,
): Promise<Outcome> {
  const zone = new FollowedZone({ ...fleet, random: seededRandom(phase) });
  await zone.start(37);
  await zone.timers.advanceUntil(CALM_MS + phase * PHASE_MS);
  const parts = {
    all: zone.daemons,
    followers: zone.daemons.slice(1),
    relay: zone.daemons.slice(0, 1),
  };
  const endMs = zone.timers.nowMs() + lengthMs;
  const ackMs = endMs + changeMs;
  const callsBefore = zone.callsTotal;
  zone.setLinks(parts[affected], state);
  await zone.timers.advanceUntil(Math.min(ackMs, endMs));
  if (ackMs >= endMs) zone.setLinks(parts[affected], 'open');
  await zone.timers.advanceUntil(ackMs);
  const version = zone.change();
  await zone.timers.advanceUntil(endMs);
  const calls = zone.callsTotal - callsBefore;
  if (ackMs < endMs) zone.setLinks(parts[affected], 'open');
  const dueMs = Math.max(endMs + fleet.contactMs, ackMs + fleet.configApplyMs);
  await zone.timers.advanceUntil(dueMs + fleet.contactMs);
  zone.stop();
  await zone.timers.advanceUntil(dueMs + 2 * fleet.contactMs);
  const sinceMs = Math.max(endMs, ackMs);
  return {
    slowestMs: zone.slowestMs(zone.daemons, version, sinceMs),
    dueMs: dueMs - sinceMs,
    calls,
  };
}

const SILENCES_MS = [300, 1_500, 4_000, 9_000, 18_000, 24_600, 40_000];
const CHANGES_MS = [-1_000, 0, 700];

/**
 * Plays a change of the configuration around silences of the store for all daemons.
 * @returns a line for each play in which a daemon had the change in force too late
 */
export async function lateChangesAfterSilences(
  fleets: readonly (typeof FLEETS)[number][],
): Promise<readonly string[]> {
  const late: string[] = [];
  for (const { fleet, ...options } of fleets) {
    for (const lengthMs of SILENCES_MS) {
      for (const changeMs of CHANGES_MS) {
        for (let phase = 0; phase < PHASES; phase += 1) {
          const disturbance = {
            state: 'silent',
            lengthMs,
            affected: 'all',
            changeMs,
            phase,
          } as const;
          const { slowestMs, dueMs } = await play(
            { ...options, documentSize: 'small' },
            disturbance,
          );
          const share = slowestMs / dueMs;
          if (share > 1) late.push(`${fleet}: ${share.toFixed(2)} of the time, ${lengthMs} ms`);
        }
      }
    }
  }
  return late;
}
