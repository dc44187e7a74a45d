/** Policies that decide engine roles in an experiment: the production planner or a reference policy. */
import type { BackendName } from '../../core/common/identifiers.js';
import type { Milliseconds } from '../../core/common/time.js';
import type { EngineReport, EngineRole } from '../../core/registry/backend.js';
import type { AcceleratorName } from '../engine/index.js';

/** An engine as policies see it. */
export interface PolicyEngine {
  readonly name: BackendName;
  readonly accelerator: AcceleratorName;
}

/** Roles by engine. */
export type Roles = ReadonlyMap<BackendName, EngineRole>;

/** What a policy knows when it decides. */
export interface PolicyObservation {
  /** The time since requests began to be sent. */
  readonly atMs: Milliseconds;
  /** Reports of the engines that are up. */
  readonly reports: readonly EngineReport[];
  /** Tokens of the requests sent since the last decision. */
  readonly arrivedPromptTokens: number;
  readonly arrivedOutputTokens: number;
}

/** Decides engine roles. Policies other than the planner set every engine's role by operator commands. */
export interface RolePolicy {
  readonly name: string;
  /** The initial roles; null leaves all roles to the production planner. */
  initialRoles(engines: readonly PolicyEngine[]): Roles | null;
  /** The roles from now on; absent for a policy that never changes roles. */
  decide?(engines: readonly PolicyEngine[], observation: PolicyObservation): Roles;
}

/** How many engines are in roles `prefill` and `decode`; the others are `mixed`. */
export interface Split {
  readonly prefill: number;
  readonly decode: number;
}

/** The name of a split in the format of `--policies`. */
export function splitName({ prefill, decode }: Split): string {
  return `fixed:${prefill}p${decode}d`;
}

/**
 * Assigns roles by a split. Newer accelerators gain most in prefill and are assigned `prefill` first;
 * older ones are assigned `decode` first.
 */
export function splitRoles(engines: readonly PolicyEngine[], { prefill, decode }: Split): Roles {
  const newestFirst = [
    ...engines.filter(({ accelerator }) => accelerator === 'new'),
    ...engines.filter(({ accelerator }) => accelerator === 'old'),
  ];
  const firstDecode = newestFirst.length - decode;
  return new Map(
    newestFirst.map(({ name }, index) => {
      if (index < prefill) return [name, 'prefill'];
      return [name, index >= firstDecode ? 'decode' : 'mixed'];
    }),
  );
}

/** The production planner, without initial roles. */
export const PLANNER: RolePolicy = { name: 'planner', initialRoles: () => null };

/** A split that never changes. */
export function fixedSplit(split: Split, name = splitName(split)): RolePolicy {
  return { name, initialRoles: (engines) => splitRoles(engines, split) };
}
