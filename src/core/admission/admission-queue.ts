/**
 * Admission of requests of the product's own API. Classes and tenants come from the configuration document; the
 * cost of a request follows from its tokens.
 */
import type { ClassName, RequestId } from '../common/identifiers.js';
import {
  type ClassConfiguration,
  type ConfigurationDocument,
  classSchema,
  EMPTY_CONFIGURATION,
} from '../configuration/document.js';
import type { RequestDescription, RequestTarget } from '../requests/types.js';
import type { AdmissionRules } from './admission-rules.js';
import { type AdmissionLimits, AdmissionScheduler } from './admission-scheduler.js';
import { MIN_CLASS_SHARE } from './class-usage.js';
import { estimatedCost, type TokenUse, tokenCost } from './token-cost.js';

/** Applies to requests whose class was removed from the configuration while they were in progress. */
const REMOVED_CLASS_DEFAULTS: ClassConfiguration = classSchema.parse({
  priority: 9,
  deadlineMs: 30_000,
});

/** Admission rules that follow the current configuration document. */
class DocumentRules implements AdmissionRules<RequestDescription> {
  readonly minClassShare = MIN_CLASS_SHARE;
  document: ConfigurationDocument = EMPTY_CONFIGURATION.document;

  laneOf({ target }: RequestDescription): string {
    return laneKey(target);
  }

  costOf({ target }: RequestDescription): number {
    return estimatedCost(target);
  }

  classOf(name: ClassName): ClassConfiguration {
    return this.document.classes[name] ?? REMOVED_CLASS_DEFAULTS;
  }

  weightOf(tenant: string): number {
    return this.document.tenants[tenant]?.weight ?? 1;
  }
}

/** All requests of the product's own API that are waiting or admitted. */
export class AdmissionQueue extends AdmissionScheduler<RequestDescription> {
  readonly #documentRules: DocumentRules;

  constructor(limits: Partial<AdmissionLimits> = {}) {
    const rules = new DocumentRules();
    super(rules, limits);
    this.#documentRules = rules;
  }

  /** Applies the classes, shares and weights of a configuration. */
  configure(configuration: ConfigurationDocument): void {
    this.#documentRules.document = configuration;
    this.onRulesChanged();
  }

  /** Records the end of a request with the tokens that it used; null when it was not run. */
  recordFinished(id: RequestId, used: TokenUse | null): void {
    this.settle(id, used === null ? 0 : tokenCost(used));
  }
}

function laneKey(target: RequestTarget): string {
  return target.kind === 'web' ? `web\n${target.service}` : `${target.model}\n${target.adapter}`;
}
