export {startEntry} from './entry';
