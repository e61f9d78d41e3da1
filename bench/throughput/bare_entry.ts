import {randomUUID} from 'node:crypto';
import fastify from 'fastify';
import {requestDump} from '@hibiscusbeam/daemon';
import {credentials, Metadata} from '@grpc/grpc-js';
import {AgentClient, type ServeFrame} from '@hibiscusbeam/wire';

// The baseline of the throughput benchmark: forwards each request to one agent
// and the frames back, without routing, limits, flow control or verification
// of the answer.

const [listen, agentAddress, siteKey] = process.argv.slice(2);

async function main(): Promise<void> {
  if (listen === undefined || agentAddress === undefined) {
    throw new Error('usage: bare_entry IP:port AGENT_ADDRESS SITE_KEY');
  }
  const dump = await requestDump(agentAddress, siteKey ?? '');
  if (dump.err) throw new Error(dump.val.detail);
  const {incarnation} = JSON.parse(dump.val) as {incarnation: number};
  const client = new AgentClient(agentAddress, credentials.createInsecure());
  const metadata = new Metadata();
  metadata.set('authorization', `Bearer ${siteKey}`);
  const sender = `bare.${randomUUID()}`;
  let sequence = 0;

  const server = fastify();
  server.post<{
    Params: {model: string};
    Body: {prompt: string; maximumTokens: number};
  }>('/v1/models/:model/generate', (request, reply) => {
    sequence += 1;
    const {prompt, maximumTokens} = request.body;
    const {model} = request.params;
    const generate = {model, versionDigest: '', prompt, maximumTokens};
    const call = client.serve(
      {
        attempt: `${sender}#${sequence}`,
        workspace: 'mower-app',
        incarnation,
        work: {$case: 'generate', generate},
        deadlineMilliseconds: 60_000,
        priority: 0,
        repeatable: true,
      },
      metadata,
    );
    reply.hijack();
    reply.raw.writeHead(200, {'content-type': 'application/x-ndjson'});
    call.on('data', ({frame}: ServeFrame) => {
      if (frame?.$case === 'data') {
        const {sequence: number, content} = frame.data;
        const text = Buffer.from(content).toString();
        const line = {kind: 'token', sequence: number, text};
        reply.raw.write(`${JSON.stringify(line)}\n`);
      }
      if (frame?.$case === 'end') reply.raw.write('{"kind":"end"}\n');
    });
    call.on('end', () => reply.raw.end());
    call.on('error', () => reply.raw.end());
  });
  const [host, port] = listen.split(':');
  await server.listen({host, port: Number(port)});
  console.log(JSON.stringify({listening: listen}));
}

void main();
