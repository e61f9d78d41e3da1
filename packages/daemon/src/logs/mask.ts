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

/** Takes secrets out of texts, and whole values out of secret fields. */
export interface Mask {
  readonly text: (text: string) => string;
  /** What is logged for a field of this name, or undefined for its value. */
  readonly field: (name: string) => string | undefined;
}

/** Masks the given texts wherever they stand, and all bearer tokens. */
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
