/** Fleets of processes: their definitions, their runner, and shifts over them. */
export { type Fleet, loadFleet, loadWorkload } from './definition.js';
export { addressesText, progressLine, reportText } from './report-text.js';
export { RunningFleet } from './running-fleet.js';
export { runShift, type ShiftReport, violations } from './shift.js';
