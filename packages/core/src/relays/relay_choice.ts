import type {InstanceName, ZoneName} from '../types';
import {hash32} from '../utils/hash';

/** An entry that may pass news on to the others of its zone. */
export interface RelayCandidate {
  readonly instance: InstanceName;
  readonly zone: ZoneName;
}

/**
 * Entries of a zone that agents report to. With one, a relay's loss would leave
 * its zone without reports until the agents have noticed; each further one costs
 * an agent ten messages a second.
 */
const REPORTED_TO = 2;

/**
 * Most entries of a zone that agents report to all of. A report that comes
 * straight is 50 ms younger in the mean than one that is passed on, and up to
 * three streams a zone cost no more than the two above and what passes on.
 */
const REPORTED_TO_ALL = 3;

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

/**
 * The entries that agents report to, in all zones.
 *
 * Failure: each agent reports to each entry. At 98 entries and 63 engines an agent
 * sends 460 messages a second, 50 to 80 KB, over the link that is to carry
 * weights; at 390 and 600 some 1,800. Guard: two of each zone get the reports and
 * pass them on, so that an agent's messages grow with the zones only.
 */
export function reportReceivers<Candidate extends RelayCandidate>(
  entries: readonly Candidate[],
  isSilent: (entry: Candidate) => boolean,
): readonly Candidate[] {
  const zones = new Set(entries.map(entry => entry.zone));
  return [...zones].flatMap(zone => {
    const order = relayOrder(entries, zone);
    if (order.length <= REPORTED_TO_ALL) return order;
    const answering = order.filter(entry => !isSilent(entry));
    return (answering.length > 0 ? answering : order).slice(0, REPORTED_TO);
  });
}
