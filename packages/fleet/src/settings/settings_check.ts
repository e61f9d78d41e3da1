import type {Log} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import {loadFleetSettings} from './load_fleet_settings';
import type {FleetSettings} from './schema';

/**
 * Checks the settings file again. What changed takes effect at the next start:
 * addresses can't move under open connections, and bounds change with those of
 * all other processes.
 *
 * Failure: the file is away for the moment in which it is replaced, and a
 * process that reads it on a signal ends with an error. Guard: what can't be
 * read is refused like what is malformed, and the old settings stay.
 */
export function recheckSettings(
  read: () => string,
  inForce: FleetSettings,
  log: Log,
): void {
  const text = readText(read);
  if (text.err) {
    log.warn('settings not read; the old ones stay', {error: text.val});
    return;
  }
  const loaded = loadFleetSettings(text.val);
  if (loaded.err) {
    log.warn('settings refused; the old ones stay', {faults: loaded.val});
    return;
  }
  const isSame = JSON.stringify(loaded.val) === JSON.stringify(inForce);
  if (isSame) log.info('settings read again, nothing changed');
  else log.info('settings changed; they take effect at the next start');
}

function readText(read: () => string): Result<string, string> {
  try {
    return Ok(read());
  } catch (error) {
    return Err(error instanceof Error ? error.message : 'not readable');
  }
}
