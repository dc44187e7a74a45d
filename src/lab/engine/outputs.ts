/** The requests to an emulated engine and its outputs. */

import type { Hash64 } from '../../core/common/hash.js';
import type { AttemptId, OrderId } from '../../core/common/identifiers.js';
import type { ResolvedModel } from './inventory.js';
import type { PromptDescription } from './tokens.js';

/** A request for `EngineModel.submit`. */
export interface EngineRequest {
  readonly attempt: AttemptId;
  readonly priority: number;
  /** The model or adapter as the caller named it. */
  readonly name: string;
  /** The version wanted, or null for the newest. */
  readonly version: string | null;
  /** Describes the prompt once the name is resolved: the digest depends on the version. */
  readonly describe: (resolved: ResolvedModel) => PromptDescription;
  readonly work: EngineWork;
}

/** The kind of work requested. */
export type EngineWork =
  | { readonly kind: 'prefill' }
  | {
      readonly kind: 'completion';
      readonly streamed: boolean;
      readonly maxTokens: number;
      /** The first output token wanted. */
      readonly resumeOffset: number;
      readonly kvHandle: string | null;
    };

/** The refusal codes of docs/ENGINE-API.md. With each of them, nothing was run. */
export type RefusalCode =
  | 'invalid-request'
  | 'model-not-loaded'
  | 'kv-gone'
  | 'wrong-role'
  | 'engine-full'
  | 'engine-busy';

/** A refusal before any work. */
export interface EngineRefusal {
  readonly kind: 'refused';
  readonly code: RefusalCode;
  readonly message: string;
  readonly retryAfterSeconds?: number;
}

/** The acceptance of a request. */
export interface EngineAcceptance {
  readonly kind: 'accepted';
  readonly prompt: PromptDescription;
  /** The model version that generates the output, as in `system_fingerprint`. */
  readonly version: string;
}

/** An output of the engine; `at` is the (virtual) time at which it was due. */
export type EngineOutput =
  /** An output token of a streamed request; its text is `tokenAt(digest, offset)`. */
  | {
      readonly kind: 'token';
      readonly at: number;
      readonly attempt: AttemptId;
      readonly offset: number;
      readonly digest: Hash64;
    }
  | {
      readonly kind: 'finished';
      readonly at: number;
      readonly attempt: AttemptId;
      readonly promptTokens: number;
      /** Tokens of the complete answer, including those before the resume offset. */
      readonly completionTokens: number;
    }
  | {
      readonly kind: 'prefilled';
      readonly at: number;
      readonly attempt: AttemptId;
      readonly kvHandle: string;
      readonly promptTokens: number;
      readonly kvBytes: number;
    }
  /** An order, or a cancel over HTTP, ended the request before it finished. */
  | { readonly kind: 'cut'; readonly at: number; readonly attempt: AttemptId }
  | {
      readonly kind: 'order-ended';
      readonly at: number;
      readonly order: OrderId;
      readonly state: 'done' | 'failed';
    };
