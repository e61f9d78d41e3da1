// Loaded by `bench:control` into the processes that it measures: counts timers
// that ran, by where they were set, and writes the counts at the process's end.
const {writeFileSync} = require('node:fs');

const counts = new Map();

function callerOf() {
  const lines = (new Error().stack ?? '').split('\n').slice(3, 6);
  return lines
    .map(line =>
      line
        .trim()
        .replace(/^at /, '')
        .replace(/\(.*[/\\]/, '('),
    )
    .join(' < ');
}

function count(place) {
  counts.set(place, (counts.get(place) ?? 0) + 1);
}

for (const name of ['setTimeout', 'setInterval', 'setImmediate']) {
  const original = globalThis[name];
  globalThis[name] = (action, ...rest) => {
    const place = `${name} ${callerOf()}`;
    return original(
      (...passed) => {
        count(place);
        action(...passed);
      },
      ...rest,
    );
  };
}

process.on('exit', () => {
  const file = process.env.TIMER_COUNTS;
  if (file === undefined) return;
  const rows = [...counts].sort(([, one], [, other]) => other - one);
  writeFileSync(file, JSON.stringify(rows, undefined, 1));
});
