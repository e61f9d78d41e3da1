import {readFileSync, readdirSync} from 'node:fs';
import {defineConfig} from 'vitest/config';

interface RemovedGuard {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

/**
 * With GUARD_REMOVED=<name>, serves the named source file without that guard,
 * so that a proof can be seen to fail. See scripts/check_guards.mjs.
 */
function removeGuard(name: string | undefined) {
  const guards = readdirSync('test/guards')
    .filter(file => file.endsWith('.json'))
    .flatMap(
      file =>
        JSON.parse(
          readFileSync(`test/guards/${file}`, 'utf8'),
        ) as RemovedGuard[],
    );
  const guard = guards.find(candidate => candidate.name === name);
  if (name !== undefined && guard === undefined) {
    throw new Error(`no guard is named ${name} in test/guards`);
  }
  return {
    name: 'remove-guard',
    enforce: 'pre' as const,
    transform(code: string, id: string): string | undefined {
      if (guard === undefined || !id.endsWith(guard.file)) return undefined;
      if (!code.includes(guard.find)) {
        throw new Error(`${guard.name}: text to replace not found`);
      }
      return code.replace(guard.find, guard.replace);
    },
  };
}

const TIMEOUTS = {testTimeout: 60_000, hookTimeout: 120_000};

export default defineConfig({
  test: {
    projects: [
      {
        plugins: [removeGuard(process.env.GUARD_REMOVED)],
        test: {
          ...TIMEOUTS,
          name: 'parts',
          include: ['test/**/*.test.ts'],
          exclude: ['test/processes/**', 'test/soak/**'],
          sequence: {groupOrder: 0},
        },
      },
      {
        test: {
          ...TIMEOUTS,
          name: 'processes',
          include: ['test/processes/**/*.test.ts', 'test/soak/*.test.ts'],
          // Each file starts a site of up to a dozen processes; several sites
          // beside property tests would starve one another's heartbeats.
          fileParallelism: false,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
