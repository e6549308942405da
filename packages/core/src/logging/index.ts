export {
  createLogger,
  formatLine,
  installLogWriter,
  silentLogger,
  type LogFields,
  type Logger,
  type LogLevel,
  type LogValue,
} from './logger.js';
export * from './line-logger.js';
