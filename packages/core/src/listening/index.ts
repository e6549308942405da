export {listenWhenFree, type ListenObserver} from './listen.js';
