/** Explanations for operators: a request's routing, an engine's state, the configuration. */
import { err, type Result } from 'neverthrow';
import { type Fault, refusedNotRun } from '../../errors/fault.js';
import { explainConfiguration } from './explain-configuration.js';
import { explainEngine } from './explain-engine.js';
import { explainRequest } from './explain-request.js';
import type { ExplainInput, ExplanationText } from './types.js';

export function explain(input: ExplainInput): Result<ExplanationText, Fault> {
  switch (input.subject) {
    case 'request':
      return explainRequest(input);
    case 'engine':
      return input.id === null ? err(ENGINE_NAME_NEEDED) : explainEngine(input, input.id);
    case 'config':
      return explainConfiguration(input);
  }
}

const ENGINE_NAME_NEEDED = refusedNotRun(
  'invalid-request',
  "An engine's name is needed. List the engines with the query `engines`.",
);
