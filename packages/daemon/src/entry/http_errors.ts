/** Why the HTTP server refuses a request before it reaches routing. */
export type HttpRefusal =
  | {readonly kind: 'noKey'}
  | {readonly kind: 'wrongKey'}
  | {readonly kind: 'badField'; readonly field: string; readonly detail: string}
  | {readonly kind: 'tooDeep'; readonly limit: number}
  | {readonly kind: 'unknown'; readonly detail: string};

/** Returns the status and body for a refusal. */
export function refusalResponse(refusal: HttpRefusal): {
  readonly status: number;
  readonly body: Readonly<Record<string, string>>;
} {
  switch (refusal.kind) {
    case 'noKey':
      return {
        status: 401,
        body: {
          error: 'noKey',
          detail: 'send "authorization: Bearer KEY" with your key',
        },
      };
    case 'wrongKey':
      return {
        status: 403,
        body: {error: 'wrongKey', detail: 'this key opens nothing here'},
      };
    case 'badField':
      return {
        status: 400,
        body: {
          error: 'badField',
          field: refusal.field,
          detail: refusal.detail,
        },
      };
    case 'tooDeep':
      return {
        status: 400,
        body: {
          error: 'tooDeep',
          detail: `nest JSON at most ${refusal.limit} deep`,
        },
      };
    case 'unknown':
      return {status: 404, body: {error: 'unknown', detail: refusal.detail}};
  }
}
