import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {basename} from 'node:path';
import {describe, expect, test} from 'vitest';

const FILES = execFileSync('git', ['ls-files'], {encoding: 'utf8'})
  .trim()
  .split('\n');

const PAGES = FILES.filter(
  file =>
    file === 'README.md' ||
    file === 'CONTRIBUTING.md' ||
    (/^docs\/.*\.md$/.test(file) && !file.startsWith('docs/incidents/')),
);

const SOURCES = FILES.filter(
  file =>
    /\.(ts|mjs|cjs|proto|json|toml|template)$/.test(file) &&
    !/^(journal|docs)\/|package-lock/.test(file),
);

/** Names of the operating system, which no source of ours holds. */
const OTHER_NAMES = new Set(['CLOCK_BOOTTIME']);

const PATH = /^[\w./-]+\.(ts|mjs|cjs|json|toml|md|template|proto)$/;
const IDENTIFIER =
  /^([a-z]+[A-Z]\w*|[A-Z][a-z]+[A-Z]\w*|[A-Z][A-Z0-9]*(_[A-Z0-9]+)+|[a-z]+(_[a-z0-9]+)+)$/;

/** Words of all sources, and the names of their files without endings. */
function namesInTree(): ReadonlySet<string> {
  const names = new Set(OTHER_NAMES);
  for (const file of SOURCES) {
    names.add(basename(file).split('.')[0] ?? '');
    const text = readFileSync(file, 'utf8');
    for (const [word] of text.matchAll(/[A-Za-z_]\w*/g)) names.add(word);
  }
  return names;
}

/** What a page quotes as code outside of its blocks. */
function quotedIn(page: string): readonly string[] {
  const text = readFileSync(page, 'utf8').replaceAll(/```.*?```/gs, '');
  return [...text.matchAll(/`([^`\n]+)`/g)].map(match => match[1] ?? '');
}

function isFile(path: string): boolean {
  // Built files are in no checkout.
  if (path.startsWith('dist/') || path.startsWith('target/')) return true;
  return FILES.some(file => file === path || file.endsWith(`/${path}`));
}

// A rename in the code leaves the pages behind: they then name files and
// identifiers that a reader can't find.
describe('names in the pages', () => {
  const names = namesInTree();

  test.each(PAGES)('%s names what is in the tree', page => {
    const missing = quotedIn(page).filter(quoted =>
      PATH.test(quoted)
        ? !isFile(quoted)
        : IDENTIFIER.test(quoted) && !names.has(quoted),
    );
    expect(missing).toEqual([]);
  });
});
