import {Err, Ok, type Result} from 'ts-results';
import {parse} from 'yaml';
import {fleetSettings, type FleetSettings} from './schema';

/** One error in a settings file. */
export interface FleetSettingsFault {
  /** Path of the field, as in `bounds.grace`; empty for the whole file. */
  readonly field: string;
  readonly detail: string;
}

/** Reads settings from YAML text; unknown fields are ignored. */
export function loadFleetSettings(
  text: string,
): Result<FleetSettings, readonly FleetSettingsFault[]> {
  const parsed = parseYaml(text);
  if (parsed.err) return Err([{field: '', detail: parsed.val}]);
  const checked = fleetSettings.safeParse(parsed.val);
  if (checked.success) return Ok(checked.data);
  return Err(
    checked.error.issues.map(issue => ({
      field: issue.path.join('.'),
      detail: issue.message,
    })),
  );
}

function parseYaml(text: string): Result<unknown, string> {
  try {
    return Ok(parse(text) as unknown);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}
