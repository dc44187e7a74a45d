/** Explains a request: the backends chosen for it and the current scores of its candidates. */
import { err, ok, type Result } from 'neverthrow';
import { type Fault, refusedNotRun } from '../../errors/fault.js';
import type { Row } from '../../language/index.js';
import type { CandidateScore } from '../../routing/index.js';
import type { LoggedDecision, LoggedRequest } from '../decision-log.js';
import type { ExplainInput, ExplanationText } from './types.js';

/** Explains the request with the given id, or the latest one when no id is given. */
export function explainRequest(input: ExplainInput): Result<ExplanationText, Fault> {
  const { decisions } = input.state.traffic;
  const logged = input.id === null ? decisions.latest() : decisions.get(input.id);
  if (logged === undefined) {
    return err(
      refusedNotRun(
        'invalid-request',
        'This daemon does not remember that request. Ask the daemon that took it (its name begins the request id), soon after.',
      ),
    );
  }
  const tables = [{ title: 'decisions', rows: logged.decisions.map(decisionRow) }];
  const candidates = candidateRows(input, logged);
  return ok({
    subject: 'request',
    id: logged.description.id,
    sentences: [targetSentence(logged), endSentence(logged)],
    tables:
      candidates.length === 0 ? tables : [...tables, { title: 'candidates now', rows: candidates }],
  });
}

function targetSentence({ description }: LoggedRequest): string {
  const { target, className, id } = description;
  if (target.kind === 'web') {
    return `Request ${id} of class ${className} went to the web service ${target.service}.`;
  }
  const adapter = target.adapter === null ? '' : ` with adapter ${target.adapter}`;
  return `Request ${id} of class ${className} asked for model ${target.model}${adapter}: about ${target.promptTokens} prompt tokens and at most ${target.maxOutputTokens} output tokens.`;
}

function endSentence({ end }: LoggedRequest): string {
  if (end === null) return 'It has not ended.';
  return `It ended as ${end.result} after ${end.attempts} attempts, with ${end.promptTokens} prompt tokens and ${end.outputTokens} output tokens.`;
}

function decisionRow(decision: LoggedDecision): Row {
  return { ...decision };
}

function candidateRows(input: ExplainInput, { description }: LoggedRequest): readonly Row[] {
  if (description.target.kind !== 'model') {
    return [];
  }
  const context = { now: input.now, entropy: 0 };
  const decision = input.state.traffic.explainTarget(description.target, context);
  return decision.candidates.map(candidateRow);
}

function candidateRow(candidate: CandidateScore): Row {
  return {
    engine: candidate.engine,
    zone: candidate.zone,
    excluded: candidate.excluded,
    expectedFinishMs: Math.round(candidate.expectedFinishMs),
    expectedActive: candidate.expectedActive,
    ownInFlight: candidate.ownInFlight,
    loadAgeMs: Math.round(candidate.loadAgeMs),
    cachedTokens: candidate.cachedTokens,
  };
}
