/** Names of fields whose values are never logged, in lower case. */
export const SECRET_FIELDS: readonly string[] = [
  'authorization',
  'bearer',
  'key',
  'password',
  'secret',
  'sha256',
  'sitekey',
  'token',
];

/** What stands in the place of a secret. */
export const MASK = '[secret]';

const BEARER_TOKEN = /(?<=bearer\s+)[^\s"']+/gi;

/** Patterns of secrets within longer texts. */
export function secretPatterns(secrets: readonly string[]): readonly RegExp[] {
  const given = secrets
    .filter(secret => secret !== '')
    .map(secret => new RegExp(escapePattern(secret), 'g'));
  return [...given, BEARER_TOKEN];
}

function escapePattern(text: string): string {
  return text.replace(/[\\^$.*+?()[\]{}|/-]/g, '\\$&');
}
