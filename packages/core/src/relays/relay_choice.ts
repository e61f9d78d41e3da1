import type {InstanceName, ZoneName} from '../types';
import {hash32} from '../utils/hash';

/** An entry that may pass news on to the others of its zone. */
export interface RelayCandidate {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
}

/**
 * Entries of its zone that an agent reports to. With one, a relay's loss would
 * leave the zone without reports until the agents have noticed.
 */
const RECEIVERS_PER_ZONE = 2;

/**
 * Most entries of a zone that its agents report to all of. A report that comes
 * straight is 50 ms younger in the mean than one that is passed on.
 */
const SMALL_ZONE_MAX_ENTRIES = 3;

/**
 * A zone's entries in the order in which they serve as its relay: the first one
 * that answers does. All processes that know the same entries agree on it
 * without a message.
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

/** The relay of a zone; undefined if none of its entries answers. */
export function chooseRelay<Candidate extends RelayCandidate>(
  entries: readonly Candidate[],
  zone: ZoneName,
  isSilent: (entry: Candidate) => boolean,
): Candidate | undefined {
  return relayOrder(entries, zone).find(entry => !isSilent(entry));
}

/** An entry that an agent reports to. */
export interface ReportReceiver<Candidate> {
  readonly entry: Candidate;
  /** Whether it gets each report, or only what it needs to take over. */
  readonly getsAll: boolean;
}

/**
 * The entries that an agent of `zone` reports to; their relay passes reports on
 * to other zones.
 *
 * Failure: each agent reports to two entries of each zone, changed or not. At 98
 * entries and three zones it writes 33 messages a second, which takes 4% of a core,
 * and each relay reads all of them. Guard: entries of the own zone only. Failure: no
 * entry of the zone answers, and other zones place requests by old reports. Guard:
 * then entries of all zones get them.
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

/** Whether agents report to all entries of a zone with so many of them. */
export function isSmallZone(entries: number): boolean {
  return entries <= SMALL_ZONE_MAX_ENTRIES;
}
