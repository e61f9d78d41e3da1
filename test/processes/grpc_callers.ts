import {
  Client,
  credentials,
  Metadata,
  status,
  type ClientReadableStream,
} from '@grpc/grpc-js';

/** Methods of the site protocol with their kinds. */
export const SITE_METHODS = [
  {path: '/hibiscusbeam.v1.Peer/Session', kind: 'duplex'},
  {path: '/hibiscusbeam.v1.Peer/PullConfiguration', kind: 'unary'},
  {path: '/hibiscusbeam.v1.Peer/Dump', kind: 'unary'},
  {path: '/hibiscusbeam.v1.Agent/Serve', kind: 'stream'},
  {path: '/hibiscusbeam.v1.Agent/Collect', kind: 'stream'},
  {path: '/hibiscusbeam.v1.Agent/Tombstone', kind: 'unary'},
  {path: '/hibiscusbeam.v1.Agent/FetchChunk', kind: 'stream'},
] as const;

/** One of {@link SITE_METHODS}. */
export type SiteMethod = (typeof SITE_METHODS)[number];

/** The result of a call. */
export interface SiteReply {
  readonly code: status;
  readonly messages: readonly Buffer[];
}

/** A client of the site protocol that sends arbitrary bytes. */
export interface SiteCaller {
  /** Sends one message, or several for a session. */
  readonly call: (
    method: SiteMethod,
    contents: readonly Buffer[],
    metadata: Metadata,
  ) => Promise<SiteReply>;
  readonly close: () => void;
}

/** A call that takes longer counts as hanging. */
const MAX_CALL_MS = 20_000;

/** Metadata with the given `authorization` or none. */
export function withAuthorization(value: string | undefined): Metadata {
  const metadata = new Metadata();
  if (value !== undefined) metadata.set('authorization', value);
  return metadata;
}

/** Connects to the process at a site address. */
export function createSiteCaller(address: string): SiteCaller {
  const client = new Client(address, credentials.createInsecure());
  const asIs = (content: Buffer): Buffer => content;

  const openStream = (
    {path, kind}: SiteMethod,
    contents: readonly Buffer[],
    metadata: Metadata,
    deadline: Date,
  ): ClientReadableStream<Buffer> => {
    const options = {deadline};
    if (kind === 'stream') {
      const [content = Buffer.alloc(0)] = contents;
      return client.makeServerStreamRequest(
        path,
        asIs,
        asIs,
        content,
        metadata,
        options,
      );
    }
    const stream = client.makeBidiStreamRequest(
      path,
      asIs,
      asIs,
      metadata,
      options,
    );
    for (const content of contents) stream.write(content);
    stream.end();
    return stream;
  };

  const call: SiteCaller['call'] = (method, contents, metadata) =>
    new Promise(resolve => {
      const deadline = new Date(Date.now() + MAX_CALL_MS);
      const messages: Buffer[] = [];
      const end = (code: status): void => resolve({code, messages});
      if (method.kind === 'unary') {
        client.makeUnaryRequest(
          method.path,
          asIs,
          asIs,
          contents[0] ?? Buffer.alloc(0),
          metadata,
          {deadline},
          (error, reply) => {
            if (reply !== undefined) messages.push(reply);
            end(error?.code ?? status.OK);
          },
        );
        return;
      }
      const stream = openStream(method, contents, metadata, deadline);
      stream.on('data', (message: Buffer) => messages.push(message));
      stream.on('error', () => undefined);
      stream.on('status', ({code}: {code: status}) => end(code));
    });

  return {call, close: () => client.close()};
}
