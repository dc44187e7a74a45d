/**
 * Mutations of the gateway's source, each of which removes one protection by replacing one text of one source file.
 * A run with a mutation shows that the soak detects the fault that the protection prevents.
 */
import type { PromiseName } from './oracle.js';

/** A replacement of one text. */
export interface SourceEdit {
  /** Path relative to the root of the repository. */
  readonly file: string;
  readonly text: string;
  readonly replacement: string;
}

/** A replacement that removes a protection, and the promise that is broken without it. */
export interface Mutation extends SourceEdit {
  readonly name: string;
  readonly promise: PromiseName;
  /** Further edits, where several protections prevent the same fault. */
  readonly also?: readonly SourceEdit[];
}

/** Without these, an exception that nobody handles ends the process. */
const WITHOUT_LAST_NET: readonly SourceEdit[] = [
  {
    file: 'src/daemon/gateway-main.ts',
    text: "process.on('unhandledRejection', keepRunning('promise'));",
    replacement: '',
  },
  {
    file: 'src/daemon/gateway-main.ts',
    text: "process.on('uncaughtException', keepRunning('event handler'));",
    replacement: '',
  },
  {
    file: 'src/shell/gateway/internal-faults.ts',
    text: 'loop().catch((exception: unknown) => {',
    replacement: 'loop().then(undefined, (exception: unknown) => {\n      throw exception;',
  },
  {
    file: 'src/shell/gateway/backend-connections.ts',
    text: 'return error instanceof Error ? error : new Error(String(error));',
    replacement: 'throw error;',
  },
];

