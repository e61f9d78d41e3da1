import {expect, test} from 'vitest';
import {createIncomingRequests} from '../../packages/fleet/src/entry/incoming_requests';

const PARTS = 50_000;

function open(incoming: ReturnType<typeof createIncomingRequests>) {
  const refused: string[] = [];
  const request = incoming.open({
    overhead: 1,
    deadline: Infinity,
    refuse: reason => refused.push(reason),
  });
  return {request, refused};
}

// Each part takes processor time, so a few callers kept an entry from serving.
test('bodies in tiny parts are refused beside another one, which goes on', () => {
  const incoming = createIncomingRequests({bound: 1_000_000, clock: () => 0});
  const first = open(incoming);
  const second = open(incoming);
  const ordinary = open(incoming);
  for (let count = 0; count < PARTS; count += 1) first.request.recordPart(1, 0);
  for (let count = 0; count < PARTS; count += 1) {
    second.request.recordPart(1, 0);
  }
  for (let count = 0; count < 64; count += 1) ordinary.request.recordPart(1, 0);
  expect(first.refused).toEqual([]);
  expect(second.refused).toEqual(['fragmented']);
  expect(ordinary.refused).toEqual([]);
  for (const {request} of [first, second, ordinary]) request.close();
});

test('bodies that arrive packet by packet are not refused, however many', () => {
  const incoming = createIncomingRequests({bound: 1_000_000, clock: () => 0});
  const first = open(incoming);
  const second = open(incoming);
  for (const {request} of [first, second]) {
    for (let count = 0; count < PARTS; count += 1) {
      request.recordPart(1_448, 0);
    }
  }
  expect([...first.refused, ...second.refused]).toEqual([]);
  for (const {request} of [first, second]) request.close();
});
