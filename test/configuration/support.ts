/** Helpers for tests of configuration changes and their distribution. */
import { err, ok } from 'neverthrow';
import type { ChangeOutcome, ChangeRequest } from '../../src/core/configuration/index.js';
import { refusedNotRun } from '../../src/core/errors/fault.js';
import type { DaemonSlot } from '../../src/lab/scale/fleet-options.js';
import type { FleetSimulation } from '../../src/lab/scale/fleet-simulation.js';

let tokens = 0;

/** A change that sets a model's version; refused if `mustBeAbsent` and the model is present. */
export function setModel(
  id: string,
  model: string,
  version: string,
  fields: Partial<ChangeRequest> & { readonly mustBeAbsent?: boolean } = {},
): ChangeRequest {
  const { mustBeAbsent = false, ...rest } = fields;
  tokens += 1;
  return {
    token: `call-${tokens}`,
    id,
    digest: `${model} ${version}`,
    ifVersion: null,
    dryRun: false,
    apply: (document) => {
      if (mustBeAbsent && document.models[model] !== undefined) {
        return err(refusedNotRun('invalid-command', `${model} is already served.`));
      }
      const entry = { version, adapters: {}, objective: 'goodput' as const };
      const models = { ...document.models, [model]: entry };
      return ok({
        document: { ...document, models },
        description: [`${model} is served as ${version}`],
      });
    },
    ...rest,
  };
}

/** Sends a change to a daemon and runs the simulation until it is answered. */
export function outcomeOf(
  fleet: FleetSimulation,
  place: DaemonSlot,
  request: ChangeRequest,
): ChangeOutcome {
  fleet.change(place, request);
  const answer = () => fleet.answers.get(request.token);
  fleet.runUntil(() => answer() !== undefined, 60_000);
  const outcome = answer();
  if (outcome === undefined) throw new Error(`${request.id} was never answered`);
  return outcome;
}

/** The version in force on each running daemon. */
export function versionsOf(fleet: FleetSimulation): readonly number[] {
  return fleet.running.map((daemon) => daemon.version);
}
