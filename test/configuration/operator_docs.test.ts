import {readFileSync} from 'node:fs';
import {parseIntent} from '@hibiscusbeam/core';
import {describe, expect, test} from 'vitest';
import {parse} from 'yaml';

const PAGES = ['docs/operators/intents.md', 'docs/operators/moving.md'];

const YAML_BLOCK = /^```yaml\n(.*?)^```/gms;

function examplesOf(page: string): readonly unknown[] {
  const text = readFileSync(page, 'utf8');
  return [...text.matchAll(YAML_BLOCK)].map(([, yaml]) => parse(yaml ?? ''));
}

describe('the documentation for operators', () => {
  test.each(PAGES)('contains only intents that parse: %s', page => {
    const examples = examplesOf(page);
    expect(examples.length).toBeGreaterThan(0);
    for (const example of examples) {
      expect(parseIntent(example).ok).toBe(true);
    }
  });

  test('contains an example of each kind of change', () => {
    const intents = PAGES.flatMap(examplesOf).map(example =>
      parseIntent(example).unwrap(),
    );
    const kinds = intents.flatMap(({changes}) => changes.map(({kind}) => kind));
    expect([...new Set(kinds)].sort()).toEqual([
      'join',
      'leave',
      'own',
      'serve',
      'service',
      'switch-off',
      'workspace',
    ]);
  });
});
