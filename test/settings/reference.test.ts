import {readFileSync} from 'node:fs';
import {describeFields, loadSettings} from '@hibiscusbeam/daemon';
import {Ok} from 'ts-results';
import {expect, test} from 'vitest';
import {tableRows} from '../fixtures/markdown';

const PAGE = readFileSync('docs/settings.md', 'utf8');

test('the settings page lists every field as the schema defines it', () => {
  const expected = describeFields().map(field => [
    field.path,
    field.roles.join(', '),
    field.type,
    field.default,
    field.meaning.replaceAll('`', ''),
    field.example,
  ]);
  expect(tableRows(PAGE, 'Field')).toEqual(expected);
});

test('the examples on the settings page are valid settings', () => {
  const examples = [...PAGE.matchAll(/```yaml\n(.*?)```/gs)];
  const loaded = examples.map(([, text = '']) =>
    loadSettings(text, 'example.yaml', () => Ok('a-site-key-of-good-length')),
  );
  expect(loaded.map(settings => settings.ok)).toEqual([true, true]);
});
