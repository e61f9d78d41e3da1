// Preloaded by `bench:control` into the measured processes. Counts the timers
// that ran by call site and writes the counts when the process exits.
const {writeFileSync} = require('node:fs');

const counts = new Map();

function findCallSite() {
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

function recordRun(callSite) {
  counts.set(callSite, (counts.get(callSite) ?? 0) + 1);
}

for (const name of ['setTimeout', 'setInterval', 'setImmediate']) {
  const original = globalThis[name];
  globalThis[name] = (action, ...rest) => {
    const callSite = `${name} ${findCallSite()}`;
    return original(
      (...passed) => {
        recordRun(callSite);
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
