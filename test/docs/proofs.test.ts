import {existsSync, readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';

interface NamedTest {
  readonly file: string;
  readonly name: string;
}

const REFERENCE = /`([\w/]+\.test\.ts)` › ([^;|)\n]+?)(?=;| \||\)|$)/gm;

function namedTests(page: string): readonly NamedTest[] {
  return [...page.matchAll(REFERENCE)].map(match => ({
    file: `test/${match[1]}`,
    name: match[2]?.trim() ?? '',
  }));
}

/** Also matches names with parameters, which are templates in the source. */
function sourceHolds(source: string, name: string): boolean {
  if (source.includes(name)) return true;
  const pattern = name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
  const anyNumber = pattern.replace(
    /\d+/g,
    String.raw`(\$\{[^}]*\}|%\w|\$\w+)`,
  );
  return new RegExp(anyNumber).test(source);
}

describe('the page of proofs', () => {
  const page = readFileSync('docs/PROOFS.md', 'utf8');
  const named = namedTests(page);

  test('names a test for most faults', () => {
    expect(named.length).toBeGreaterThan(50);
  });

  test.each(named)('$file has: $name', ({file, name}) => {
    expect(existsSync(file)).toBe(true);
    expect(sourceHolds(readFileSync(file, 'utf8'), name)).toBe(true);
  });
});
