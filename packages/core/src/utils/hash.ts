import murmur from 'imurmurhash';

/** A 32-bit hash of `text`, equal on every process. Not for security. */
export function hash32(text: string, seed = 0): number {
  return murmur(text, seed).result();
}

/** Candidates by rendezvous hash of (subject, candidate), highest first. */
export function rendezvousOrder<Candidate extends string>(
  subject: string,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  return candidates
    .map(candidate => ({candidate, score: hash32(`${subject}\0${candidate}`)}))
    .sort(
      (left, right) =>
        right.score - left.score || (left.candidate < right.candidate ? -1 : 1),
    )
    .map(entry => entry.candidate);
}
