export {NO_MEMORY, readBody, type BodyError} from './body.js';
export {
  DRAINING,
  notRun,
  toErrorBody,
  type ApiError,
  type Outcome,
} from './errors.js';
export {sendError, sendJson} from './respond.js';
export {
  createApp,
  startServer,
  type App,
  type RunningServer,
} from './server.js';
