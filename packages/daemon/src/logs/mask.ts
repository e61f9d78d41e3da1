/** Names of fields whose values are never logged, in lower case. */
const SECRET_FIELDS: ReadonlySet<string> = new Set([
  'authorization',
  'bearer',
  'key',
  'password',
  'secret',
  'sha256',
  'sitekey',
  'token',
]);

const MASK = '[secret]';

const BEARER_TOKEN = /(?<=bearer\s+)[^\s"']+/gi;

/** Masks secrets in texts, and the whole values of secret fields. */
export interface Mask {
  readonly text: (text: string) => string;
  /**
   * The text logged instead of the value of a field with this name; undefined
   * if its value is logged.
   */
  readonly field: (name: string) => string | undefined;
}

/**
 * Creates a mask for the given texts wherever they occur, and for all bearer
 * tokens.
 */
export function createMask(secrets: readonly string[]): Mask {
  const nonEmptySecrets = secrets.filter(secret => secret !== '');
  return {
    text: text => {
      const masked = nonEmptySecrets.reduce(
        (part, secret) => part.replaceAll(secret, MASK),
        text,
      );
      return masked.replace(BEARER_TOKEN, MASK);
    },
    field: name => (SECRET_FIELDS.has(name.toLowerCase()) ? MASK : undefined),
  };
}
