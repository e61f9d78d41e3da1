/** A simulated clock that advances from one scheduled action to the next. */
export interface FakeClock {
  /** Milliseconds since the start. */
  readonly now: () => number;
  readonly schedule: (delay: number, action: () => void) => void;
  /** Runs all actions up to `until`. */
  readonly run: (until: number) => void;
}

interface Scheduled {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** Creates a clock at 0. Actions for the same time run in scheduling order. */
export function createFakeClock(): FakeClock {
  const heap: Scheduled[] = [];
  let now = 0;
  let order = 0;

  const schedule = (delay: number, action: () => void): void => {
    order += 1;
    heap.push({at: now + Math.max(0, delay), order, action});
    siftUp(heap, heap.length - 1);
  };

  const run = (until: number): void => {
    while (heap.length > 0 && heap[0]!.at <= until) {
      const next = takeFirst(heap);
      now = next.at;
      next.action();
    }
    now = until;
  };

  return {now: () => now, schedule, run};
}

function isBefore(left: Scheduled, right: Scheduled): boolean {
  return (
    left.at < right.at || (left.at === right.at && left.order < right.order)
  );
}

function swap(heap: Scheduled[], left: number, right: number): void {
  const previous = heap[left]!;
  heap[left] = heap[right]!;
  heap[right] = previous;
}

function siftUp(heap: Scheduled[], start: number): void {
  let child = start;
  while (child > 0) {
    const parent = (child - 1) >> 1;
    if (!isBefore(heap[child]!, heap[parent]!)) return;
    swap(heap, child, parent);
    child = parent;
  }
}

function takeFirst(heap: Scheduled[]): Scheduled {
  const first = heap[0]!;
  const last = heap.pop()!;
  if (heap.length === 0) return first;
  heap[0] = last;
  let parent = 0;
  for (;;) {
    let smallest = parent;
    for (const child of [2 * parent + 1, 2 * parent + 2]) {
      if (child < heap.length && isBefore(heap[child]!, heap[smallest]!)) {
        smallest = child;
      }
    }
    if (smallest === parent) return first;
    swap(heap, parent, smallest);
    parent = smallest;
  }
}
