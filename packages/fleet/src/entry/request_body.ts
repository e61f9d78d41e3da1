import type {IncomingMessage} from 'node:http';

/** Reads a whole body; bodies are small and may have to be sent again. */
export function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer | 'tooLarge' | 'gone'> {
  return new Promise(resolve => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > limit) resolve('tooLarge');
      else parts.push(part);
    });
    request.on('end', () => resolve(Buffer.concat(parts)));
    request.on('error', () => resolve('gone'));
    request.on('close', () => resolve('gone'));
  });
}

/** Header lines with the length of the body as it is sent on. */
export function withContentLength(
  lines: readonly string[],
  method: string | undefined,
  body: Buffer,
): readonly string[] {
  const bodyless = method === 'GET' || method === 'HEAD';
  if (bodyless && body.length === 0) return lines;
  return [...lines, 'Content-Length', String(body.length)];
}
