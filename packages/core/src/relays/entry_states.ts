import type {InstanceName, Milliseconds, MonotonicInstant} from '../types';

/**
 * How long an entry counts as it was last heard of. News of another zone take up
 * to a second each from it to its relay, to the own relay, and on; changes are
 * passed on at once, so this is for those that nobody hears of any more.
 */
const STATE_TTL: Milliseconds = 5_000;

/**
 * How long a new member counts as ready before anything was heard of it: longer
 * than its first words take through two relays.
 */
const NEW_MEMBER_GRACE: Milliseconds = 2_500;

/** An entry as it was known to be. */
export interface KnownState {
  readonly instance: InstanceName;
  /** Whether callers may be sent there. */
  readonly ready: boolean;
  /** When it was surely so. */
  readonly observedAt: MonotonicInstant;
}

/** A member of the site, in one of its lives. */
export interface EntryIncarnation {
  readonly instance: InstanceName;
  readonly life: string;
}

/** What is known of the other entries, at first hand or through relays. */
export interface EntryStates {
  /** Replaces the members; a new life has not been heard of. */
  readonly setMembers: (
    members: readonly EntryIncarnation[],
    now: MonotonicInstant,
  ) => void;
  /** Takes a word that is newer than what is known; returns whether it changes. */
  readonly record: (state: KnownState) => boolean;
  /** Whether callers may be sent to a member. */
  readonly isUsable: (instance: InstanceName, now: MonotonicInstant) => boolean;
  /** What was heard and is not too old, to be passed on. */
  readonly recentStates: (now: MonotonicInstant) => readonly KnownState[];
}

interface Member {
  readonly life: string;
  readonly addedAt: MonotonicInstant;
  state: KnownState | undefined;
}

/** Creates the states of the other entries. */
export function createEntryStates(): EntryStates {
  let members = new Map<InstanceName, Member>();

  function setMembers(
    next: readonly EntryIncarnation[],
    now: MonotonicInstant,
  ): void {
    members = new Map(
      next.map(({instance, life}) => {
        const known = members.get(instance);
        const isSame = known?.life === life;
        const newMember = {life, addedAt: now, state: undefined};
        return [instance, isSame ? known : newMember] as const;
      }),
    );
  }

  function record(state: KnownState): boolean {
    const member = members.get(state.instance);
    if (member === undefined) return false;
    const before = member.state;
    if (before !== undefined && before.observedAt >= state.observedAt) {
      return false;
    }
    member.state = state;
    return before === undefined || before.ready !== state.ready;
  }

  function isUsable(instance: InstanceName, now: MonotonicInstant): boolean {
    const member = members.get(instance);
    if (member === undefined) return false;
    const {state, addedAt} = member;
    if (state === undefined) return now - addedAt < NEW_MEMBER_GRACE;
    return state.ready && now - state.observedAt < STATE_TTL;
  }

  return {
    setMembers,
    record,
    isUsable,
    recentStates: now =>
      [...members.values()]
        .flatMap(({state}) => (state === undefined ? [] : [state]))
        .filter(({observedAt}) => now - observedAt < STATE_TTL),
  };
}
