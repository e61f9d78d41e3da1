import type {InstanceName, Milliseconds, MonotonicInstant} from '../types';

/**
 * How long the last known state of an entry is used. Changes are relayed at
 * once; an unchanged state of another zone takes up to a second for each hop:
 * to its relay, to the own relay, and from there. So this limit affects only
 * entries that are no longer reported by anyone.
 */
const STATE_TTL: Milliseconds = 5_000;

/**
 * How long a new member counts as ready before its first report; longer than
 * that report takes through two relays.
 */
const NEW_MEMBER_GRACE: Milliseconds = 2_500;

/** State of an entry at a known time. */
export interface KnownState {
  readonly instance: InstanceName;
  /** Whether callers may be sent to the entry. */
  readonly ready: boolean;
  /** When the entry is known to have had this state. */
  readonly observedAt: MonotonicInstant;
}

/** One incarnation of a member of the site. */
export interface EntryIncarnation {
  readonly instance: InstanceName;
  readonly life: string;
}

/** States of the other entries, received directly or through relays. */
export interface EntryStates {
  /** Replaces the members; a new incarnation has no known state. */
  readonly setMembers: (
    members: readonly EntryIncarnation[],
    now: MonotonicInstant,
  ) => void;
  /**
   * Records a state that is newer than the known one; returns whether readiness
   * changed.
   */
  readonly record: (state: KnownState) => boolean;
  /** Whether callers may be sent to a member. */
  readonly isUsable: (instance: InstanceName, now: MonotonicInstant) => boolean;
  /** Known states that have not expired, to be relayed. */
  readonly recentStates: (now: MonotonicInstant) => readonly KnownState[];
}

interface Member {
  readonly life: string;
  readonly addedAt: MonotonicInstant;
  state: KnownState | undefined;
}

/** Creates the states of the other entries, without any member. */
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
