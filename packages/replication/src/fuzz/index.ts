/** Random fault schedules against the consensus core, each from a seed. */
export {InvariantViolation} from './checks.js';
export {SimulatedCluster} from './cluster.js';
export {createRandom, type Random} from './random.js';
export {runSchedule, type ScheduleResult} from './schedule.js';
