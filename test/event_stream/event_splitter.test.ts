import {createEventSplitter} from '@hibiscusbeam/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {propertyRuns} from '../forwarding/property_runs';

const text = 'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nevent: c\ndata: c\n\n';

test('splits a stream into the same events however its bytes arrive', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({min: 1, max: 9})), sizes => {
      const splitter = createEventSplitter();
      const events = [];
      let rest = Buffer.from(text);
      for (const size of [...sizes, text.length]) {
        events.push(...splitter.push(rest.subarray(0, size)));
        rest = rest.subarray(size);
      }
      expect(events.map(event => event.id)).toEqual(['1', '2', undefined]);
      const joined = Buffer.concat(events.map(event => event.bytes));
      expect(joined.toString()).toBe(text);
      expect(splitter.rest()).toHaveLength(0);
    }),
    propertyRuns,
  );
});

// A target fails within an event. The received part must not reach the caller,
// where it would run into the next target's events.
test('holds back an incomplete event', () => {
  const splitter = createEventSplitter();
  const events = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
  expect(events).toHaveLength(1);
  expect(splitter.rest().toString()).toBe('id: 2\nda');
});
