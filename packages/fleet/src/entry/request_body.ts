import type {IncomingMessage} from 'node:http';

/**
 * Reads the whole body into memory: bodies are small and may have to be sent
 * again. Resolves to `tooLarge` once `limit` bytes are exceeded, and to `gone`
 * if the connection closes first.
 */
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

/** Adds a Content-Length for the body as it is forwarded. */
export function withContentLength(
  lines: readonly string[],
  method: string | undefined,
  body: Buffer,
): readonly string[] {
  const bodyless = method === 'GET' || method === 'HEAD';
  if (bodyless && body.length === 0) return lines;
  return [...lines, 'Content-Length', String(body.length)];
}
