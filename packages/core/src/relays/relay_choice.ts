import type {InstanceName, ZoneName} from '../types';
import {hash32} from '../utils/hash';

/** An entry that may relay updates to the others of its zone. */
export interface RelayCandidate {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
}

/**
 * Number of entries of its zone to which an agent reports. With one, the loss
 * of the relay would leave the zone without reports until the agents have
 * noticed it.
 */
const RECEIVERS_PER_ZONE = 2;

/**
 * Maximum number of entries of a zone whose agents report to all of them. A
 * direct report is 50 ms younger on average than a relayed one.
 */
const SMALL_ZONE_MAX_ENTRIES = 3;

/**
 * The entries of a zone in order of precedence as its relay: the first one that
 * answers is the relay. All processes that know the same entries agree on it
 * without messages.
 */
export function relayOrder<Candidate extends RelayCandidate>(
  entries: readonly Candidate[],
  zone: ZoneName,
): readonly Candidate[] {
  return entries
    .filter(entry => entry.zone === zone)
    .map(entry => ({entry, hash: hash32(entry.instance)}))
    .sort(
      (one, other) =>
        one.hash - other.hash ||
        (one.entry.instance < other.entry.instance ? -1 : 1),
    )
    .map(({entry}) => entry);
}

/** Returns the relay of a zone; undefined if none of its entries answers. */
export function chooseRelay<Candidate extends RelayCandidate>(
  entries: readonly Candidate[],
  zone: ZoneName,
  isSilent: (entry: Candidate) => boolean,
): Candidate | undefined {
  return relayOrder(entries, zone).find(entry => !isSilent(entry));
}

/** An entry to which an agent reports. */
export interface ReportReceiver<Candidate> {
  readonly entry: Candidate;
  /**
   * Whether it gets each report, or only what it needs to take over as the
   * first receiver.
   */
  readonly getsAll: boolean;
}

/**
 * Returns the entries to which an agent of `zone` reports. The relay among them
 * forwards the reports to other zones.
 *
 * Reporting to two entries of each zone costs too much: with 98 entries and
 * three zones, an agent would write 33 messages a second, which takes 4% of a
 * core, and each relay would read all of them. If no entry of the own zone
 * answers, the entries of all zones get reports, since other zones would
 * otherwise place requests by outdated ones.
 */
export function reportReceivers<Candidate extends RelayCandidate>(
  entries: readonly Candidate[],
  zone: ZoneName,
  isSilent: (entry: Candidate) => boolean,
): readonly ReportReceiver<Candidate>[] {
  const isAnyResponsive = entries.some(
    entry => entry.zone === zone && !isSilent(entry),
  );
  if (isAnyResponsive) return receiversIn(entries, zone, isSilent);
  const zones = new Set(entries.map(entry => entry.zone));
  return [...zones].flatMap(each => receiversIn(entries, each, isSilent));
}

function receiversIn<Candidate extends RelayCandidate>(
  entries: readonly Candidate[],
  zone: ZoneName,
  isSilent: (entry: Candidate) => boolean,
): readonly ReportReceiver<Candidate>[] {
  const order = relayOrder(entries, zone);
  if (isSmallZone(order.length)) {
    return order.map(entry => ({entry, getsAll: true}));
  }
  const responsive = order.filter(entry => !isSilent(entry));
  return (responsive.length > 0 ? responsive : order)
    .slice(0, RECEIVERS_PER_ZONE)
    .map((entry, index) => ({entry, getsAll: index === 0}));
}

/**
 * Whether agents report to all entries of a zone with this number of entries.
 */
export function isSmallZone(entries: number): boolean {
  return entries <= SMALL_ZONE_MAX_ENTRIES;
}
