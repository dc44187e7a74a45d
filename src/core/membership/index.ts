/**
 * Which daemons there are: a SWIM-style failure detector (Das, Gupta and Motivala 2002) with parts
 * of Lifeguard (Dadgar, Phillips and Currey 2018), split by zone in a large fleet.
 */
export { isPresent, type Member } from './member.js';
export {
  aliveMembers,
  dutyCandidates,
  endpointOf,
  hasIncarnationEnded,
  isSingleProbeGroup,
  knowsIncarnation,
  mayLackDaemons,
  unreachableZones,
  type WatcherCandidate,
  watcherOf,
} from './queries.js';
export {
  createMembership,
  type MembershipEffect,
  type MembershipIdentity,
  type MembershipState,
} from './state.js';
export { type MembershipEvent, stepMembership } from './step.js';
