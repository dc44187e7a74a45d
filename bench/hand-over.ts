/** `npm run bench:hand-over`: compares all-mixed fleets with role splits, as JSON lines. */
import type { EngineRole } from '../src/core/registry/backend.js';
import { type HandOverOutcome, simulateHandOver } from './hand-over-simulation.js';

const SEEDS = [1, 2, 3, 4, 5];
const NEW_ENGINES = 7;
const OLD_ENGINES = 6;
const CALLERS = 500;
const DURATION_MS = 40_000;

const MIXES = [
  { mix: 'short questions', promptTokens: 300, outputTokens: 120 },
  { mix: 'long labels', promptTokens: 2_500, outputTokens: 150 },
  { mix: 'catalogue reads', promptTokens: 6_000, outputTokens: 60 },
] as const;

/** Prefill engines come first, on new accelerators, whose gain is largest in arithmetic throughput. */
function engines(prefill: number, others: EngineRole) {
  return Array.from({ length: NEW_ENGINES + OLD_ENGINES }, (_, place) => ({
    role: place < prefill ? ('prefill' as const) : others,
    accelerator: place < NEW_ENGINES ? ('new' as const) : ('old' as const),
  }));
}

function mean(outcomes: readonly HandOverOutcome[], field: keyof HandOverOutcome): number {
  const total = outcomes.reduce((sum, outcome) => sum + outcome[field], 0);
  return Math.round((10 * total) / outcomes.length) / 10;
}

for (const { mix, promptTokens, outputTokens } of MIXES) {
  for (const others of ['mixed', 'decode'] as const) {
    for (const prefill of [0, 1, 2, 3, 4, 6, 8]) {
      if (prefill === 0 && others === 'decode') {
        continue;
      }
      const load = { promptTokens, outputTokens, callers: CALLERS, durationMs: DURATION_MS };
      const fleet = engines(prefill, others);
      const runs = SEEDS.map((seed) => simulateHandOver({ ...load, seed, engines: fleet }));
      const finished = runs.map((run) => Math.round(run.finishedPerSecond * 10) / 10);
      console.log(
        JSON.stringify({
          mix,
          prefill,
          others,
          finishedPerSecond: mean(runs, 'finishedPerSecond'),
          lowest: Math.min(...finished),
          highest: Math.max(...finished),
          firstTokenP95Ms: mean(runs, 'firstTokenP95Ms'),
          betweenTokensP95Ms: mean(runs, 'betweenTokensP95Ms'),
        }),
      );
    }
  }
}
