/** Event queue in order of time, as a binary heap. */
export function createEvents() {
  const heap: {readonly at: number; readonly run: () => void}[] = [];

  function add(at: number, run: () => void): void {
    heap.push({at, run});
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.at <= heap[index]!.at) break;
      [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
      index = parent;
    }
  }

  function take(): {readonly at: number; readonly run: () => void} {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < heap.length && heap[left]!.at < heap[least]!.at) least = left;
      if (right < heap.length && heap[right]!.at < heap[least]!.at) {
        least = right;
      }
      if (least === index) return first;
      [heap[least], heap[index]] = [heap[index]!, heap[least]!];
      index = least;
    }
  }

  return {
    add,
    runUntil: (until: number, setNow: (at: number) => void): void => {
      while (heap.length > 0 && heap[0]!.at <= until) {
        const {at, run} = take();
        setNow(at);
        run();
      }
    },
  };
}
