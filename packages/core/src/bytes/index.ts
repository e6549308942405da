export {BLOCK_BYTES, BlockCollector, BlockPool} from './block-collector.js';
export {ByteCollector} from './byte-collector.js';
