/** The table and object store of the emulated platform, in virtual time. */
import type { Milliseconds } from '../../core/common/time.js';
import type { ObjectCall, ObjectResult } from '../../core/platform/object.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import type { PlatformModel } from '../platform/index.js';
import type { VirtualTime } from './virtual-time.js';

/** A call without an answer for this long counts as lost. */
const CALL_TIMEOUT_MS = 2_000;
const TRIP_MS: Milliseconds = 2;

/** Answers store calls. */
export class SimulatedStore {
  constructor(
    private readonly time: VirtualTime,
    readonly platform: PlatformModel,
  ) {}

  /** Carries out a table call. */
  callTable(call: TableCall, answer: (result: TableResult) => void): void {
    const admission = this.platform.admit('table', call.kind === 'transact', this.time.now);
    if (admission.kind === 'refused') {
      const { status, retryAfterMs } = admission;
      this.runAfter(TRIP_MS, () =>
        answer({ kind: 'unavailable', reason: `status ${status}`, retryAfterMs }),
      );
      return;
    }
    if (admission.lost === 'call') {
      this.runAfter(CALL_TIMEOUT_MS, () => answer({ kind: 'lost', reason: 'no answer' }));
      return;
    }
    this.runAfter(TRIP_MS + admission.delayMs, () => {
      const result = this.platform.applyTable(call);
      if (admission.lost === 'answer') {
        this.runAfter(CALL_TIMEOUT_MS, () => answer({ kind: 'lost', reason: 'no answer' }));
      } else {
        this.runAfter(TRIP_MS + admission.answerDelayMs, () => answer(result));
      }
    });
  }

  /** Carries out an object call. */
  callObject(call: ObjectCall, answer: (result: ObjectResult) => void): void {
    const admission = this.platform.admit('objects', call.kind === 'put', this.time.now);
    if (admission.kind === 'refused') {
      const { status, retryAfterMs } = admission;
      this.runAfter(TRIP_MS, () =>
        answer({ kind: 'unavailable', reason: `status ${status}`, retryAfterMs }),
      );
      return;
    }
    this.runAfter(TRIP_MS + admission.delayMs, () => {
      const result = this.applyObject(call);
      this.runAfter(TRIP_MS + admission.answerDelayMs, () => answer(result));
    });
  }

  private applyObject(call: ObjectCall): ObjectResult {
    const { objects } = this.platform;
    if (call.kind === 'put') {
      const outcome = objects.put(call.name, Buffer.from(JSON.stringify(call.content)));
      return { kind: outcome === 'exists' ? 'exists-differently' : 'stored' };
    }
    const content = objects.get(call.name);
    return content === null
      ? { kind: 'absent' }
      : { kind: 'content', content: JSON.parse(Buffer.from(content).toString()) };
  }

  private runAfter(delayMs: Milliseconds, run: () => void): void {
    this.time.schedule(delayMs, run);
  }
}
