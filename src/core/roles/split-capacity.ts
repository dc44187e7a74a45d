/**
 * How many requests a second a set of engines can finish in given roles. A request is so many
 * tokens to read and so many to write; an engine does either at its own speed and shares its time
 * between the two as its role allows.
 */
import type { EngineRole } from '../registry/backend.js';
import type { EngineSpeed } from './engine-speeds.js';

/** The tokens of a request. */
export interface TokenMix {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** So many engines of one speed in a role. */
export interface RoleSpeed {
  readonly role: EngineRole;
  readonly speed: EngineSpeed;
  readonly count: number;
}

/** How the fleet serves; measured figures are in docs/decisions/role-planner.md. */
export interface ServingModel {
  /** Whether prompts read on one engine can be written on another (KV hand-over). */
  readonly handOver: boolean;
  /** What a mixed engine keeps of its speeds while it does both in one batch. */
  readonly mixedEfficiency: number;
  /** What a decode engine keeps of its prefill speed, reading in small chunks. */
  readonly decodeRolePrefillEfficiency: number;
}

/** Requests a second that an engine finishes when it reads, or writes, and does nothing else. */
interface PhaseRates {
  readonly count: number;
  readonly prefill: number;
  readonly decode: number;
}

/** The capacity of the engines in requests a second. */
export function splitCapacity(
  engines: readonly RoleSpeed[],
  mix: TokenMix,
  model: ServingModel,
): number {
  const flexible: PhaseRates[] = [];
  let reading = 0;
  for (const engine of engines) {
    const rates = phaseRates(engine, mix, model);
    if (engine.role === 'prefill') {
      reading += rates.count * rates.prefill;
    } else {
      flexible.push(rates);
    }
  }
  return model.handOver ? balanced(reading, flexible) : aloneRate(flexible);
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

/** Without hand-over each engine does whole requests by itself, and prefill engines do nothing. */
function aloneRate(engines: readonly PhaseRates[]): number {
  let rate = 0;
  for (const { count, prefill, decode } of engines) {
    rate += count / (1 / prefill + 1 / decode);
  }
  return rate;
}

/**
 * With hand-over the fleet as a whole must read as many requests as it writes. Engines that can do
 * both turn to reading one by one, those first that lose the least writing by it, until both are
 * equal; the last one shares its time.
 */
function balanced(prefillRead: number, flexible: readonly PhaseRates[]): number {
  const byAdvantage = [...flexible].sort(
    (left, right) => right.prefill * left.decode - left.prefill * right.decode,
  );
  let prefill = prefillRead;
  let decode = flexible.reduce((sum, engine) => sum + engine.count * engine.decode, 0);
  for (const engine of byAdvantage) {
    const missing = decode - prefill;
    if (missing <= 0) {
      break;
    }
    const turned = Math.min(engine.count, missing / (engine.prefill + engine.decode));
    prefill += turned * engine.prefill;
    decode -= turned * engine.decode;
  }
  return Math.min(prefill, decode);
}
