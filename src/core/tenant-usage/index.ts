/** Tenant usage: each daemon counts its own requests; one daemon collects and reports the counts of all. */

export {
  type CollectedCounts,
  type ReportOutcome,
  type UsageAction,
  UsageDuty,
  type UsageDutyInput,
  type UsageRecord,
} from './report-duty.js';
export { splitIntoParts, UsageCollection, type UsagePart } from './run-collection.js';
export { type TenantCounts, UsageCounts, windowAt } from './run-counts.js';
