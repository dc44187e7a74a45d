/**
 * The HTTP shell of one simulated daemon: performs the core's request effects on the simulated network,
 * checks each token's attempt and offset as the production shell does, and reports attempt events.
 */

import { EMPTY_HASH, type Hash64 } from '../../core/common/hash.js';
import type { AttemptId, RequestId } from '../../core/common/identifiers.js';
import type { AttemptEvent, RequestEffect } from '../../core/requests/index.js';
import {
  describePrompt,
  type EngineOutput,
  type OutputSource,
  outputDigest,
  type PromptDescription,
  tokenAt,
} from '../engine/index.js';
import type { CallerOutcome, IssuedRequest } from './observer.js';
import type { SimulatedEngine } from './simulated-engine.js';
import type { NodeName, SimulatedNetwork } from './simulated-network.js';
import type { VirtualClock } from './virtual-clock.js';

/** A stream without any event for this long counts as broken. */
const STALL_TIMEOUT_MS = 30_000;
const HTTP_OK = 200;

/** A caller's open request, with the callbacks to its connection. */
export interface PendingRequest {
  readonly issued: IssuedRequest;
  /** Delivers a token to the caller. */
  deliver(token: string): void;
  /** Gives the caller its final answer. */
  end(outcome: HttpOutcome): void;
  /** The daemon died: the caller's connection is reset. */
  reset(): void;
}

/** The outcome that the shell gives a caller; tokens have been delivered separately before. */
export type HttpOutcome =
  | { readonly kind: 'answered' }
  | Extract<CallerOutcome, { kind: 'replayed' }>
  | {
      readonly kind: 'failed';
      readonly fault: Extract<CallerOutcome, { kind: 'failed' }>['fault'];
    };

/** What the shell uses of the daemon and the fleet. */
export interface SimulatedHttpOptions {
  readonly node: NodeName;
  readonly clock: VirtualClock;
  readonly network: SimulatedNetwork;
  engine(name: string): SimulatedEngine | undefined;
  emit(event: {
    readonly kind: 'attempt';
    readonly request: RequestId;
    readonly event: AttemptEvent;
  }): void;
}

interface OpenRequest extends PendingRequest {
  attempt: AttemptId | null;
  nextOffset: number;
  headersForwarded: boolean;
  lastReceivedAt: number;
  /** Identifies the output of the engine that took the latest attempt. */
  digest: Hash64;
  /** The version that generated the tokens delivered so far; null before the first token. */
  version: string | null;
}

type DispatchEffect = Extract<RequestEffect, { kind: 'dispatch' }>;
type TokenOutput = Extract<EngineOutput, { kind: 'token' }>;

/** The version under which an engine accepted an attempt; null until it has. */
interface ServedVersion {
  version: string | null;
}

/** Performs request effects for one daemon incarnation. */
export class SimulatedHttp {
  readonly #requests = new Map<RequestId, OpenRequest>();
  readonly #options: SimulatedHttpOptions;
  readonly #dispatched = new Map<AttemptId, SimulatedEngine>();

  constructor(options: SimulatedHttpOptions) {
    this.#options = options;
  }

