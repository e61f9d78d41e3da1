import {connect, type Socket} from 'node:net';
import {afterEach, test} from 'vitest';
import {createAgentChannels} from '../../packages/fleet/src/link/channels';
import {
  openPeerServer,
  type PeerServer,
} from '../../packages/fleet/src/link/peer_server';
import {eventually, freeAddress} from './fixtures/host_site';

const MAX_PEERS = 10;
const UNUSED = 30;
const REPLY = {life: 'two', held: [], versionDigest: ''};

const sockets: Socket[] = [];
let server: PeerServer;

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  server.close();
});

test('a peer is served beside more unused connections than may be open', async () => {
  const address = await freeAddress();
  server = await openPeerServer(
    address,
    {
      role: 'agent',
      handlers: {
        announce: call => void call.on('data', () => call.write(REPLY)),
        fetchChunk: call => call.end(),
      },
    },
    MAX_PEERS,
  );
  const channels = createAgentChannels();
  const call = channels.at(address).announce();
  call.on('error', () => undefined);
  let replies = 0;
  call.on('data', () => (replies += 1));
  const announce = (): void =>
    void call.write({
      instance: 'one',
      life: 'one',
      versionDigest: '',
      gained: [],
      asksHeld: false,
      wantsAnswer: true,
    });
  announce();
  await eventually(() => replies === 1);
  const [host, port] = address.split(':');
  for (let count = 0; count < UNUSED; count += 1) {
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    socket.resume();
    sockets.push(socket);
  }
  const open = () => sockets.filter(({closed}) => !closed).length;
  await eventually(() => open() < MAX_PEERS);
  announce();
  await eventually(() => replies === 2);
  channels.close();
});
