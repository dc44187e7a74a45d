/** Turns a workload's arrivals into requests of simulated callers, without generating prompt texts. */
import { createHash } from 'node:crypto';
import { PREFIX_BLOCK_CHARACTERS } from '../../core/common/prefix-blocks.js';
import type { ConfigurationDocument } from '../../core/configuration/document.js';
import { CHARACTERS_PER_TOKEN } from '../engine/index.js';
import type { IssuedRequest, PromptShape } from '../simulation/index.js';
import type { Arrival, ModelArrivalRequest } from '../workload/index.js';

const TOKENS_PER_BLOCK = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
const DEFAULT_CLASS = 'interactive';

/** The tenant and class of a request's caller. */
interface Caller {
  readonly tenant: string;
  readonly className: string;
}

/** Creates requests under a configuration. */
export class RequestFactory {
  readonly #callers = new Map<string, Caller>();

  constructor(private readonly document: ConfigurationDocument) {}

  /** The request of an arrival, sent at `now` by the simulation's clock. */
  request(arrival: Arrival, modelRequest: ModelArrivalRequest, now: number): IssuedRequest {
    const { tenant, className } = this.#caller(arrival);
    const deadlineMs = this.document.classes[className]?.deadlineMs ?? 0;
    const shape = promptShape(modelRequest);
    const { prefixSeed, seed } = modelRequest.prompt;
    return {
      prompt: `${prefixSeed ?? 'none'} ${seed} ${arrival.index}`,
      shape,
      outputTokens: modelRequest.outputTokens,
      issuedAt: now,
      description: {
        id: `request-${arrival.index}`,
        tenant,
        className,
        target: {
          kind: 'model',
          model: modelRequest.model,
          adapter: modelRequest.adapter,
          promptTokens: shape.tokens,
          maxOutputTokens: modelRequest.outputTokens,
          prefixHashes: shape.blockHashes,
        },
        streamed: modelRequest.streamed,
        repeatable: true,
        idempotencyKey: null,
        bodyDigest: null,
        arrivedAt: now,
        deadline: now + deadlineMs,
      },
    };
  }

  #caller({ source }: Arrival): Caller {
    const known = this.#callers.get(source.name);
    if (known !== undefined) return known;
    const tenant = this.#tenantOf(source.apiKey);
    const className = source.className ?? this.document.tenants[tenant]?.class ?? DEFAULT_CLASS;
    const caller = { tenant, className };
    this.#callers.set(source.name, caller);
    return caller;
  }

  #tenantOf(apiKey: string | undefined): string {
    const anonymous = this.document.anonymousTenant ?? '';
    if (apiKey === undefined) return anonymous;
    const digest = createHash('sha256').update(apiKey).digest('hex');
    const found = Object.entries(this.document.tenants).find(([, tenant]) =>
      tenant.keyDigests.includes(digest),
    );
    return found?.[0] ?? anonymous;
  }
}

/**
 * The prompt's length and block hashes. Blocks of a shared prefix are equal in all requests that share
 * it; all others are unique.
 */
function promptShape({ prompt }: ModelArrivalRequest): PromptShape {
  const shared = prompt.prefixSeed === null ? 0 : prompt.prefixTokens;
  const blocks = Math.floor(prompt.tokens / TOKENS_PER_BLOCK);
  const sharedBlocks = Math.floor(shared / TOKENS_PER_BLOCK);
  const blockHashes = Array.from({ length: blocks }, (_, block) =>
    block < sharedBlocks ? `shared-${prompt.prefixSeed}-${block}` : `own-${prompt.seed}-${block}`,
  );
  return { tokens: prompt.tokens, blockHashes };
}
