/** Random schedules against the consensus core, from seeds. */
export {Violation} from './checks.js';
export {Cluster} from './cluster.js';
export {createRandom, type Random} from './random.js';
export {runSchedule, type ScheduleResult} from './schedule.js';
