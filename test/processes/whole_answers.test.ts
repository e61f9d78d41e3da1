import {answerText} from '@hibiscusbeam/standins';
import {afterAll, beforeAll, describe, expect, test} from 'vitest';
import {publishVersion, serveChange, waitUntilServed} from '../../demo/rollout';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {generate, type GenerateResult} from './callers';
import {
  planAndConfirm,
  entryUrl,
  runsAt,
  setFaults,
  startServedSite,
  type ServedSite,
} from './served_site';

const TOKENS = 40;

let site: ServedSite;
let urls: readonly string[];

beforeAll(async () => {
  site = await startServedSite({entries: 2, engines: 2, plainServices: 0});
  urls = [entryUrl(site, 0), entryUrl(site, 1)];
});

afterAll(() => site?.stop());

interface PromptAnswer {
  readonly prompt: string;
  readonly answer: GenerateResult;
}

/** Sends `count` concurrent requests, through both entries in turn. */
function sendMany(
  name: string,
  count: number,
  deadline = '20s',
): Promise<readonly PromptAnswer[]> {
  const prompts = Array.from({length: count}, (_, index) => `${name} ${index}`);
  return Promise.all(
    prompts.map(async (prompt, index) => ({
      prompt,
      answer: await generate(urls[index % urls.length] ?? '', {
        prompt,
        maximumTokens: TOKENS,
        deadline,
      }),
    })),
  );
}

/** Version and prompt determine the text, so a mixed answer is detected. */
function expectOwnWholeAnswer({prompt, answer}: PromptAnswer): void {
  const {versionDigest} = answer;
  expect(answer.tokens).toBe(TOKENS);
  expect(answer.text).toBe(answerText({versionDigest, prompt}, TOKENS));
}

/** The answer may be cut short, but not be mixed with another one. */
function expectOwnPrefix({prompt, answer}: PromptAnswer): void {
  const {versionDigest, tokens, text} = answer;
  expect(text).toBe(answerText({versionDigest, prompt}, tokens));
}

async function setEngineFaults(faults: unknown): Promise<void> {
  await Promise.all(site.engines.map(({url}) => setFaults(url, faults)));
}

describe('a caller of a model', () => {
  // The engine sends answers on the connections of other callers, and some of
  // them late. Each caller must get its own answer or none.
  test('gets its own answer when the engine crosses and delays answers', async () => {
    await setEngineFaults({crossNext: 6, lateNext: 4, lateBy: 700});
    const answers = await sendMany('crossed', 32);
    await setEngineFaults({crossNext: 0, lateNext: 0});
    for (const one of answers) {
      expect(one.answer.outcome).toBe('whole');
      expectOwnWholeAnswer(one);
    }
  });

  // The connection to an engine breaks in the middle of an answer. The entry
  // must resume the answer at another engine with the same version, or end the
  // stream without its end line.
  test('gets a whole answer or none when a connection is cut in mid-stream', async () => {
    await setEngineFaults({dropNext: 2});
    const answers = await sendMany('cut', 24);
    await setEngineFaults({dropNext: 0});
    for (const one of answers) {
      expectOwnPrefix(one);
      if (one.answer.outcome === 'whole') expectOwnWholeAnswer(one);
      else expect(one.answer.outcome).toBe('outcomeUnknown');
    }
    // Four broken connections in 24 first attempts are within the retry budget.
    expect(answers.map(({answer}) => answer.outcome)).not.toContain('notRun');
    const whole = answers.filter(({answer}) => answer.outcome === 'whole');
    expect(whole.length).toBeGreaterThanOrEqual(20);
  });

  // An engine accepts requests but sends nothing. Callers must get an answer
  // from the other engine or an outcome by their deadline.
  test('is answered by another engine, or told so, when one is frozen', async () => {
    const [frozen] = site.engines;
    if (frozen === undefined) throw new Error('no engine');
    const before = Object.keys(await runsAt(frozen)).length;
    await setFaults(frozen.url, {frozen: true});
    const answers = await sendMany('frozen', 16, '12s');
    await setFaults(frozen.url, {frozen: false});
    for (const one of answers) {
      expectOwnPrefix(one);
      if (one.answer.outcome === 'whole') expectOwnWholeAnswer(one);
      else expect(['notRun', 'outcomeUnknown']).toContain(one.answer.outcome);
    }
    expect(answers.some(({answer}) => answer.outcome === 'whole')).toBe(true);
    expect(Object.keys(await runsAt(frozen)).length).toBeGreaterThanOrEqual(
      before,
    );
    const after = await sendMany('thawed', 4);
    for (const one of after) expectOwnWholeAnswer(one);
  });

  // A new version is rolled out under constant load while connections break. An
  // answer that starts on the old version must not be finished by the new one.
  test('never gets a mix of two versions while engines swap and links break', async () => {
    const next = await publishVersion(site, 'second', 2, site.versionDigest);
    const names = site.engines.map(({name}) => name);
    const answers: PromptAnswer[] = [];
    let swapped = false;
    const sendRepeatedly = async (caller: number): Promise<void> => {
      for (let round = 0; !swapped || round < 2; round += 1) {
        const prompt = `swap ${caller} ${round}`;
        const answer = await generate(urls[caller % urls.length] ?? '', {
          prompt,
          maximumTokens: TOKENS,
        });
        answers.push({prompt, answer});
        if (round % 5 === 0) await setEngineFaults({dropNext: 1});
      }
    };
    const callers = [0, 1, 2, 3].map(sendRepeatedly);
    await planAndConfirm(site, {
      summary: 'serve the second version',
      changes: [serveChange(names, 'second')],
    });
    await waitUntilServed(site, next, DEMO_KEYS.operator);
    swapped = true;
    await Promise.all(callers);
    await setEngineFaults({dropNext: 0});

    for (const one of answers) {
      expectOwnPrefix(one);
      if (one.answer.outcome === 'whole') expectOwnWholeAnswer(one);
    }
    const versions = new Set(
      answers
        .filter(({answer}) => answer.outcome === 'whole')
        .map(({answer}) => answer.versionDigest),
    );
    expect([...versions].sort()).toEqual([site.versionDigest, next].sort());
  });
});
