/**
 * Admission by the product's own API document: classes and tenants are those of the configuration, and
 * requests cost what their tokens cost.
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

/** A class that the configuration has dropped while requests of it were under way. */
const UNSTATED_CLASS: ClassConfiguration = classSchema.parse({ priority: 9, deadlineMs: 30_000 });

/** The rules of one configuration after the other. */
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
    return this.document.classes[name] ?? UNSTATED_CLASS;
  }

  weightOf(tenant: string): number {
    return this.document.tenants[tenant]?.weight ?? 1;
  }
}

/** All requests of the product's own API that wait or were let go. */
export class AdmissionQueue extends AdmissionScheduler<RequestDescription> {
  readonly #documentRules: DocumentRules;

  constructor(limits: Partial<AdmissionLimits> = {}) {
    const rules = new DocumentRules();
    super(rules, limits);
    this.#documentRules = rules;
  }

  /** Takes over classes, shares and weights. */
  configure(configuration: ConfigurationDocument): void {
    this.#documentRules.document = configuration;
    this.onRulesChanged();
  }

  /** Notes the end of a request with what it used in fact; null when it was not run. */
  recordFinished(id: RequestId, used: TokenUse | null): void {
    this.settle(id, used === null ? 0 : tokenCost(used));
  }
}

function laneKey(target: RequestTarget): string {
  return target.kind === 'web' ? `web\n${target.service}` : `${target.model}\n${target.adapter}`;
}
