import {readFileSync, readdirSync} from 'node:fs';
import {parse} from 'smol-toml';
import {expect, test} from 'vitest';

const FOLDER = 'deploy/days';

interface DayEvent {
  readonly kind: unknown;
  readonly at: unknown;
}

interface Day {
  readonly name: string;
  readonly plan?: readonly DayEvent[];
  readonly faults?: readonly DayEvent[];
}

const files = readdirSync(FOLDER);

function readDay(file: string): Day {
  return parse(readFileSync(`${FOLDER}/${file}`, 'utf8')) as unknown as Day;
}

test.each(files)('%s is a day that any site can play', file => {
  const {name, plan = [], faults = []} = readDay(file);
  expect(`${name.replaceAll('-', '_')}.toml`).toBe(file);
  expect(plan.length + faults.length).toBeGreaterThan(0);
  for (const {kind, at} of [...plan, ...faults]) {
    expect(typeof kind).toBe('string');
    expect(typeof at).toBe('number');
  }
});

// Names of services, kinds of request and zones differ on each site. A day that
// names one is played nowhere else.
test.each(files)('%s names nothing of a site', file => {
  const text = readFileSync(`${FOLDER}/${file}`, 'utf8');
  const places = [...text.matchAll(/(?:service|class|zone) = "([^"]*)"/g)];
  for (const [, place] of places) expect(place).toMatch(/^@[csz]\d$/);
});
