import {readFileSync} from 'node:fs';
import {Err, Ok, type Result} from 'ts-results';
import type {ProcessSettings} from '../types/settings';
import {loadSettings} from './load_settings';
import type {SettingsFault} from './types';

/** Reads a text file; the error is a short phrase. */
export function readTextFile(path: string): Result<string, string> {
  try {
    return Ok(readFileSync(path, 'utf8'));
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code;
    if (code === 'ENOENT') return Err('no such file');
    if (code === 'EACCES') return Err('permission denied');
    if (code === 'EISDIR') return Err('it is a directory');
    return Err(code ?? 'read error');
  }
}

/** Reads, checks and resolves the settings in `fileName`. */
export function readSettingsFile(
  fileName: string,
): Result<ProcessSettings, readonly SettingsFault[]> {
  const text = readTextFile(fileName);
  if (text.ok) return loadSettings(text.val, fileName, readTextFile);
  const detail = `settings file cannot be read: ${text.val}`;
  return Err([
    {
      kind: 'unreadableFile',
      file: fileName,
      line: 1,
      column: 1,
      path: '',
      detail,
    },
  ]);
}

/** Formats a fault as `file:line:column: path: detail`. */
export function formatFault(fault: SettingsFault): string {
  const location = `${fault.file}:${fault.line}:${fault.column}`;
  const subject = fault.path === '' ? '' : `${fault.path}: `;
  return `${location}: ${subject}${fault.detail}`;
}
