import {Metadata, status, type ServiceError} from '@grpc/grpc-js';
import {bearerKey, isSameKey} from '../runtime/keys';

const AUTHORIZATION = 'authorization';

/** Metadata that carries the site's key to another process. */
export function siteKeyMetadata(siteKey: string): Metadata {
  const metadata = new Metadata();
  metadata.set(AUTHORIZATION, `Bearer ${siteKey}`);
  return metadata;
}

/** The refusal of a call without the site's key; undefined if it has it. */
export function refuseWithoutSiteKey(
  metadata: Metadata,
  siteKey: string,
): Partial<ServiceError> | undefined {
  const header = metadata.get(AUTHORIZATION)[0];
  const key = bearerKey(typeof header === 'string' ? header : undefined);
  if (key !== undefined && isSameKey(key, siteKey)) return undefined;
  return {
    code: status.UNAUTHENTICATED,
    details: "show the site's key as a bearer key",
  };
}
