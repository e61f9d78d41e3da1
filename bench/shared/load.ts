import {request, Agent} from 'undici';
import {DEMO_KEYS} from '../../demo/site/settings_files';

/** Parameters of a load of generate requests. */
export interface LoadOptions {
  readonly url: string;
  readonly model: string;
  readonly requests: number;
  readonly concurrency: number;
  readonly tokens: number;
}

/** The result of a load. */
export interface LoadResult {
  readonly seconds: number;
  readonly answered: number;
  readonly others: number;
  readonly tokens: number;
  /** Milliseconds to the first token, sorted. */
  readonly firstTokens: readonly number[];
}

const HEADERS = {
  'content-type': 'application/json',
  authorization: `Bearer ${DEMO_KEYS.workspaces['mower-app']}`,
};

/** Sends requests in a closed loop with a fixed concurrency. */
export async function sendLoad(options: LoadOptions): Promise<LoadResult> {
  const dispatcher = new Agent({connections: options.concurrency});
  const firstTokens: number[] = [];
  let sent = 0;
  let answered = 0;
  let others = 0;
  let tokens = 0;

  const sendOne = async (number: number): Promise<void> => {
    const startedAt = performance.now();
    const reply = await request(
      `${options.url}/v1/models/${options.model}/generate`,
      {
        method: 'POST',
        dispatcher,
        headers: HEADERS,
        body: JSON.stringify({
          prompt: `prompt ${number}`,
          maximumTokens: options.tokens,
          firstTokenWithin: '30s',
          deadline: '60s',
        }),
      },
    );
    let lines = 0;
    let last = '';
    for await (const piece of reply.body) {
      const text = (piece as Buffer).toString();
      if (lines === 0) firstTokens.push(performance.now() - startedAt);
      for (const line of text.split('\n')) {
        if (line.includes('"kind":"token"')) lines += 1;
      }
      last = text;
    }
    tokens += lines;
    if (reply.statusCode === 200 && last.includes('"kind":"end"')) {
      answered += 1;
    } else others += 1;
  };

  const startedAt = performance.now();
  await Promise.all(
    Array.from({length: options.concurrency}, async () => {
      while (sent < options.requests) {
        sent += 1;
        await sendOne(sent);
      }
    }),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  await dispatcher.close();
  firstTokens.sort((left, right) => left - right);
  return {seconds, answered, others, tokens, firstTokens};
}

/** The quantile of sorted values at `share`, from 0 to 1. */
export function quantile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return sorted[index] ?? 0;
}
