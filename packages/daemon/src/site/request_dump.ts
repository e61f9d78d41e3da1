import {credentials, Metadata, status, type ServiceError} from '@grpc/grpc-js';
import {PeerClient} from '@hibiscusbeam/wire';
import {Err, Ok, type Result} from 'ts-results';

/** Why the dump of a process could not be read. */
export interface DumpError {
  readonly kind: 'refused' | 'unreachable';
  readonly detail: string;
}

const REPLY_TIMEOUT_MS = 10_000;
const MAX_DUMP_BYTES = 16 * 1_024 * 1_024;

/** Requests the state of the process at `address` (`IP:port`), as JSON. */
export function requestDump(
  address: string,
  siteKey: string,
): Promise<Result<string, DumpError>> {
  const client = new PeerClient(address, credentials.createInsecure(), {
    'grpc.max_receive_message_length': MAX_DUMP_BYTES,
  });
  const metadata = new Metadata();
  metadata.set('authorization', `Bearer ${siteKey}`);
  const deadline = Date.now() + REPLY_TIMEOUT_MS;
  return new Promise(resolve => {
    client.dump({}, metadata, {deadline}, (error, reply) => {
      client.close();
      resolve(error === null ? Ok(reply.json) : Err(toDumpError(error)));
    });
  });
}

function toDumpError(error: ServiceError): DumpError {
  const refused =
    error.code === status.UNAUTHENTICATED ||
    error.code === status.PERMISSION_DENIED;
  return {
    kind: refused ? 'refused' : 'unreachable',
    detail: error.details,
  };
}
