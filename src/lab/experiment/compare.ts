/** Compares policies over several seeds; for one seed all policies get the same requests. */
import { type Estimate, estimate } from './interval.js';
import type { RolePolicy } from './policy.js';
import type { ExperimentResult } from './result.js';
import { runExperiment } from './run.js';
import type { Scenario } from './scenario-file.js';

/** The options of a comparison. */
export interface ComparisonOptions {
  readonly scenario: Scenario;
  readonly policies: readonly RolePolicy[];
  readonly seeds: readonly number[];
  readonly stretch?: number;
  /** Called after each run. */
  readonly onRun?: (result: ExperimentResult) => void;
}

/** One policy's figures over all seeds, with 95 % intervals. */
export interface PolicyFigures {
  readonly policy: string;
  readonly tokens_per_second: Estimate;
  readonly requests_per_second: Estimate;
  /** Goodput tokens as a share of the requested tokens. */
  readonly share_of_offered: Estimate;
  /** This policy's goodput in tokens divided by the first policy's, per seed. */
  readonly ratio_to_first: Estimate;
  readonly role_changes: Estimate;
  readonly first_token_p95_ms: Estimate;
  readonly between_tokens_p95_ms: Estimate;
  /** Sums over all seeds. */
  readonly refused: number;
  readonly unknown: number;
  readonly cut: number;
  readonly wrong: number;
  readonly violations: number;
}

/** The result of a comparison. */
export interface Comparison {
  readonly scenario: string;
  readonly seeds: readonly number[];
  readonly shifts: number;
  readonly policies: readonly PolicyFigures[];
}

/** Runs every policy with every seed. */
export function compare(options: ComparisonOptions): Comparison {
  const { scenario, policies, seeds, stretch = 1, onRun } = options;
  const runs = policies.map((policy) =>
    seeds.map((seed) => {
      const result = runExperiment({ scenario, policy, seed, stretch });
      onRun?.(result);
      return result;
    }),
  );
  const [first = []] = runs;
  return {
    scenario: scenario.definition.workload.name,
    seeds,
    shifts: scenario.definition.shifts,
    policies: runs.map((results) => figuresOf(results, first)),
  };
}

/** One policy's figures; `first` are the first policy's runs with the same seeds. */
export function figuresOf(
  results: readonly ExperimentResult[],
  first: readonly ExperimentResult[],
): PolicyFigures {
  const over = (value: (result: ExperimentResult, index: number) => number): Estimate =>
    estimate(results.map(value));
  const total = (value: (result: ExperimentResult) => number): number =>
    results.reduce((sum, result) => sum + value(result), 0);
  return {
    policy: results[0]?.policy ?? '',
    tokens_per_second: over(tokens),
    requests_per_second: over(({ goodput }) => goodput.requests_per_second),
    share_of_offered: over((result) => ratio(tokens(result), result.offered.tokens_per_second)),
    ratio_to_first: over((result, index) => {
      const other = first[index];
      return other === undefined ? Number.NaN : ratio(tokens(result), tokens(other));
    }),
    role_changes: over(({ role_changes }) => role_changes),
    first_token_p95_ms: over(({ first_token }) => first_token.p95Ms ?? Number.NaN),
    between_tokens_p95_ms: over(({ between_tokens }) => between_tokens.p95Ms ?? Number.NaN),
    refused: total(({ refused }) => refused),
    unknown: total(({ unknown }) => unknown),
    cut: total(({ cut }) => cut),
    wrong: total(({ wrong }) => wrong),
    violations: total(({ violations }) => violations.length),
  };
}

function tokens({ goodput }: ExperimentResult): number {
  return goodput.tokens_per_second;
}

function ratio(value: number, base: number): number {
  return base === 0 ? Number.NaN : value / base;
}
