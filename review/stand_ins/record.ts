import {writeFileSync} from 'node:fs';

/** Lines of what was sent, answered and run, with the time of each. */
export interface Record {
  readonly add: (line: string) => void;
  readonly write: (file: string) => void;
}

/** Creates a record whose times count from now, in seconds. */
export function createRecord(): Record {
  const startedAt = performance.now();
  const lines: string[] = [];
  return {
    add: line => {
      const seconds = (performance.now() - startedAt) / 1_000;
      lines.push(`${seconds.toFixed(3)} ${line}`);
    },
    write: file => writeFileSync(file, `${lines.join('\n')}\n`),
  };
}
