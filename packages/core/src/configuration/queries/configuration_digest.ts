import type {
  AcceptedConfiguration,
  DigestText,
  JsonValue,
  PlanId,
  SiteConfiguration,
} from '../../types';
import {canonicalJson} from '../../utils/canonical_json';

/** Digest of a configuration as the plan with `planId` brings it. */
export function digestConfiguration(
  digestText: DigestText,
  planId: PlanId,
  configuration: SiteConfiguration,
): string {
  return digestText(
    canonicalJson({planId, configuration} as unknown as JsonValue),
  );
}

/** Whether the configuration is the one that its digest names. */
export function hasValidDigest(
  digestText: DigestText,
  accepted: AcceptedConfiguration,
): boolean {
  const {planId, configuration} = accepted;
  const expected = digestConfiguration(digestText, planId, configuration);
  return expected === accepted.digest;
}
