import {startSite, type Site} from './site';

/** Whether the rule was broken, and what was seen. */
export interface Verdict {
  readonly isBroken: boolean;
  readonly lines: readonly string[];
}

/**
 * Exit codes of a case. Node.js itself ends with 1 on an error, so a broken rule
 * has a code of its own, which `run.sh` maps.
 */
const HELD = 0;
const BROKEN = 10;
const NOT_RUN = 2;

/** Time after which a case counts as not run, in ms. */
const MAX_DURATION = 115_000;

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/**
 * Plays a case on a new site and ends the process with the verdict; `play`
 * returns undefined if the case could not run.
 */
export async function runCase(
  number: number,
  play: (site: Site) => Promise<Verdict | undefined>,
): Promise<never> {
  const site = await startSite(`review/${number}/record.txt`);
  const end = async (code: number): Promise<never> => {
    await site.close();
    process.exit(code);
  };
  const fail = (error: unknown): void => {
    site.log(`the case failed: ${String(error)}`);
    void end(NOT_RUN);
  };
  process.once('uncaughtException', fail);
  process.once('SIGTERM', fail);
  process.once('SIGINT', fail);
  setTimeout(() => void end(NOT_RUN), MAX_DURATION).unref();
  let verdict: Verdict | undefined;
  try {
    verdict = await play(site);
  } catch (error) {
    site.log(`the case failed: ${String(error)}`);
  }
  if (verdict === undefined) {
    console.log('the case could not run');
    return end(NOT_RUN);
  }
  const result = verdict.isBroken ? 'the rule was broken' : 'the rule held';
  for (const line of [...verdict.lines, result]) {
    site.log(line);
    console.log(line);
  }
  return end(verdict.isBroken ? BROKEN : HELD);
}
