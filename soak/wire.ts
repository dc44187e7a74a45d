/** The platform's names that the soak's stand-ins speak beside those of `platform/names.ts`. */
export const WIRE = {
  attemptId: 'x-attempt-id',
  expectInstance: 'x-expect-instance',
  stage: 'x-stage',
  kvSource: 'x-kv-source',
  tenant: 'x-tenant',
  apiKey: 'api-key',
  lastEventId: 'last-event-id',
  stamp: 'X-Response-Stamp',
  notExecuted: 'X-Not-Executed',
} as const;
