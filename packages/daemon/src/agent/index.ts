export {startAgent} from './agent';
