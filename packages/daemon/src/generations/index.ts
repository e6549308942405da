export {toApiError} from './admission-errors.js';
export {mountGenerationApi, type GenerationApiOptions} from './api.js';
export {
  addressOf,
  runGeneration,
  type GenerationDeps,
} from './run-generation.js';
