/** Which pools a daemon stands ready to control, and what their controllers are told. */
import type { DaemonName, PoolName } from '../common/identifiers.js';
import type { MonotonicMs } from '../common/time.js';
import { EMPTY_CONFIGURATION } from '../configuration/document.js';
import { holdsAuthority } from '../lease/index.js';
import { aliveMembers, type Member } from '../membership/index.js';
import { hash32 } from '../peer/index.js';
import { type EngineView, poolOf } from '../registry/backend.js';
import { desiredEngines } from './desired-engines.js';
import type { PoolDutyInputs } from './pool-duty.js';
import { type HeldPool, plannedRoles } from './role-planning.js';
import type { DaemonState } from './state.js';

/** Daemons that stand ready to hold a pool's lease. More would only read the table. */
const CANDIDATES_PER_POOL = 3;

/** The pools of the machine list that this daemon is one of the few to stand ready for. */
export function candidatePoolsOf(state: DaemonState): ReadonlySet<PoolName> {
  const pools = new Set<PoolName>();
  for (const machine of state.machines) {
    if (machine.kind === 'engine') {
      pools.add(poolOf(machine));
    }
  }
  const daemons = aliveMembers(state.membership).map((member) => member.name);
  const { name } = state.identity;
  return new Set([...pools].filter((pool) => isCandidate(name, pool, daemons)));
}

/** What the duty of a pool is told now. */
export function poolInputs(state: DaemonState, pool: PoolName): PoolDutyInputs {
  if (state.stopping || !state.candidatePools.has(pool)) {
    return NOT_A_CANDIDATE;
  }
  const engines = engineViewsOf(state, pool);
  const { document } = state.configuration.inForce ?? EMPTY_CONFIGURATION;
  return {
    candidate: true,
    engines,
    desired:
      state.configuration.inForce === null
        ? []
        : desiredEngines(document, engines, plannedRoles(state.rolePlanning, pool, engines)),
  };
}

/** The views of a pool's engines, in the order of their names. */
function engineViewsOf(state: DaemonState, pool: PoolName): readonly EngineView[] {
  return [...state.digest.views.values()]
    .filter((view) => poolOf(view.machine) === pool)
    .sort((one, other) => (one.machine.name < other.machine.name ? -1 : 1));
}

/** The few daemons that stand ready for a pool. */
export function candidatesOf(state: DaemonState, pool: PoolName): readonly Member[] {
  const members = aliveMembers(state.membership);
  const names = members.map((member) => member.name);
  return members.filter((member) => isCandidate(member.name, pool, names));
}

/** The pools whose lease this daemon holds now, with their engines. */
export function heldPools(state: DaemonState, now: MonotonicMs): readonly HeldPool[] {
  return [...state.duties.values()]
    .filter((duty) => holdsAuthority(duty.lease, now))
    .map(({ pool }) => ({ pool, engines: engineViewsOf(state, pool) }));
}

/** Whether a daemon is among the few that would hold a pool's lease (rendezvous hashing). */
function isCandidate(daemon: DaemonName, pool: PoolName, daemons: readonly DaemonName[]): boolean {
  const own = hash32(`${pool} ${daemon}`);
  let ahead = 0;
  for (const other of daemons) {
    const hash = hash32(`${pool} ${other}`);
    ahead += hash > own || (hash === own && other < daemon) ? 1 : 0;
  }
  return ahead < CANDIDATES_PER_POOL;
}

const NOT_A_CANDIDATE: PoolDutyInputs = { candidate: false, engines: [], desired: [] };
