export {authenticate} from './authenticate.js';
