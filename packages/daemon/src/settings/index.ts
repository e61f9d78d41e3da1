export {loadSettings} from './load_settings';
export {
  formatFault,
  readSettingsFile,
  readTextFile,
} from './read_settings_file';
export {describeFields, type FieldDescription} from './reference';
export {parseAddress, parseBaseUrl} from './scalars';
export type {ReadText, SettingsFault} from './types';
export {parseDuration, parseSize} from './units';
