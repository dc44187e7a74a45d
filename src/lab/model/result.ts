/** The result of a model check, for people and for scripts. */
import type { Counterexample, Exploration } from './explorer.js';

/** The combined result of all explorations of one run. */
export interface ModelResult {
  readonly states: number;
  readonly transitions: number;
  /** The maximum depth over all models. */
  readonly depth: number;
  readonly violations: readonly (Counterexample & { readonly model: string })[];
  /** False when a limit ended an exploration before all its states were visited. */
  readonly complete: boolean;
  readonly seconds: number;
  readonly models: readonly Exploration[];
}

/** Combines explorations into one result. */
export function combine(models: readonly Exploration[]): ModelResult {
  return {
    states: sum(models.map(({ states }) => states)),
    transitions: sum(models.map(({ transitions }) => transitions)),
    depth: Math.max(0, ...models.map(({ depth }) => depth)),
    violations: models.flatMap(({ model, violations }) => {
      return violations.map((violation) => ({ model, ...violation }));
    }),
    complete: models.every(({ complete }) => complete),
    seconds: rounded(sum(models.map(({ seconds }) => seconds))),
    models: models.map((model) => ({ ...model, seconds: rounded(model.seconds) })),
  };
}

/** The result as lines of text. */
export function resultText(result: ModelResult): string {
  const lines = result.models.map(({ model, states, transitions, depth, complete, seconds }) => {
    const suffix = complete ? '' : ', not complete';
    return `${model}: ${states} states, ${transitions} transitions, depth ${depth}, ${seconds} s${suffix}`;
  });
  const { states, transitions, violations, seconds } = result;
  const total = `${states} states, ${transitions} transitions, ${violations.length} violations, ${seconds} s`;
  return `${[...lines, ...violations.flatMap(violationLines), total].join('\n')}\n`;
}

function violationLines(violation: ModelResult['violations'][number]): string[] {
  const head = `${violation.model} breaks: ${violation.property}: ${violation.detail}`;
  return [head, ...violation.trace.map((step, index) => `  ${index + 1}. ${step}`)];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function rounded(seconds: number): number {
  return Math.round(seconds * 100) / 100;
}
