/** `npm run model`: checks the protocol's models, or shows which property a mutation violates. */
import { performance } from 'node:perf_hooks';
import { Command, Option, UsageError } from 'clipanion';
import { EXIT_DONE, EXIT_FAILED } from '../commands/exit-codes.js';
import { LabCommand } from '../commands/lab-command.js';
import { choiceOption, numberOption } from '../commands/options.js';
import { type Explorer, MODELS, MUTATIONS } from './catalogue.js';
import { type Exploration, explore, type Limits } from './explorer.js';
import { exploreGraph } from './graph-explorer.js';
import { combine, resultText } from './result.js';

const DEFAULT_MAX_STATES = 2_000_000;
const MAX_STATES_LIMIT = 100_000_000;
const EXPLORERS: Readonly<Record<'graph' | 'plain', Explorer>> = {
  graph: exploreGraph,
  plain: explore,
};

/** Checks the models and prints what was found. */
export class ModelCommand extends LabCommand {
  static override paths = [['model']];
  static override usage = Command.Usage({
    description: "Model-check the core protocol over production's own reducers.",
    details: `
      Explores every state of small worlds (controllers, a table, engines, requests, operators,
      and kills, pauses, late, repeated and lost messages) and checks the invariants. With
      --mutate one protection is removed, and a shortest trace to a violation is printed.
      Exits 1 when a property is violated.
    `,
    examples: [
      ['All models that CI checks', '$0 model --json'],
      ['A violation that fences prevent', '$0 model --mutate no-fence'],
      ['Larger scopes, which take minutes', '$0 model --deep'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'print the result as JSON' });
  mutate = Option.String('--mutate', {
    description: `remove one protection: ${mutationNames()}`,
  });
  deep = Option.Boolean('--deep', false, { description: 'also check the larger scopes' });
  only = Option.String('--only', {
    description: 'check only models whose name contains this text',
  });
  maxStates = Option.String('--max-states', String(DEFAULT_MAX_STATES), {
    description: 'number of states at which the plain explorer stops',
  });
  explorer = Option.String('--explorer', {
    description:
      'graph (xstate/graph) or plain, which needs less memory; default graph, with --deep plain',
  });

  protected override async runCommand(): Promise<number> {
    const result = combine(
      this.mutate === undefined ? this.checkAll() : this.checkMutation(this.mutate),
    );
    const text = this.json ? `${JSON.stringify(result)}\n` : resultText(result);
    this.context.stdout.write(text);
    return result.violations.length === 0 ? EXIT_DONE : EXIT_FAILED;
  }

  private checkAll(): Exploration[] {
    const limits = this.limits(null);
    const only = this.only ?? '';
    const models = MODELS.filter((model) => this.deep || !model.isDeep);
    return models
      .filter((model) => model.name.includes(only))
      .map((model) => model.check(this.chosenExplorer(), limits, seconds));
  }

  private checkMutation(name: string): Exploration[] {
    const mutations = MUTATIONS.filter((mutation) => mutation.name === name);
    if (mutations.length === 0) {
      throw new UsageError(`--mutate ${name}: no such mutation; use one of ${mutationNames()}.`);
    }
    return mutations.map(({ check, property }) => {
      return check(this.chosenExplorer(), this.limits(property), seconds);
    });
  }

  private limits(stopAt: string | null): Limits {
    const maxStates = numberOption('--max-states', this.maxStates, 1, MAX_STATES_LIMIT);
    return { maxStates, stopAt };
  }

  private chosenExplorer(): Explorer {
    const chosen = this.explorer ?? (this.deep ? 'plain' : 'graph');
    return EXPLORERS[choiceOption('--explorer', chosen, ['graph', 'plain'])];
  }
}

function mutationNames(): string {
  return [...new Set(MUTATIONS.map(({ name }) => name))].join(', ');
}

function seconds(): number {
  return performance.now() / 1_000;
}
