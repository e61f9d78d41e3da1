import {parseArgs} from 'node:util';
import type {BenchCase, SiteSize} from './cases';
import {CASES, LOAD_END_MS} from './cases';
import {createLoad} from './load';
import type {PolicyFigures} from './metrics';
import type {PolicyName} from './members';
import {runSite} from './site';

const POLICIES: readonly PolicyName[] = [
  'hibiscusbeam',
  'round-robin',
  'random',
  'least-in-flight',
];

interface CaseFigures {
  readonly case: string;
  readonly policies: {readonly [policy: string]: PolicyFigures};
}

const {values} = parseArgs({
  options: {
    json: {type: 'boolean', default: false},
    seed: {type: 'string', default: '1'},
    entries: {type: 'string', default: '8'},
    engines: {type: 'string', default: '8'},
    case: {type: 'string'},
    policy: {type: 'string'},
  },
});
const seed = Number(values.seed);
const size: SiteSize = {
  entries: Number(values.entries),
  engines: Number(values.engines),
  zones: 3,
};

function runCase(benchCase: BenchCase): CaseFigures {
  const load = createLoad(seed, size, benchCase.rate, LOAD_END_MS);
  const policies = POLICIES.filter(
    name => values.policy === undefined || name === values.policy,
  );
  const figures = policies.map(name => {
    const metrics = runSite(benchCase, name, size, load, seed);
    return [name, metrics.figures()] as const;
  });
  return {case: benchCase.name, policies: Object.fromEntries(figures)};
}

function printTable(cases: readonly CaseFigures[]): void {
  for (const {case: name, policies} of cases) {
    console.log(name);
    console.table(policies);
  }
}

const cases = CASES.filter(
  benchCase => values.case === undefined || benchCase.name === values.case,
).map(runCase);
if (values.json) console.log(JSON.stringify({seed, cases}));
else printTable(cases);
