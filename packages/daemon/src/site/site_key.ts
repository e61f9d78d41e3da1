import {Metadata, status, type ServiceError} from '@grpc/grpc-js';
import {bearerKey, isSameKey} from '../runtime/keys';

const AUTHORIZATION = 'authorization';

/** Metadata that shows the site's key to another process. */
export function siteKeyMetadata(siteKey: string): Metadata {
  const metadata = new Metadata();
  metadata.set(AUTHORIZATION, `Bearer ${siteKey}`);
  return metadata;
}

/** Refusal of a call without the site's key, or undefined when it is shown. */
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