export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'budget',
    promise: 'BUDGET',
    file: 'src/core/gateway/retry-budget.ts',
    text: 'if (this.#level < 1) {',
    replacement: 'if (this.#level < -1e9) {',
  },
  {
    name: 'births',
    promise: 'BUDGET',
    file: 'src/core/gateway/retry-budget.ts',
    text: '#level = 0;',
    replacement: '#level = 8;',
  },
  {
    name: 'quarantine',
    promise: 'CRASHES',
    file: 'src/shell/gateway/crash-guard.ts',
    text: 'if (records.quarantined === 0) return undefined;',
    replacement: 'if (records.quarantined >= 0) return undefined;',
  },
  {
    name: 'part-quarantine',
    promise: 'CRASHES',
    file: 'src/core/gateway/crash-evidence.ts',
    text: 'const CRASHES_TO_QUARANTINE_PART = 3;',
    replacement: 'const CRASHES_TO_QUARANTINE_PART = 3_000;',
  },
  {
    name: 'run-once',
    promise: 'TWICE',
    file: 'src/shell/gateway/web-exchange.ts',
    text: 'if (!isFirst && exchange.mayHaveRun && !this.#isRepeatable) return false;',
    replacement: 'if (!isFirst && exchange.runs > 3) return false;',
  },
  {
    name: 'true-refusals',
    promise: 'REFUSED',
    file: 'src/shell/gateway/exchange.ts',
    text: 'if (this.mayHaveRun) {\n      this.fail(502, reason, details);',
    replacement: 'if (this.runs > 99) {\n      this.fail(502, reason, details);',
  },
  {
    name: 'visible-breaks',
    promise: 'MIXED',
    file: 'src/shell/gateway/backend-answer.ts',
    text: 'body.clear();\n          callMemory.release();\n          resolve(undefined);',
    replacement: 'resolve(body.join());',
  },
  {
    name: 'whole-streams',
    promise: 'ORDER',
    file: 'src/shell/gateway/stream-relay.ts',
    text: "if (!isChecking) settle('broken');",
    replacement: "if (!isChecking) settle('complete');",
  },
  {
    name: 'one-version',
    promise: 'ORDER',
    file: 'src/core/gateway/stream-origin.ts',
    text: 'if (origin === undefined) return servers;',
    replacement: 'if (origin === undefined || servers.length > 0) return servers;',
  },
  {
    name: 'stream-records',
    promise: 'LOST',
    file: 'src/shell/gateway/stream-recorder.ts',
    text: 'if (holders.length === 0) return undefined;',
    replacement: 'if (holders.length >= 0) return undefined;',
  },
  {
    name: 'unknown-versions',
    promise: 'ORDER',
    file: 'src/core/gateway/resumption.ts',
    text: 'const origin = ownView.origins.length === 1 ? ownView.origins[0] : undefined;',
    replacement:
      'const origin = ownView.origins[0]; if (origin) return { kind: "continue", origin, source: "only version", ageMs: undefined };',
  },
  {
    name: 'leaving-servers',
    promise: 'DRAIN',
    file: 'src/core/gateway/server-directory.ts',
    text: "record.state === 'ready'",
    replacement: 'record.state !== undefined',
  },
  {
    name: 'kept-rows',
    promise: 'DRAIN',
    file: 'src/core/gateway/expired-rows.ts',
    text: 'this.#untilMs = nowMs + REWRITTEN_MS;',
    replacement: 'this.#untilMs = nowMs + 1e9;',
  },
  {
    name: 'resumption-end',
    promise: 'DRAIN',
    file: 'src/core/gateway/departures.ts',
    text: 'const RESUME_SHARE_OF_DRAIN = 0.5;',
    replacement: 'const RESUME_SHARE_OF_DRAIN = 2;',
  },
  {
    name: 'unconfirmed-rows',
    promise: 'DRAIN',
    file: 'src/core/gateway/departures.ts',
    text: "if (departure?.state === 'unconfirmed') return true;",
    replacement: "if (departure?.state === 'unconfirmed') return false;",
  },
  {
    name: 'reset-given-up',
    promise: 'GONE',
    file: 'src/shell/gateway/backend-connections.ts',
    text: 'if (socket !== null && !socket.destroyed) resetSocket(socket);',
    replacement: '',
  },
  {
    name: 'stall-recovery',
    promise: 'DRAIN',
    file: 'src/shell/gateway/server-calls.ts',
    text: 'if (recovery !== undefined) await recovery;',
    replacement: '',
  },
  {
    name: 'list-batch',
    promise: 'DRAIN',
    file: 'src/core/gateway/departure-timing.ts',
    text: 'export const SERVERS_BATCH_MS = 200;',
    replacement: 'export const SERVERS_BATCH_MS = 3_600;',
  },
  {
    name: 'leaving-answers',
    promise: 'DRAIN',
    file: 'src/core/gateway/server-availability.ts',
    text: 'if (isLeaving) {',
    replacement: 'if (isLeaving && nowMs < 0) {',
  },
  {
    name: 'asked-rests',
    promise: 'BUDGET',
    file: 'src/core/gateway/server-availability.ts',
    text: 'if (requestedMs > 0) {',
    replacement: 'if (requestedMs > 1e9) {',
  },
  {
    name: 'server-limits',
    promise: 'LIMIT',
    file: 'src/shell/gateway/fleet-view.ts',
    text: "if (availability.kind !== 'open' || limit === undefined) return availability;",
    replacement: "if (availability.kind !== 'open' || nowMs > 0) return availability;",
  },
  {
    name: 'newer-configuration',
    promise: 'CONFIG',
    file: 'src/shell/gateway/fleet-view.ts',
    text: "if (currentVersion === configuration.version) return 'same';",
    replacement: "if (currentVersion !== undefined) return 'same';",
  },
  {
    name: 'rechecks',
    promise: 'CONFIG',
    file: 'src/shell/gateway/watch-timing.ts',
    text: 'const HISTORY_RECHECK_SHARE_OF_CONTACT = 4.5;',
    replacement: 'const HISTORY_RECHECK_SHARE_OF_CONTACT = 0.5;',
  },
  {
    name: 'eras',
    promise: 'CONFIG',
    file: 'platform/store-client.ts',
    text: 'Number(header) : FIRST_ERA;',
    replacement: 'FIRST_ERA : FIRST_ERA;',
  },
  {
    name: 'words-outlast-copies',
    promise: 'DRAIN',
    file: 'src/core/gateway/restored-servers.ts',
    text: "return known.state === 'draining' && isSameBoot(known, record) ? 'leaves' : undefined;",
    replacement: 'return undefined;',
  },
  {
    name: 'fences-of-eras',
    promise: 'DUTY',
    file: 'src/core/platform/era-fence.ts',
    text: 'const FENCES_PER_ERA = 1_000_000;',
    replacement: 'const FENCES_PER_ERA = 0;',
  },
  {
    name: 'secret-keys',
    promise: 'UNASKED',
    file: 'platform/names.ts',
    text: "  'api-key',\n]);",
    replacement: ']);',
  },
  {
    name: 'callers-gone',
    promise: 'GONE',
    file: 'src/shell/gateway/exchange.ts',
    text: "if (!response.writableFinished) this.#interrupt('caller-gone');",
    replacement: '',
  },
  {
    name: 'graceful-stop',
    promise: 'LOST',
    file: 'src/shell/gateway/gateway.ts',
    text: 'await stop.waitForRequests();',
    replacement: 'this.abort();',
  },
  {
    name: 'fences',
    promise: 'ONE',
    file: 'platform/request-codec.ts',
    text: 'fence: order.fence,',
    replacement: 'fence: 7,',
  },
  {
    name: 'one-set-of-counts',
    promise: 'DUTY',
    file: 'platform/duty-client.ts',
    text: 'call(PATHS.usage, { window, counts }, authority, signal)',
    replacement: 'call(PATHS.usage, { window, counts, sent: Date.now() }, authority, signal)',
  },
  {
    name: 'usable-entries',
    promise: 'FAULT',
    file: 'src/shell/gateway/fleet-follower.ts',
    text: 'rows.map(usableRow)',
    replacement: 'rows',
    also: WITHOUT_LAST_NET,
  },
  {
    name: 'final-statuses',
    promise: 'MIXED',
    file: 'src/shell/gateway/answer-flaw.ts',
    text: 'if (!isFinalStatus(statusCode)) return',
    replacement: 'if (!isFinalStatus(statusCode) && statusCode < 0) return',
  },
  {
    name: 'early-signals',
    promise: 'FAULT',
    file: 'scripts/gateway-loader.cjs',
    text: 'if (isProgram) for (const signal of SIGNALS) process.on(signal, holdSignal);',
    replacement: '',
  },
  {
    name: 'second-stop-signal',
    promise: 'LOST',
    file: 'src/daemon/gateway-process.ts',
    text: "      case 'stopping':\n        return;\n    }\n  }\n\n  #fail(",
    replacement: "      case 'stopping':\n        this.#end('stopped');\n    }\n  }\n\n  #fail(",
  },
  {
    name: 'certain-ends',
    promise: 'LOST',
    file: 'src/core/gateway/stop-admission.ts',
    text: 'if (nowMs >= stop.listenerClosesAtMs || ',
    replacement: 'if (',
  },
  {
    name: 'estimates-in-a-stop',
    promise: 'LOST',
    file: 'src/core/gateway/stop-admission.ts',
    text: 'return nowMs + estimate.longMs <= stop.cutAtMs;',
    replacement: 'return true;',
  },
  {
    name: 'taken-in-a-stop',
    promise: 'RECOVER',
    file: 'src/shell/gateway/stop-check.ts',
    text: 'return isInTime ? undefined : estimated;',
    replacement: 'return isInTime && nowMs < 0 ? undefined : estimated;',
  },
  {
    name: 'checks-before-sends',
    promise: 'LOST',
    file: 'src/shell/gateway/model-exchange.ts',
    text: "if (refuseIfCutByStop(exchange, () => this.#planner.durationBy(plan))) return 'done';",
    replacement: '',
    also: [
      {
        file: 'src/shell/gateway/model-exchange.ts',
        text: 'if (refuseIfCutByStop(this.#exchange, this.#durationAfterPrefill)) {',
        replacement: 'if (this.#exchange.options.timers.nowMs() < 0) {',
      },
    ],
  },
  {
    name: 'permits-in-a-stop',
    promise: 'LOST',
    file: 'src/shell/gateway/permit-waiters.ts',
    text: 'if (waiter.isCutByStop()) waiter.end(false);',
    replacement: '',
  },
  {
    name: 'quiet-connections',
    promise: 'LOST',
    file: 'src/shell/gateway/gateway-stop.ts',
    text: 'const isQuiet = nowMs - quietSinceMs >= QUIET_MS ||',
    replacement: 'const isQuiet = nowMs >= quietSinceMs ||',
  },
  {
    name: 'open-connections',
    promise: 'LOST',
    file: 'src/shell/gateway/gateway-stop.ts',
    text: 'NetServer.prototype.close.call(callers.server);',
    replacement: 'NetServer.prototype.ref.call(callers.server.close());',
  },
  {
    name: 'answers-at-the-end',
    promise: 'LOST',
    file: 'src/shell/gateway/gateway-stop.ts',
    text: '    callers.endRunning();\n',
    replacement: '',
    also: [
      {
        file: 'src/shell/gateway/gateway-stop.ts',
        text: '    callers.answerLeft();\n',
        replacement: '',
      },
    ],
  },
  {
    name: 'delivery',
    promise: 'LOST',
    file: 'src/shell/gateway/gateway-stop.ts',
    text: 'await this.#waitForDelivery(Math.max(timers.nowMs() + DELIVERY_POLL_MS, this.#deliveredByMs));',
    replacement: '',
  },
  {
    name: 'signal-age',
    promise: 'LOST',
    file: 'src/shell/gateway/gateway.ts',
    text: 'signalAgeMs: this.#stalls.lateMs(),',
    replacement: 'signalAgeMs: 0,',
  },
  {
    name: 'settings-wait',
    promise: 'FAULT',
    file: 'src/daemon/gateway-process.ts',
    text: '(problem) => this.#awaitSettings(problem),',
    replacement: '() => process.exit(2),',
  },
  {
    name: 'port-retry',
    promise: 'FAULT',
    file: 'src/shell/gateway/port-opener.ts',
    text: 'return first.isOk() ? first.value : this.#wait(listener, attempt, first.error);',
    replacement: 'if (first.isOk()) return first.value;\n    throw first.error;',
  },
  {
    name: 'port-retry-beside',
    promise: 'FAULT',
    file: 'src/shell/gateway/port-opener.ts',
    text: 'const opened = this.#wait(listener, attempt, first.error).then((port) => {',
    replacement:
      'if (first.isErr()) return undefined;\n    const opened = Promise.resolve().then((port) => {',
  },
  {
    name: 'ready-without-callers',
    promise: 'FAULT',
    file: 'src/shell/gateway/gateway.ts',
    text: 'const isServing = this.#callers.server.listening && !this.#isStopping;',
    replacement: 'const isServing = !this.#isStopping;',
  },
  {
    name: 'digest-transit',
    promise: 'DRAIN',
    file: 'src/shell/gateway/relay-digest.ts',
    text: 'const freshUntilMs = sentAfterMs + freshForMs;',
    replacement: 'const freshUntilMs = this.#timers.nowMs() + freshForMs;',
  },
  {
    name: 'forwarding',
    promise: 'RECOVER',
    file: 'src/shell/gateway/request-forwarder.ts',
    text: 'return mayGo && this.#options.paths.isLost(service);',
    replacement: 'return mayGo && Number.isNaN(service.length);',
  },
  {
    name: 'collected-blocks',
    promise: 'FAULT',
    file: 'src/shell/bytes/byte-collector.ts',
    text: 'if (chunk.length >= MIN_KEPT_CHUNK_BYTES) this.#keep(chunk);',
    replacement: 'if (chunk.length >= 0) this.#keep(chunk);',
  },
  {
    name: 'body-memory',
    promise: 'FAULT',
    file: 'src/core/gateway/memory-ledger.ts',
    text: 'if (this.#bufferBytes + bytes > this.#limits.bufferBytes) return false;',
    replacement: '',
  },
  {
    name: 'head-memory',
    promise: 'FAULT',
    file: 'src/shell/gateway/head-monitor.ts',
    text: 'const HEAP_BYTES_PER_BYTE = 16;',
    replacement: 'const HEAP_BYTES_PER_BYTE = 0;',
  },
  {
    name: 'header-memory',
    promise: 'FAULT',
    file: 'src/core/gateway/memory-ledger.ts',
    text: 'const HEAP_BYTES_PER_HEADER = 256;',
    replacement: 'const HEAP_BYTES_PER_HEADER = 0;',
  },
  {
    name: 'pipelined-reads',
    promise: 'FAULT',
    file: 'src/shell/gateway/connection-backpressure.ts',
    text: 'const MAX_PENDING_ANSWERS = 8;',
    replacement: 'const MAX_PENDING_ANSWERS = 1e9;',
    also: [
      {
        file: 'src/shell/gateway/parser-feed.ts',
        text: 'if (waitsForTurn || !mayRead() || socket.isPaused()) {',
        replacement: 'if (waitsForTurn) {',
      },
    ],
  },
];
