/** The operator API over HTTP. */

export {
  type ChangeBody,
  type ChangeRequest,
  EXPLAIN_SUBJECTS,
  type ExplainSubject,
  type Explanation,
  type OperatorBackend,
  type OperatorStatus,
} from './backend.js';
export { createOperatorServer, type OperatorServer, type OperatorServerOptions } from './server.js';
