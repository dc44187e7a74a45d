/** `threadfork-lab engine`: runs an emulated model engine as a process. */
import { Command, Option, UsageError } from 'clipanion';
import type { EngineMachine, LoadedModel } from '../../core/registry/backend.js';
import { ACCELERATORS, type AcceleratorName, createEngineServer } from '../engine/index.js';
import { EXIT_DONE } from './exit-codes.js';
import { LabCommand } from './lab-command.js';
import { DEFAULT_LEAVE_NOTICE_MS, runListedMachine } from './listed-machine.js';
import { machineListOption } from './machine-list-option.js';
import { choiceOption, endpointOption, numberOption } from './options.js';

const ROLES = ['prefill', 'decode', 'mixed'] as const;
const ACCELERATOR_NAMES = Object.keys(ACCELERATORS) as AcceleratorName[];
const MAX_SEED = 0xffffffff;
const MAX_SPEED_FACTOR = 1_000;
const MAX_BATCH = 4_096;
const MAX_DURATION_MS = 600_000;

const MAX_NOTICE_MS = 600_000;

/** Runs one emulated engine until a stop signal. */
export class EngineCommand extends LabCommand {
  static override paths = [['engine']];
  static override usage = Command.Usage({
    description: 'Run an emulated model engine (docs/ENGINE-API.md).',
    details: `
      Registers on the platform's machine list and prints one JSON line on standard output once it
      listens. On SIGTERM it reports that it is leaving, lets its requests end, and removes itself
      from the list.
    `,
    examples: [
      [
        'An engine with a model and an adapter',
        '$0 engine --name e1 --zone leiden-a --model labels@v1 --adapter labels/latin@v1 --platform 127.0.0.1:9000',
      ],
    ],
  });

  listen = Option.String('--listen', '127.0.0.1:0', {
    description: 'IP:PORT; port 0: any free port',
  });
  platform = Option.String('--platform', { description: 'IP:PORT of the platform' });
  engineName = Option.String('--name', { required: true, description: 'name of the machine' });
  zone = Option.String('--zone', { required: true, description: 'zone of the machine' });
  pool = Option.String('--pool', { description: 'pool that the engine belongs to' });
  accelerator = Option.String('--accelerator', 'new', { description: 'new or old' });
  role = Option.String('--role', 'mixed', { description: 'prefill, decode or mixed' });
  models = Option.Array('--model', [], { description: 'MODEL@VERSION; may be repeated' });
  adapters = Option.Array('--adapter', [], {
    description: 'MODEL/ADAPTER@VERSION; may be repeated',
  });
  seed = Option.String('--seed', '1', { description: 'seed of the random generator' });
  speedFactor = Option.String('--speed-factor', '1', {
    description: 'divides the duration of steps',
  });
  maxBatch = Option.String('--max-batch', '64', {
    description: 'maximum number of requests in a batch',
  });
  roleChangeMs = Option.String('--role-change-ms', '4000', {
    description: 'duration of a role change',
  });
  loadMs = Option.String('--load-ms', '6000', { description: 'duration of a model load' });
  leaveNoticeMs = Option.String('--leave-notice-ms', DEFAULT_LEAVE_NOTICE_MS, {
    description: 'how long requests are still accepted after SIGTERM',
  });

  protected override async runCommand(): Promise<number> {
    const server = await createEngineServer({
      listen: endpointOption('--listen', this.listen),
      name: this.engineName,
      role: choiceOption('--role', this.role, ROLES),
      models: loadedModels(this.models, this.adapters),
      accelerator: choiceOption('--accelerator', this.accelerator, ACCELERATOR_NAMES),
      seed: numberOption('--seed', this.seed, 0, MAX_SEED),
      speedFactor: numberOption('--speed-factor', this.speedFactor, 0.001, MAX_SPEED_FACTOR),
      maxBatch: numberOption('--max-batch', this.maxBatch, 1, MAX_BATCH),
      roleChangeMs: numberOption('--role-change-ms', this.roleChangeMs, 0, MAX_DURATION_MS),
      loadMs: numberOption('--load-ms', this.loadMs, 0, MAX_DURATION_MS),
    });
    const machine: EngineMachine = {
      kind: 'engine',
      name: this.engineName,
      zone: this.zone,
      state: 'live',
      accelerator: this.accelerator,
      ...(this.pool === undefined ? {} : { pool: this.pool }),
      ...server.endpoint,
    };
    await runListedMachine(this.context.stdout, {
      machine,
      list: machineListOption(this.platform),
      leaveNoticeMs: numberOption('--leave-notice-ms', this.leaveNoticeMs, 0, MAX_NOTICE_MS),
      markLeaving: () => server.model.setLeaving(true),
      active: () => server.model.report(performance.now()).activeRequests,
    });
    await server.close();
    return EXIT_DONE;
  }
}

/** Parses the values of `--model` and `--adapter`. */
function loadedModels(models: readonly string[], adapters: readonly string[]): LoadedModel[] {
  const loaded = models.map((text) => {
    const [model, version] = splitOnce(text, '@', '--model');
    return { model, version, adapters: [] as { adapter: string; version: string }[] };
  });
  for (const text of adapters) {
    const [path, version] = splitOnce(text, '@', '--adapter');
    const [model, adapter] = splitOnce(path, '/', '--adapter');
    const base = loaded.find((candidate) => candidate.model === model);
    if (base === undefined)
      throw new UsageError(`--adapter ${text}: no such model; also give --model ${model}@VERSION.`);
    base.adapters.push({ adapter, version });
  }
  return loaded;
}

function splitOnce(text: string, separator: string, flag: string): [string, string] {
  const [left = '', right = '', ...rest] = text.split(separator);
  if (left !== '' && right !== '' && rest.length === 0) return [left, right];
  throw new UsageError(`${flag} ${text}: give two names with one ${separator} between them.`);
}
