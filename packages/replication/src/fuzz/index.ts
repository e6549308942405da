/** Random schedules against the consensus core, from seeds. */
export {InvariantViolation} from './checks.js';
export {SimulatedCluster} from './cluster.js';
export {createRandom, type Random} from './random.js';
export {runSchedule, type ScheduleResult} from './schedule.js';
