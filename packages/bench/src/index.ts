/** Benchmarks; each benchmark is a script. */
export {BenchDeployment} from './deployment.js';
