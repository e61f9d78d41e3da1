// Sends a generate request and calls an operation that must run at most once.
//
//   node scripts/run.mjs examples/caller_client.ts [IP:PORT KEY]
//
// Without the address of an entry it uses a stand-in on loopback.
import {createCallerClient} from '@hibiscusbeam/daemon';
import {startLoopbackEntry} from './loopback_entry';

async function main(): Promise<void> {
  const [givenEntry, workspaceKey = 'example-key'] = process.argv.slice(2);
  const standIn =
    givenEntry === undefined ? await startLoopbackEntry() : undefined;
  const entry = givenEntry ?? standIn?.address ?? '';
  const client = createCallerClient({
    entries: [entry],
    workspaceKey,
    zone: 'bilbao-hall',
  });

  const note = await client.generate({
    model: 'repair-notes',
    prompt: 'Fault log: E12 E12 E40. Draft a repair note.',
    maximumTokens: 32,
    deadline: 5_000,
    onToken: text => void process.stdout.write(text),
  });
  // The tokens received so far are an answer only if `kind` says so.
  console.log(`\n${note.kind}`);

  const charge = await client.call({
    service: 'invoicing',
    operation: 'charge',
    body: {reference: 'warranty-4711', amount: 120},
    // Generated once per charge and stored with it before the first attempt.
    idempotencyKey: 'warranty-4711',
    deadline: 5_000,
  });
  switch (charge.kind) {
    case 'answered':
      console.log('charged', charge.answer);
      break;
    case 'notRun':
      console.log(`not charged; retry in ${charge.retryAfter} ms`);
      break;
    case 'outcomeUnknown':
      console.log('may be charged; retry with the same key only');
      break;
    case 'rejected':
      console.log(`invalid request: ${charge.detail}`);
      break;
  }

  await client.close();
  standIn?.close();
}

void main();
