export {ByteCollector} from './byte-collector.js';
