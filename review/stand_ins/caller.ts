import {connect} from 'node:net';

/** What a caller has received on one connection of its own. */
export interface Answer {
  readonly status: number | undefined;
  readonly head: string;
  readonly body: string;
  /** How the connection ended, or `complete` if the framing ended the body. */
  readonly end: 'complete' | 'closed' | 'reset';
  /** Whether HTTP calls the body complete. */
  readonly looksComplete: boolean;
}

/** Sends a request on a connection of its own and reads until its end. */
export function sendAlone(address: string, text: string): Promise<Answer> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let received = '';
    const socket = connect({host, port: Number(port)});
    socket.setEncoding('latin1');
    socket.on('data', (part: string) => {
      received += part;
      if (isFramedEnd(received)) finish('complete');
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', () => finish('reset'));
    socket.on('connect', () => socket.write(text));

    function finish(end: Answer['end']): void {
      socket.destroy();
      resolve(toAnswer(received, end));
    }
  });
}

function splitAnswer(received: string): readonly [string, string] | undefined {
  const at = received.indexOf('\r\n\r\n');
  if (at === -1) return undefined;
  return [received.slice(0, at), received.slice(at + 4)];
}

function lengthOf(head: string): number | undefined {
  const value = /^content-length: *(\d+)/im.exec(head)?.[1];
  return value === undefined ? undefined : Number(value);
}

function isChunked(head: string): boolean {
  return /^transfer-encoding: *chunked/im.test(head);
}

function isFramedEnd(received: string): boolean {
  const parts = splitAnswer(received);
  if (parts === undefined) return false;
  const [head, body] = parts;
  const length = lengthOf(head);
  if (length !== undefined) return body.length >= length;
  return isChunked(head) && /(^|\r\n)0\r\n\r\n$/.test(body);
}

function toAnswer(received: string, end: Answer['end']): Answer {
  const parts = splitAnswer(received);
  if (parts === undefined) {
    return {
      status: undefined,
      head: received,
      body: '',
      end,
      looksComplete: false,
    };
  }
  const [head, body] = parts;
  const isUnframed = lengthOf(head) === undefined && !isChunked(head);
  return {
    status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]),
    head,
    body,
    end,
    looksComplete: end === 'complete' || (isUnframed && end === 'closed'),
  };
}

/** Asks a directory for the addresses of entries; empty without an answer. */
export async function resolve(
  directoryAddress: string,
  host: string,
): Promise<readonly string[]> {
  const text = `GET /resolve?Name=${host}&Region=north&Zone=north HTTP/1.1\r\nHost: ${directoryAddress}\r\nConnection: close\r\n\r\n`;
  const answer = await sendAlone(directoryAddress, text);
  if (answer.status !== 200) return [];
  return (JSON.parse(answer.body) as {Addresses: string[]}).Addresses;
}
