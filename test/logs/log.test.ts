import {createLog, type LogOptions} from '@hibiscusbeam/daemon';
import * as fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {propertySettings} from '../fixtures/property_settings';

const SITE_KEY = 'Site+Key."quoted"\\0123456789';

function logTo(lines: string[], settings: Partial<LogOptions['settings']>) {
  return createLog({
    settings: {level: 'info', format: 'json', ...settings},
    part: 'routing',
    secrets: [SITE_KEY],
    write: line => lines.push(line),
  });
}

/** Values of any shape that contain the key or another secret. */
const valuesWithSecret = fc.letrec<{node: unknown}>(tie => ({
  node: fc.oneof(
    {maxDepth: 3},
    fc.string().map(text => `${text}${SITE_KEY}`),
    // A long text is truncated, which must not leave the first half of the key.
    fc
      .integer({min: 950, max: 1_050})
      .map(length => `${'x'.repeat(length)}${SITE_KEY}`),
    fc.constant(new Error(`failed with ${SITE_KEY}`, {cause: SITE_KEY})),
    fc.constant(new Map([['value', SITE_KEY]])),
    fc.constant(new Set([SITE_KEY])),
    fc.constant({authorization: 'some other secret'}),
    fc.constant(`Bearer some other secret`.replace(/ (?=other|secret)/g, '-')),
    fc.array(tie('node'), {maxLength: 3}),
    fc.record({value: tie('node'), siteKey: tie('node')}),
  ),
})).node;

describe('log', () => {
  test.each(['json', 'pretty'] as const)(
    'in %s never shows a secret, whatever is logged',
    format => {
      fc.assert(
        fc.property(valuesWithSecret, value => {
          const lines: string[] = [];
          const log = logTo(lines, {format});
          log.error(`refused ${SITE_KEY}`, {value});
          const text = lines.join('').replaceAll('\\\\', '\\');
          expect(text).not.toMatch(/Site\+K|0123456789/);
          expect(text).not.toContain('other');
        }),
        propertySettings(300),
      );
    },
  );

  test.each(['json', 'pretty'] as const)(
    'in %s writes one line for each call, with the prefix of its part',
    format => {
      fc.assert(
        fc.property(fc.string({unit: 'binary'}), text => {
          const lines: string[] = [];
          logTo(lines, {format}).warn(`no target: ${text}`, {text, size: 5n});
          expect(lines).toHaveLength(1);
          expect(lines[0]?.match(/[\n\r]/g)).toEqual(['\n']);
          expect(lines[0]).toContain('[routing] no target');
        }),
        propertySettings(300),
      );
    },
  );

  test('omits lines below its level', () => {
    const lines: string[] = [];
    const log = logTo(lines, {level: 'warn'});
    log.debug('a');
    log.info('b');
    log.warn('c');
    log.error('d');
    const levels = lines.map(
      line => (JSON.parse(line) as {level: string}).level,
    );
    expect(levels).toEqual(['warn', 'error']);
  });
});
