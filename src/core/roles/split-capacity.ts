/**
 * Computes how many requests per second a set of engines can finish in given roles. A request
 * consists of prompt tokens to prefill and output tokens to decode. An engine runs each phase at
 * its own speed and divides its time between the two as its role allows.
 */
import type { EngineRole } from '../registry/backend.js';
import type { EngineSpeed } from './engine-speeds.js';

/** The tokens of a request. */
export interface TokenMix {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A number of engines with the same speed and role. */
export interface RoleSpeed {
  readonly role: EngineRole;
  readonly speed: EngineSpeed;
  readonly count: number;
}

/** Properties of the fleet that determine its capacity; see docs/decisions/role-planner.md. */
export interface ServingModel {
  /** Whether a request prefilled on one engine can be decoded on another (KV hand-over). */
  readonly handOver: boolean;
  /** The share of its speeds that a mixed engine reaches while it runs both phases in one batch. */
  readonly mixedEfficiency: number;
  /** The share of its prefill speed that a decode engine reaches, prefilling in small chunks. */
  readonly decodeRolePrefillEfficiency: number;
}

/** Requests per second that one engine finishes when it only prefills, or only decodes. */
interface PhaseRates {
  readonly count: number;
  readonly prefill: number;
  readonly decode: number;
}

/** The capacity of the engines in requests per second. */
export function splitCapacity(
  engines: readonly RoleSpeed[],
  mix: TokenMix,
  model: ServingModel,
): number {
  const flexible: PhaseRates[] = [];
  let prefillOnly = 0;
  for (const engine of engines) {
    const rates = phaseRates(engine, mix, model);
    if (engine.role === 'prefill') {
      prefillOnly += rates.count * rates.prefill;
    } else {
      flexible.push(rates);
    }
  }
  return model.handOver ? rateWithHandOver(prefillOnly, flexible) : rateWithoutHandOver(flexible);
}

function phaseRates(engine: RoleSpeed, mix: TokenMix, model: ServingModel): PhaseRates {
  const { role, speed, count } = engine;
  const prefill = speed.prefillTokensPerSecond / Math.max(1, mix.promptTokens);
  const decode = speed.decodeTokensPerSecond / Math.max(1, mix.outputTokens);
  switch (role) {
    case 'prefill':
      return { count, prefill, decode: 0 };
    case 'decode':
      return { count, prefill: prefill * model.decodeRolePrefillEfficiency, decode };
    case 'mixed':
      return {
        count,
        prefill: prefill * model.mixedEfficiency,
        decode: decode * model.mixedEfficiency,
      };
  }
}

/** Without hand-over each engine runs both phases of its requests, and prefill engines are idle. */
function rateWithoutHandOver(engines: readonly PhaseRates[]): number {
  let rate = 0;
  for (const { count, prefill, decode } of engines) {
    rate += count / (1 / prefill + 1 / decode);
  }
  return rate;
}

/**
 * With hand-over the fleet must prefill as many requests as it decodes. Engines that can do both
 * are reassigned to prefill until both rates are equal, in the order of least decode rate lost per
 * prefill rate gained; the last one divides its time.
 */
function rateWithHandOver(prefillOnlyRate: number, flexible: readonly PhaseRates[]): number {
  const byAdvantage = [...flexible].sort(
    (left, right) => right.prefill * left.decode - left.prefill * right.decode,
  );
  let prefill = prefillOnlyRate;
  let decode = flexible.reduce((sum, engine) => sum + engine.count * engine.decode, 0);
  for (const engine of byAdvantage) {
    const deficit = decode - prefill;
    if (deficit <= 0) {
      break;
    }
    const reassigned = Math.min(engine.count, deficit / (engine.prefill + engine.decode));
    prefill += reassigned * engine.prefill;
    decode -= reassigned * engine.decode;
  }
  return Math.min(prefill, decode);
}
