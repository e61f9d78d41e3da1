import {
  confirmByCommand,
  initialIntent,
  planByCommand,
  publishVersion,
  waitUntilServed,
} from '../../demo/rollout';
import {DEMO_KEYS} from '../../demo/site/settings_files';
import {
  startSmallSite,
  type SmallSite,
  type SmallSiteOptions,
} from '../../demo/site/small_site';

/** Starts a site and rolls out one version. */
export async function startServedSite(
  options: Partial<SmallSiteOptions>,
): Promise<SmallSite> {
  const site = await startSmallSite({
    entries: 2,
    engines: 4,
    plainServices: 0,
    binary: false,
    ...options,
  });
  try {
    const version = await publishVersion(site, 'one', 1);
    const {plan} = await planByCommand(site, initialIntent(site, 'one'));
    await confirmByCommand(site, plan.planId);
    await waitUntilServed(site, version, DEMO_KEYS.operator);
    return site;
  } catch (error) {
    await site.stop();
    throw error;
  }
}
