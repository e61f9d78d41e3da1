import type {Log} from '@hibiscusbeam/daemon';
import {Err, Ok, type Result} from 'ts-results';
import {loadFleetSettings} from './load_fleet_settings';
import type {FleetSettings} from './schema';

/**
 * Validates the settings file again. Changes take effect at the next start,
 * since addresses can't change under open connections, and bounds change
 * together with those of all other processes.
 *
 * The file may be missing for a moment while it is replaced. A file that can't
 * be read is refused like a malformed one, and the old settings stay, so that
 * the process does not end with an error.
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
