/** Roles: when an engine should change between prefill, decode and mixed. */
export { stepRolePlanner } from './step-role-planner.js';
export {
  DEFAULT_ROLE_PLANNER_SETTINGS,
  initialRolePlannerState,
  type PlannedRole,
  type RequestedRole,
  type RoleObjective,
  type RolePlanEffect,
  type RolePlannerEvent,
  type RolePlannerSettings,
  type RolePlannerState,
} from './types.js';
