import {readFileSync, readdirSync} from 'node:fs';
import {parse} from 'smol-toml';
import {expect, test} from 'vitest';

const FOLDER = 'deploy/days';

interface DayEvent {
  readonly kind: unknown;
  readonly at: unknown;
}

interface Scenario {
  readonly name: string;
  readonly plan?: readonly DayEvent[];
  readonly faults?: readonly DayEvent[];
}

const files = readdirSync(FOLDER);

function readScenario(file: string): Scenario {
  return parse(
    readFileSync(`${FOLDER}/${file}`, 'utf8'),
  ) as unknown as Scenario;
}

test.each(files)('%s is a valid scenario of plan steps and faults', file => {
  const {name, plan = [], faults = []} = readScenario(file);
  expect(`${name.replaceAll('-', '_')}.toml`).toBe(file);
  expect(plan.length + faults.length).toBeGreaterThan(0);
  for (const {kind, at} of [...plan, ...faults]) {
    expect(typeof kind).toBe('string');
    expect(typeof at).toBe('number');
  }
});

// Names of services, request classes and zones differ between sites. A scenario
// with such a name could run on one site only.
test.each(files)('%s contains no names of a particular site', file => {
  const text = readFileSync(`${FOLDER}/${file}`, 'utf8');
  const labels = [...text.matchAll(/(?:service|class|zone) = "([^"]*)"/g)];
  for (const [, label] of labels) expect(label).toMatch(/^@[csz]\d$/);
});
