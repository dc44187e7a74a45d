/** Usage of tenants: counted by each daemon, collected and reported by one. */

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
