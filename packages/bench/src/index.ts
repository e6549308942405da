/** Benchmarks; each is a script of its own. */
export {BenchDeployment} from './deployment.js';
