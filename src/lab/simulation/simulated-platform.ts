/** The platform as a node of the simulation. */
import type { ObjectCall, ObjectResult } from '../../core/platform/object.js';
import type { TableCall, TableResult } from '../../core/platform/table.js';
import type { Machine } from '../../core/registry/backend.js';
import { type Admission, PlatformModel, type PlatformOptions } from '../platform/index.js';
import type { CallResult, NodeName, SimulatedNetwork } from './simulated-network.js';
import type { VirtualClock } from './virtual-clock.js';

/** The platform's node name. */
export const PLATFORM_NODE: NodeName = 'platform';

/** The result of a platform call: its answer, a refusal, or a loss of the call or the answer. */
type Served<Answer> =
  | { readonly kind: 'answer'; readonly value: Answer }
  | { readonly kind: 'refused'; readonly retryAfterMs: number }
  | { readonly kind: 'lost' };

/** Serves platform calls over the simulated network. */
export class SimulatedPlatform {
  readonly model: PlatformModel;
  readonly #objects = new Map<string, unknown>();

  constructor(
    options: PlatformOptions,
    private readonly clock: VirtualClock,
    private readonly network: SimulatedNetwork,
  ) {
    this.model = new PlatformModel(options);
  }

  /** Makes a table call from a node. */
  table(from: NodeName, call: TableCall, done: (result: TableResult) => void): void {
    const writes = call.kind === 'transact';
    this.#call(
      from,
      'table',
      writes,
      () => this.model.applyTable(call),
      (served) => done(tableResult(served)),
    );
  }

  /** Makes an object store call from a node. */
  object(from: NodeName, call: ObjectCall, done: (result: ObjectResult) => void): void {
    const writes = call.kind === 'put';
    this.#call(
      from,
      'objects',
      writes,
      () => this.#applyObject(call),
      (served) => done(objectResult(served)),
    );
  }

  /** Reads the machine list from a node; null when it could not be read. */
  machines(from: NodeName, done: (machines: readonly Machine[] | null) => void): void {
    const read = (): readonly Machine[] => this.model.machines.read(this.clock.now).machines;
    this.#call(from, 'machines', false, read, (served) =>
      done(served.kind === 'answer' ? served.value : null),
    );
  }

  #applyObject(call: ObjectCall): ObjectResult {
    if (call.kind === 'get') {
      const content = this.#objects.get(call.name);
      return content === undefined ? { kind: 'absent' } : { kind: 'content', content };
    }
    const known = this.#objects.get(call.name);
    if (known !== undefined && JSON.stringify(known) !== JSON.stringify(call.content)) {
      return { kind: 'exists-differently' };
    }
    this.#objects.set(call.name, call.content);
    return { kind: 'stored' };
  }

  #call<Answer>(
    from: NodeName,
    service: 'table' | 'objects' | 'machines',
    writes: boolean,
    apply: () => Answer,
    done: (served: Served<Answer>) => void,
  ): void {
    const serve = (answer: (served: Served<Answer>) => void): boolean => {
      const admission = this.model.admit(service, writes, this.clock.now);
      if (admission.kind === 'refused') {
        answer({ kind: 'refused', retryAfterMs: admission.retryAfterMs });
      } else {
        this.#carryOut(admission, apply, answer);
      }
      return true;
    };
    this.network.call<Served<Answer>>(from, PLATFORM_NODE, serve, (result) =>
      done(servedOf(result)),
    );
  }

  #carryOut<Answer>(
    admission: Extract<Admission, { kind: 'admitted' }>,
    apply: () => Answer,
    answer: (served: Served<Answer>) => void,
  ): void {
    this.clock.scheduleAt(this.clock.now + admission.delayMs, () => {
      if (admission.lost === 'call') {
        answer({ kind: 'lost' });
        return;
      }
      const value = apply();
      const served: Served<Answer> =
        admission.lost === 'answer' ? { kind: 'lost' } : { kind: 'answer', value };
      this.clock.scheduleAt(this.clock.now + admission.answerDelayMs, () => answer(served));
    });
  }
}

const UNREACHABLE_RETRY_AFTER_MS = 1_000;

function servedOf<Answer>(result: CallResult<Served<Answer>>): Served<Answer> {
  switch (result.kind) {
    case 'answered':
      return result.answer;
    case 'not-sent':
      return { kind: 'refused', retryAfterMs: UNREACHABLE_RETRY_AFTER_MS };
    case 'lost':
      return { kind: 'lost' };
  }
}

function tableResult(served: Served<TableResult>): TableResult {
  switch (served.kind) {
    case 'answer':
      return served.value;
    case 'refused':
      return { kind: 'unavailable', reason: 'refused', retryAfterMs: served.retryAfterMs };
    case 'lost':
      return { kind: 'lost', reason: 'lost' };
  }
}

function objectResult(served: Served<ObjectResult>): ObjectResult {
  switch (served.kind) {
    case 'answer':
      return served.value;
    case 'refused':
      return { kind: 'unavailable', reason: 'refused', retryAfterMs: served.retryAfterMs };
    case 'lost':
      return { kind: 'lost', reason: 'lost' };
  }
}
