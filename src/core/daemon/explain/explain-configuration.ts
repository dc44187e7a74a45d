/** Explains the configuration: its version and where it is in force. */
import { ok, type Result } from 'neverthrow';
import { confirmationOf } from '../../configuration/index.js';
import type { Fault } from '../../errors/fault.js';
import { daemonRows } from '../tables/daemon-rows.js';
import type { ExplainInput, ExplanationText } from './types.js';

/** Explains which version is in force on this daemon and which daemons have not confirmed it. */
export function explainConfiguration({ state }: ExplainInput): Result<ExplanationText, Fault> {
  const { inForce, highestVersion } = state.configuration;
  const version = inForce?.version ?? 0;
  const confirmation = confirmationOf(state.membership, version, version);
  const waiting = confirmation.waitingFor.map((daemon) => daemon.name);
  const sentences = [
    inForce === null
      ? 'No configuration is in force on this daemon: it has neither reached the table service nor another daemon that has one.'
      : `Version ${version} is in force on this daemon.`,
    `The highest version it has heard of is ${highestVersion}.`,
    waiting.length === 0
      ? `Every daemon that the fleet counts (${confirmation.inForce}) has it in force.`
      : `${confirmation.inForce} daemons have it in force; not confirmed by ${waiting.join(', ')}.`,
  ];
  const tables = [{ title: 'daemons', rows: daemonRows(state) }];
  return ok({ subject: 'config', id: null, sentences, tables });
}
