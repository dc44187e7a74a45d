/** The decisions of a gateway: routes, servers, and the choice of servers for each request. */
export {
  chooseDecodeEngine,
  type EnginePlan,
  type PrefillStep,
  planModelRequest,
} from './choose-engine.js';
export { chooseWebServer, type WebChoiceInput } from './choose-web-server.js';
export {
  type CallerLimits,
  type EngineTraits,
  type GatewayConfiguration,
  isRepeatable,
  type Route,
  type RouteKind,
  type ScalingLimits,
  type Service,
  type Tenant,
  type TrafficShare,
} from './configuration.js';
export { crashCollectors } from './crash-collectors.js';
export {
  CRASH_RECORD_RETENTION_MS,
  type Crash,
  type CrashRecord,
  type CrashRecordChange,
  CrashRecords,
} from './crash-records.js';
export { isPartSubject, partIdOf, partSubject } from './crash-subjects.js';
export { DecodeRecovery, type RecoveryChange } from './decode-recovery.js';
export {
  CONNECT_TIMEOUT_MS,
  type DepartureWay,
  lastSendMs,
  lateDatagramMs,
  longestUnawareMs,
  maxDigestSilenceMs,
  maxStallMs,
  RELAY_INTERVAL_MS,
  SERVERS_BATCH_MS,
  TRANSIT_MS,
} from './departure-timing.js';
export {
  type Departure,
  type DepartureNotice,
  type DepartureSource,
  type DepartureState,
  Departures,
  type NotListed,
  type RowsOrigin,
  type RowsSource,
} from './departures.js';
export {
  cachedPrefixTokens,
  type PromptPart,
  type RequestDescription,
  type StreamResumption,
  sharedPart,
} from './description.js';
export {
  type DigestAudience,
  DigestSchedule,
  type TableDigest,
  type TableProgress,
} from './digest-schedule.js';
export type { EngineChoiceInput } from './engine-choice-input.js';
export { EngineLoad, type ExpectedRead, type PendingRead, type Urgency } from './engine-load.js';
export { EnginePaces, type PaceSums, type ServicePaceSums } from './engine-paces.js';
export { ExpiredRows, type KeptServers, REWRITTEN_MS } from './expired-rows.js';
export {
  explainRequest,
  type LogLine,
  mayExplain,
  type RequestExplanation,
} from './explain-request.js';
export { FleetPaces, type PaceChange } from './fleet-paces.js';
export { FleetSize } from './fleet-size.js';
export { type EraRelation, FollowedRevisions } from './followed-revisions.js';
export { FollowedSpan } from './followed-span.js';
export { ForecastScale } from './forecast-scale.js';
export { type ForwardingChoice, ForwardingPeers } from './forwarding-peers.js';
export { kvTransferMs } from './kv-sources.js';
export { lateAnswerWaitMs } from './late-answers.js';
export {
  LEDGER_SPAN_MS,
  LimitLedger,
  type PermitGrant,
  type PermitRequest,
  type TimedCount,
} from './limit-ledger.js';
export {
  type GrantedPermits,
  LimitPermits,
  PERMIT_VALID_MS,
  type UnusedPermits,
} from './limit-permits.js';
export type { LineSums } from './line-samples.js';
export {
  type HeaderSize,
  MemoryLedger,
  type MemoryReservation,
  type RequestMemory,
  requestHeapBytes,
  requestMemoryLimits,
} from './memory-ledger.js';
export {
  type AdvertisedLimit,
  type AnswerTimes,
  type LimitChange,
  type LimitReading,
  type NamedLimit,
  NamedLimits,
  type ReportedLimit,
} from './named-limits.js';
export { PaceAdvertiser } from './pace-advertiser.js';
export { PeerClocks, type SendStamp } from './peer-clocks.js';
export {
  type EngineWork,
  type LoadReport,
  type LoadSums,
  PeerLoads,
} from './peer-load.js';
export { type OwnDaemon, type PeerDaemon, PeerRoster } from './peer-roster.js';
export {
  type ArrivalInput,
  type ArrivalRefusal,
  MAX_HOLD_SHARE,
  type PlaceInput,
  type Placement,
  placeRequest,
  refusalOnArrival,
} from './place-request.js';
export { placeWebRequest, type WebPlaceInput } from './place-web-request.js';
export {
  type DecodeRecoveryInput,
  planDecodeRecovery,
  planStageChanges,
  requiredEngines,
  type StageChange,
  type StageNeed,
  type StagePlanInput,
} from './plan-stages.js';
export {
  maxStreamLifeMs,
  type OriginView,
  PossibleOrigins,
  routeKeyOf,
  soleOrigin,
  streamLifeMs,
} from './possible-origins.js';
export { preferredEngineOf } from './preferred-engine.js';
export { PrefixCacheIndex, type ReadNotice } from './prefix-cache-index.js';
export { type PromptPriorityInput, promptPriority } from './prompt-priority.js';
export { planAtRank, RankShares } from './rank-shares.js';
export { type ReachabilityNotice, ReachabilityNoticeFilter } from './reachability-notices.js';
export { ReadSpeed } from './read-speed.js';
export { RecentSends } from './recent-sends.js';
export { RecentlyBegunParts } from './recently-begun-parts.js';
export { type Recheck, RecheckSchedule } from './recheck-schedule.js';
export { recordHolders } from './record-holders.js';
export { rankByRendezvous } from './rendezvous.js';
export {
  type RestoredReason,
  type RestoredServer,
  RestoredServers,
  rowExpiryMs,
} from './restored-servers.js';
export {
  decideUnrecorded,
  type OriginSource,
  type PeerView,
  type ResumptionDecision,
  type ResumptionRejection,
} from './resumption.js';
export { RetryBudget, type RetryBudgetCounts, type RetryBudgetOptions } from './retry-budget.js';
export { RouteTable, TrafficSplitter } from './route-table.js';
export { type MeteredSend, type SendEnd, SendMeter, type SendStep } from './send-meter.js';
export { type AnswerOrigin, formatSends, type SendRecord } from './send-records.js';
export {
  type AtLimit,
  type Availability,
  type ReportedAvailability,
  type SendAvailability,
  ServerAvailability,
  type Unavailable,
} from './server-availability.js';
export {
  bootIdOf,
  type DirectoryChange,
  type EngineStage,
  isSameBoot,
  type ServerBoot,
  ServerDirectory,
  type ServerRecord,
  type ServerState,
  type SkippedRow,
  type SkipReason,
} from './server-directory.js';
export { type OpenCall, ServerHealth } from './server-health.js';
export { type ConnectFailure, ServicePaths } from './service-paths.js';
export { shortIdOf } from './short-id.js';
export type { Spread, UnseenWork } from './spread-choice.js';
export {
  addDemands,
  type DemandSums,
  type RequestWork,
  type ServiceDemand,
  StageDemand,
  type WorkSource,
} from './stage-demand.js';
export { type StageNotice, StageNotices, type StagePhase } from './stage-notices.js';
export {
  type DurationEstimate,
  endsBeforeCut,
  type StopAdmissionInput,
  type StopTimes,
  UNKNOWN_DURATION,
} from './stop-admission.js';
export {
  originAt,
  type StreamOrigin,
  type StreamServer,
  serversForStream,
  softwareVersionOf,
} from './stream-origin.js';
export { StreamOriginTable, type StreamRecord } from './stream-origin-table.js';
export { type AdvertisedSums, SumsAdvertiser } from './sums-advertiser.js';
export { type Admission, TenantTable } from './tenants.js';
export { type TrackedCall, UnansweredCalls } from './unanswered-calls.js';
export { ADVERTISE_DELAY_MS, unseenWork } from './unseen-work.js';
export { UrgentSlack } from './urgent-slack.js';
export {
  type LoadFigures,
  type WebServerLoad,
  WebServerLoads,
} from './web-server-load.js';
export {
  isAddress,
  isFieldValue,
  isFinalStatus,
  isHost,
  isName,
  isPathSegment,
  isPort,
  isServerId,
  MAX_NAME_LENGTH,
} from './wire-values.js';
