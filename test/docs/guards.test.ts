import {existsSync, readFileSync, readdirSync} from 'node:fs';
import {describe, expect, test} from 'vitest';

interface Guard {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly test: string;
}

const GUARDS = readdirSync('test/guards').flatMap(
  file =>
    JSON.parse(readFileSync(`test/guards/${file}`, 'utf8')) as readonly Guard[],
);

// A guard whose text is missing from its file cannot be removed, so nothing
// would check that its test fails without it.
describe('the list of guards', () => {
  test('names each guard once', () => {
    const names = GUARDS.map(guard => guard.name);
    expect(new Set(names).size).toBe(names.length);
  });

  test.each(GUARDS)('matches the source: $name', guard => {
    const source = readFileSync(guard.file, 'utf8');
    expect(source.split(guard.find).length - 1).toBe(1);
    expect(existsSync(guard.test)).toBe(true);
  });
});
