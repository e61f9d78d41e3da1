import {hash32, type ServiceDescription} from '@hibiscusbeam/core';

/**
 * Digest of the configured services; the same in each process that has read
 * them.
 */
export function servicesDigest(
  services: readonly ServiceDescription[],
): number {
  return hash32(JSON.stringify(services));
}
