/** Fake targets, only for tests, benchmarks, replays and the demo. */
export {Announcer, type AnnouncerOptions} from './announcer.js';
export * from './engine-model.js';
export {
  FakeEngine,
  type EngineFaults,
  type FakeEngineOptions,
  type ReceivedOrder,
} from './engine-server.js';
export {
  FakePlain,
  type FakePlainOptions,
  type ExecutedCall,
} from './plain-server.js';
