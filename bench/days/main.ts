import {copyFileSync, readFileSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {parseArgs} from 'node:util';
import {parse as parseToml, stringify as writeToml} from 'smol-toml';
import {parse as parseYaml} from 'yaml';
import * as z from 'zod';
import {makeDays, type DaySet} from './make_days';

/** The troubles that hurt most together, for every site. */
const PAIRS = 'bench/days/pairs.yaml';

const USAGE =
  'usage: npm run bench:days -- SITE.toml OUTPUT.toml --set alone|twice|pairs';

const table = z.record(z.string(), z.unknown());

const siteSchema = z.looseObject({
  wire: z.string().optional(),
  troubles: z.array(table),
  day: z.array(table).min(1),
});

const pairsSchema = z.array(
  z.object({
    name: z.string(),
    plan: z.array(table).default([]),
    faults: z.array(table).default([]),
    closing: table.optional(),
  }),
);

function chosenSet(name: string | undefined): DaySet | undefined {
  switch (name) {
    case 'alone':
    case 'twice':
    case 'pairs':
      return name;
    default:
      return undefined;
  }
}

function main(): void {
  const {positionals, values} = parseArgs({
    allowPositionals: true,
    options: {set: {type: 'string'}},
  });
  const [sitePath, output] = positionals;
  const set = chosenSet(values.set);
  if (sitePath === undefined || output === undefined || set === undefined) {
    console.error(USAGE);
    process.exit(2);
  }
  const site = siteSchema.parse(parseToml(readFileSync(sitePath, 'utf8')));
  const pairs = pairsSchema.parse(parseYaml(readFileSync(PAIRS, 'utf8')));
  const days = makeDays(set, site.day[0]!, site.troubles, pairs);
  writeFileSync(output, writeToml({...site, day: days}));
  if (site.wire !== undefined) {
    copyFileSync(
      join(dirname(sitePath), site.wire),
      join(dirname(output), site.wire),
    );
  }
  for (const {name} of days) console.log(name);
}

main();
