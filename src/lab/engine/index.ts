/** Emulated model engines: a pure model in virtual time, and an HTTP server around it. */
export { ACCELERATORS, type AcceleratorName } from './accelerators.js';
export { EngineModel } from './engine-model.js';
export { createEngineServer, type EngineServer, type EngineServerOptions } from './http/server.js';
export type { EngineModelOptions, EngineTuning } from './options.js';
export type {
  EngineAcceptance,
  EngineOutput,
  EngineRefusal,
  EngineRequest,
  EngineWork,
} from './outputs.js';
export {
  CHARACTERS_PER_TOKEN,
  describePrompt,
  expectedTokens,
  type OutputSource,
  outputDigest,
  type PromptDescription,
  tokenAt,
} from './tokens.js';