  /** Registers a caller's request. */
  accept(request: PendingRequest): void {
    const now = this.#options.clock.now;
    this.#requests.set(request.issued.description.id, {
      ...request,
      attempt: null,
      nextOffset: 0,
      headersForwarded: false,
      lastReceivedAt: now,
      digest: EMPTY_HASH,
      version: null,
    });
  }

  /** Performs an effect. */
  perform(effect: RequestEffect): void {
    const request = this.#requests.get(effect.request);
    if (request === undefined) {
      return;
    }
    switch (effect.kind) {
      case 'dispatch':
        this.#dispatch(request, effect);
        break;
      case 'refuse':
      case 'abort':
        this.#end(request, { kind: 'failed', fault: effect.fault });
        break;
      case 'replay':
        this.#end(request, { kind: 'replayed' });
        break;
      case 'cancel':
        this.#cancel(request, effect.attempt);
        break;
    }
  }

  /** The caller has disconnected: nothing more is delivered. */
  handleCallerDisconnect(id: RequestId): void {
    this.#requests.delete(id);
  }

  /** The daemon died: its connections to engines close, which cancels their work. */
  closeAll(): void {
    for (const [attempt, engine] of this.#dispatched) {
      this.#options.network.sendReliably(this.#options.node, engine.name, () =>
        engine.cancel(attempt),
      );
    }
    this.#dispatched.clear();
    const open = [...this.#requests.values()];
    this.#requests.clear();
    for (const request of open) {
      request.reset();
    }
  }

  #end(request: OpenRequest, outcome: HttpOutcome): void {
    this.#requests.delete(request.issued.description.id);
    request.end(outcome);
  }

  #cancel(request: OpenRequest, attempt: AttemptId): void {
    const engine = this.#dispatched.get(attempt);
    this.#dispatched.delete(attempt);
    if (request.attempt === attempt) {
      request.attempt = null;
    }
    if (engine !== undefined) {
      this.#options.network.sendReliably(this.#options.node, engine.name, () =>
        engine.cancel(attempt),
      );
    }
  }

  #dispatch(request: OpenRequest, effect: DispatchEffect): void {
    const { network, node } = this.#options;
    const engine = this.#options.engine(effect.backend);
    if (engine === undefined) {
      this.#report(effect, { kind: 'not-sent', attempt: effect.attempt, reason: 'no such engine' });
      return;
    }
    request.attempt = effect.attempt;
    request.lastReceivedAt = this.#options.clock.now;
    this.#dispatched.set(effect.attempt, engine);
    network.call<AttemptEvent | 'accepted'>(
      node,
      engine.name,
      (answer) => this.#serve(request, effect, engine, answer),
      (result) => {
        if (result.kind === 'not-sent') {
          this.#report(effect, { kind: 'not-sent', attempt: effect.attempt, reason: 'refused' });
        } else if (result.kind === 'answered' && result.answer !== 'accepted') {
          this.#report(effect, result.answer);
        }
        // Lost: the attempt may be running; the stall timer breaks it.
      },
    );
    this.#watchForStall(request, effect);
  }

  /** Submits the attempt to the engine; runs when the call arrives there. */
  #serve(
    request: OpenRequest,
    effect: DispatchEffect,
    engine: SimulatedEngine,
    answer: (value: AttemptEvent | 'accepted') => void,
  ): boolean {
    const { description } = request.issued;
    const { target } = description;
    if (target.kind !== 'model') {
      return false;
    }
    const { network, node } = this.#options;
    const served: ServedVersion = { version: null };
    const submitted = engine.submit(
      {
        attempt: effect.attempt,
        priority: effect.priority,
        name: target.adapter ?? target.model,
        version: effect.resumeOffset > 0 ? request.version : null,
        describe: (resolved) => describe(request.issued, resolved),
        work: {
          kind: 'completion',
          streamed: description.streamed,
          maxTokens: request.issued.outputTokens,
          resumeOffset: effect.resumeOffset,
          kvHandle: null,
        },
      },
      {
        output: (output) =>
          network.sendReliably(engine.name, node, () =>
            this.#receive(request, effect, output, served),
          ),
        reset: () =>
          network.sendReliably(engine.name, node, () => this.#break(request, effect, 'reset')),
      },
    );
    if (submitted === null) {
      return false;
    }
    if (submitted.kind === 'accepted') {
      request.digest = submitted.prompt.digest;
      served.version = submitted.version;
      answer('accepted');
    } else {
      answer({ kind: 'refused-not-run', attempt: effect.attempt, reason: submitted.code });
    }
    return true;
  }

  #receive(
    request: OpenRequest,
    effect: DispatchEffect,
    output: EngineOutput,
    served: ServedVersion,
  ): void {
    if (request.attempt !== effect.attempt) {
      return;
    }
    request.lastReceivedAt = this.#options.clock.now;
    switch (output.kind) {
      case 'token':
        this.#receiveToken(request, effect, output, served);
        break;
      case 'finished':
        this.#receiveEnd(request, effect, output.promptTokens, output.completionTokens);
        break;
      case 'cut':
        this.#break(request, effect, 'cut');
        break;
      case 'prefilled':
      case 'order-ended':
        break;
    }
  }

  #receiveToken(
    request: OpenRequest,
    effect: DispatchEffect,
    { digest, offset }: TokenOutput,
    served: ServedVersion,
  ): void {
    if (offset < request.nextOffset) {
      return;
    }
    if (offset > request.nextOffset) {
      this.#break(request, effect, 'gap');
      return;
    }
    if (request.version !== null && request.version !== served.version) {
      this.#break(request, effect, 'other-version');
      return;
    }
    request.version = served.version;
    request.nextOffset += 1;
    if (!request.headersForwarded) {
      request.headersForwarded = true;
      this.#report(effect, { kind: 'first-byte', attempt: effect.attempt, status: HTTP_OK });
    }
    request.deliver(tokenAt(digest, offset));
  }

  #receiveEnd(
    request: OpenRequest,
    effect: DispatchEffect,
    promptTokens: number,
    outputTokens: number,
  ): void {
    const { description } = request.issued;
    if (description.streamed && request.nextOffset !== outputTokens) {
      this.#break(request, effect, 'ended-early');
      return;
    }
    if (!description.streamed) {
      for (let offset = 0; offset < outputTokens; offset += 1) {
        request.deliver(tokenAt(request.digest, offset));
      }
    }
    this.#dispatched.delete(effect.attempt);
    request.attempt = null;
    const { attempt } = effect;
    const outcome =
      description.idempotencyKey === null
        ? {}
        : { outcome: { kind: 'answered', status: HTTP_OK, contentType: '', body: '' } as const };
    this.#report(effect, { kind: 'completed', attempt, promptTokens, outputTokens, ...outcome });
    this.#end(request, { kind: 'answered' });
  }

  #break(request: OpenRequest, effect: DispatchEffect, reason: string): void {
    if (request.attempt !== effect.attempt) {
      return;
    }
    request.attempt = null;
    const engine = this.#dispatched.get(effect.attempt);
    this.#dispatched.delete(effect.attempt);
    if (engine !== undefined) {
      this.#options.network.sendReliably(this.#options.node, engine.name, () =>
        engine.cancel(effect.attempt),
      );
    }
    this.#report(effect, {
      kind: 'broken',
      attempt: effect.attempt,
      reason,
      deliveredTokens: request.nextOffset,
      headersForwarded: request.headersForwarded,
      version: request.version,
    });
  }

  #watchForStall(request: OpenRequest, effect: DispatchEffect): void {
    const { clock } = this.#options;
    const check = (): void => {
      if (request.attempt !== effect.attempt) {
        return;
      }
      const stalledAt = request.lastReceivedAt + STALL_TIMEOUT_MS;
      if (clock.now >= stalledAt) {
        this.#break(request, effect, 'stall');
        return;
      }
      clock.scheduleAt(stalledAt, check);
    };
    clock.scheduleAt(clock.now + STALL_TIMEOUT_MS, check);
  }

  #report(effect: DispatchEffect, event: AttemptEvent): void {
    this.#options.emit({ kind: 'attempt', request: effect.request, event });
  }
}

function describe({ prompt, shape }: IssuedRequest, source: OutputSource): PromptDescription {
  if (shape === undefined) return describePrompt(source, prompt);
  return { ...shape, digest: outputDigest(source, prompt) };
}
