import type {Milliseconds} from '@hibiscusbeam/core';
import {every, type Log} from '@hibiscusbeam/daemon';
import type {EntryGreeting} from '@hibiscusbeam/wire';
import {callOnce, createEntryChannels} from '../link/channels';
import type {MemberDescription} from '../ports';

/** Period of greetings between two entries. */
const GREETING_PERIOD: Milliseconds = 1_000;

/** Longest wait for the answer to a greeting. */
const GREETING_TIMEOUT: Milliseconds = 600;

/** Greetings without an answer in a row after which an entry counts as gone. */
const LOST_GREETINGS = 2;

/** What an entry's circle needs. */
export interface EntryCircleOptions {
  readonly log: Log;
  /** What this entry says of itself. */
  readonly self: () => EntryGreeting;
  /** Takes what another entry says. */
  readonly onGreeting: (greeting: EntryGreeting) => void;
}

/** The other entries, and which of them callers may be sent to. */
export interface EntryCircle {
  readonly setMembers: (members: readonly MemberDescription[]) => void;
  readonly start: () => () => void;
  /** Greets all at once, to spread news. */
  readonly greetAll: () => void;
  /** Takes a greeting; returns the answer. */
  readonly take: (greeting: EntryGreeting) => EntryGreeting;
  /** Entries that answer and are ready. */
  readonly usable: () => readonly MemberDescription[];
  readonly size: () => number;
}

interface Neighbour {
  readonly member: MemberDescription;
  ready: boolean;
  lost: number;
}

/** Creates the circle of entries. */
export function createEntryCircle(options: EntryCircleOptions): EntryCircle {
  const channels = createEntryChannels();
  let neighbours = new Map<string, Neighbour>();

  function setMembers(members: readonly MemberDescription[]): void {
    const next = new Map<string, Neighbour>();
    for (const member of members.filter(({role}) => role === 'entry')) {
      const known = neighbours.get(member.instance);
      const same = known?.member.life === member.life ? known : undefined;
      next.set(member.instance, same ?? {member, ready: true, lost: 0});
      if (same === undefined) void greet(next.get(member.instance));
    }
    neighbours = next;
    channels.keep(new Set(members.map(member => member.address)));
  }

  function greetAll(): void {
    for (const neighbour of neighbours.values()) void greet(neighbour);
  }

  async function greet(neighbour: Neighbour | undefined): Promise<void> {
    if (neighbour === undefined) return;
    const {address, instance} = neighbour.member;
    const reply = await callOnce<EntryGreeting>(GREETING_TIMEOUT, done =>
      channels.at(address).greet(options.self(), done),
    );
    channels.note(address, reply.ok);
    if (reply.ok) {
      if (neighbour.lost >= LOST_GREETINGS) {
        options.log.info('entry answers again', {instance});
      }
      neighbour.lost = 0;
      neighbour.ready = reply.val.ready;
      options.onGreeting(reply.val);
      return;
    }
    neighbour.lost += 1;
    if (neighbour.lost === LOST_GREETINGS) {
      options.log.warn('entry does not answer', {instance});
    }
  }

  function take(greeting: EntryGreeting): EntryGreeting {
    const neighbour = neighbours.get(greeting.instance);
    if (neighbour !== undefined) {
      neighbour.ready = greeting.ready;
      neighbour.lost = 0;
    }
    options.onGreeting(greeting);
    return options.self();
  }

  return {
    setMembers,
    start: () => every(GREETING_PERIOD, greetAll),
    greetAll,
    take,
    usable: () =>
      [...neighbours.values()]
        .filter(({ready, lost}) => ready && lost < LOST_GREETINGS)
        .map(({member}) => member),
    size: () => neighbours.size + 1,
  };
}
