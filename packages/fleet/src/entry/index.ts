export {startFleetEntry, type EntryPorts} from './entry';
