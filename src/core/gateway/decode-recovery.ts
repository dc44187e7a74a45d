/**
 * Finds which engines have to switch to the decode stage at once, because a service has lost the last decode engine that
 * could be reached, or one of its software versions has: streams go on only at the version that they began at. The
 * engines of a version matter for as long as its streams may be under way.
 */
import { planDecodeRecovery, type StageChange, type StagePlanInput } from './plan-stages.js';
import type { ServerRecord } from './server-directory.js';
import { softwareVersionOf, softwareVersionsOf } from './stream-origin.js';

/** Recovery starts after no decode engine was reachable for this long: longer than a lost packet. */
const RECOVERY_DELAY_MS = 400;

/** The engines of one service. */
export interface ServiceEngines extends Pick<StagePlanInput, 'engines' | 'busyOf'> {
  readonly service: string;
  /** How long a stream of the service may be taken up after its first event; 0 if its streams are not resumable. */
  readonly streamLifeMs: number;
  isReachable(engineId: string): boolean;
}

/** A change that recovers the decode stage. */
export interface RecoveryChange extends StageChange {
  /** How long no decode engine has been reachable. */
  readonly lostForMs: number;
  /** Whether that is long enough to act on it. */
  readonly isDue: boolean;
}

/** Engines of which one at least has to decode. */
interface EngineGroup {
  readonly key: string;
  readonly engines: readonly ServerRecord[];
  /** A group without decode engines for longer than this is left as it is. */
  readonly maxLostMs: number;
}

/** Watches the decode engines of all services. */
export class DecodeRecovery {
  /** When a decode engine of a group was last reachable. */
  readonly #decodedAtMs = new Map<string, number>();
  /** Since when a group has been known to have no reachable decode engine. */
  readonly #lostSinceMs = new Map<string, number>();

  /** The changes of prefill engines to decode that are due now or soon. */
  changesFor(services: readonly ServiceEngines[], nowMs: number): readonly RecoveryChange[] {
    const changes = new Map<string, RecoveryChange>();
    for (const service of services) {
      for (const group of groupsOf(service)) {
        for (const change of this.#changesOf(group, service, nowMs)) {
          if (!changes.has(change.engine.id)) changes.set(change.engine.id, change);
        }
      }
    }
    return [...changes.values()];
  }

  #changesOf(
    { key, engines, maxLostMs }: EngineGroup,
    { busyOf, isReachable }: ServiceEngines,
    nowMs: number,
  ): readonly RecoveryChange[] {
    const isDecoding = engines.some(({ id, stage }) => stage === 'decode' && isReachable(id));
    if (isDecoding) this.#decodedAtMs.set(key, nowMs);
    // At the start of a fleet the prefill engines may be listed first: without a decode engine nothing is lost yet.
    const decodedAtMs = this.#decodedAtMs.get(key);
    if (decodedAtMs === undefined) return [];
    const changes = planDecodeRecovery({ engines, busyOf, isReachable });
    if (changes.length === 0) {
      this.#lostSinceMs.delete(key);
      return [];
    }
    const lostSinceMs = this.#lostSinceMs.get(key) ?? nowMs;
    this.#lostSinceMs.set(key, lostSinceMs);
    const lostForMs = nowMs - lostSinceMs;
    if (nowMs - decodedAtMs > maxLostMs) return [];
    const isDue = lostForMs >= RECOVERY_DELAY_MS;
    return changes.map((change) => ({ ...change, lostForMs, isDue }));
  }
}

/** The service as a whole and, while several software versions serve, each of them. */
function groupsOf({ service, engines, streamLifeMs }: ServiceEngines): readonly EngineGroup[] {
  const whole = { key: service, engines, maxLostMs: Number.POSITIVE_INFINITY };
  const versions = softwareVersionsOf(engines);
  const byVersion = [...versions].map((version) => ({
    key: `${service} ${version}`,
    engines: engines.filter((engine) => softwareVersionOf(engine) === version),
    maxLostMs: streamLifeMs,
  }));
  return [whole, ...byVersion];
}
