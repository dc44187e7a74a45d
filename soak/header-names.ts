/** Header names as the simulated services read and write them: in lower case, as node:http reports them. */
import { HEADERS, SENT_HEADERS } from '../platform/names.js';

/** The path at which servers tell whether they accept work. */
export const HEALTH_PATH = '/health';

export const WIRE = {
  attemptId: HEADERS.attemptId,
  apiKey: HEADERS.apiKey,
  tokenCount: HEADERS.tokenCount,
  stamp: HEADERS.responseStamp,
  notExecuted: HEADERS.notExecuted,
  load: HEADERS.serverLoad,
  leaving: HEADERS.serverLeaving,
  limit: HEADERS.serverLimit,
  instanceId: HEADERS.instanceId,
  expectInstance: SENT_HEADERS.expectInstance.toLowerCase(),
  stage: SENT_HEADERS.stage.toLowerCase(),
  kvSource: SENT_HEADERS.kvSource.toLowerCase(),
  tenant: SENT_HEADERS.tenant.toLowerCase(),
  resumes: HEADERS.resumes,
  lastEventId: SENT_HEADERS.lastEventId.toLowerCase(),
} as const;
