import type {
  AcceptedConfiguration,
  DigestText,
  JsonValue,
  PlanId,
  SiteConfiguration,
} from '../../types';
import {canonicalJson} from '../../utils/canonical_json';

/**
 * Digest of a configuration together with the id of the plan that creates it.
 */
export function digestConfiguration(
  digestText: DigestText,
  planId: PlanId,
  configuration: SiteConfiguration,
): string {
  return digestText(
    canonicalJson({planId, configuration} as unknown as JsonValue),
  );
}

/** Whether the digest of an accepted configuration matches its content. */
export function hasValidDigest(
  digestText: DigestText,
  accepted: AcceptedConfiguration,
): boolean {
  const {planId, configuration} = accepted;
  const expected = digestConfiguration(digestText, planId, configuration);
  return expected === accepted.digest;
}
